package replicator_test

import (
	"slices"
	"time"

	"bramleyline.example/bramleyline/replicator"
)

// delivery is a message in flight and the time at which it arrives.
type delivery struct {
	at time.Duration
	m  replicator.Message
}

func (c *cluster) sendAll(messages []replicator.Message) {
	for _, m := range messages {
		c.sent[kind(m)]++
		if l := c.leader(); m.Vote != nil && !m.Vote.Pre && l != nil && c.rng.IntN(100) < c.inboundCutPercent {
			c.inboundCutUntil[l.name] = c.now + 500*time.Millisecond
		}
		if c.rng.IntN(100) < c.lossPercent || c.isCut(m) {
			continue
		}
		c.inFlight = append(c.inFlight, delivery{
			at: c.now + c.latency(),
			m:  m,
		})
		if c.rng.IntN(100) < c.duplicatePercent {
			c.inFlight = append(c.inFlight, delivery{
				at: c.now + c.latency(),
				m:  m,
			})
		}
	}
}

func (c *cluster) isCut(m replicator.Message) bool {
	return c.sides[m.From] != c.sides[m.To] || c.cutLinks[[2]string{m.From, m.To}] || c.now < c.inboundCutUntil[m.To]
}

func isVote(m replicator.Message) bool {
	return m.VoteAnswer != nil && m.VoteAnswer.Granted && !m.VoteAnswer.Pre
}

func kind(m replicator.Message) string {
	switch {
	case m.Vote != nil:
		return "vote"
	case m.Snapshot != nil:
		return "snapshot"
	case m.Append != nil && len(m.Append.Entries) > 0:
		return "entries"
	case m.Append != nil:
		return "heartbeat"
	}
	return "answer"
}

func (c *cluster) latency() time.Duration {
	if c.rng.IntN(100) < c.delayPercent {
		return time.Duration(c.rng.IntN(2000)) * time.Millisecond
	}
	return time.Duration(500+c.rng.IntN(4000)) * time.Microsecond
}

func (c *cluster) deliver() {
	slices.SortStableFunc(c.inFlight, func(a, b delivery) int { return int(a.at - b.at) })
	for len(c.inFlight) > 0 && c.inFlight[0].at <= c.now {
		f := c.inFlight[0]
		c.inFlight = c.inFlight[1:]
		m, ok := c.members[f.m.To]
		if !ok || m.core == nil || c.isCut(f.m) {
			continue
		}
		if c.now < m.pausedUntil {
			// The kernel buffers messages that arrive for a paused process.
			f.at = m.pausedUntil + time.Millisecond
			c.inFlight = append(c.inFlight, f)
			slices.SortStableFunc(c.inFlight, func(a, b delivery) int { return int(a.at - b.at) })
			continue
		}
		m.core.Step(c.clock(m), f.m)
		c.runEffects(m)
	}
}
