package replicator_test

import (
	"slices"
	"time"

	"bramleyline.example/bramleyline/replicator"
)

type flight struct {
	at time.Duration
	m  replicator.Message
}

func (c *cluster) sendAll(messages []replicator.Message) {
	for _, m := range messages {
		c.sent[kind(m)]++
		if l := c.leader(); m.Vote != nil && !m.Vote.Pre && l != nil && c.rng.IntN(100) < c.hide {
			c.deafUntil[l.name] = c.now + 500*time.Millisecond
		}
		if c.rng.IntN(100) < c.loss || c.isCut(m) {
			continue
		}
		c.flights = append(c.flights, flight{
			at: c.now + c.latency(),
			m:  m,
		})
		if c.rng.IntN(100) < c.repeat {
			c.flights = append(c.flights, flight{
				at: c.now + c.latency(),
				m:  m,
			})
		}
	}
}

func (c *cluster) isCut(m replicator.Message) bool {
	return c.cut[m.From] != c.cut[m.To] || c.links[[2]string{m.From, m.To}] || c.now < c.deafUntil[m.To]
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
	if c.rng.IntN(100) < c.late {
		return time.Duration(c.rng.IntN(2000)) * time.Millisecond
	}
	return time.Duration(500+c.rng.IntN(4000)) * time.Microsecond
}

func (c *cluster) deliver() {
	slices.SortStableFunc(c.flights, func(a, b flight) int { return int(a.at - b.at) })
	for len(c.flights) > 0 && c.flights[0].at <= c.now {
		f := c.flights[0]
		c.flights = c.flights[1:]
		m, ok := c.members[f.m.To]
		if !ok || m.core == nil || c.isCut(f.m) {
			continue
		}
		if c.now < m.pausedUntil {
			// The kernel keeps what arrives for a paused process.
			f.at = m.pausedUntil + time.Millisecond
			c.flights = append(c.flights, f)
			slices.SortStableFunc(c.flights, func(a, b flight) int { return int(a.at - b.at) })
			continue
		}
		m.core.Step(c.clock(m), f.m)
		c.carryOut(m)
	}
}
