package limiter

import (
	"context"
	"slices"
	"time"

	"bramleyline.example/bramleyline/issuer"
	"bramleyline.example/bramleyline/registrar"
)

// waiter is a request that waits for a token.
type waiter struct {
	request Request
	result  chan *Refusal
}

// ask asks the control leader for tokens until no request waits for them. One question covers all requests that wait.
func (l *Limiter) ask(inc registrar.Incarnation, st *target) {
	for {
		l.mu.Lock()
		waiters := st.waiters
		st.waiters = nil
		if len(waiters) == 0 {
			st.asking = false
			l.mu.Unlock()
			return
		}
		slices.SortStableFunc(waiters, urgentFirst)
		m := issuer.AskMsg{
			StatedMsg: st.message(l.now(), inc),
			Heard:     !st.heardAt.IsZero(),
			Refused:   st.refused,
		}
		st.refused = 0
		l.mu.Unlock()
		for _, w := range waiters {
			m.MaxDelays = append(m.MaxDelays, w.request.MaxDelay)
		}
		counters.Add("asks", 1)
		ctx, cancel := context.WithTimeout(context.Background(), askTimeout)
		reply, err := l.opts.Ask(ctx, m)
		cancel()
		if err != nil {
			counters.Add("failedAsks", 1)
			l.opts.Log.Debug("no token for target", "target", inc.ID, "err", err)
			reply = issuer.IssueMsg{
				Wait:   askBackoff,
				Spread: askBackoff,
			}
		}
		l.answer(st, waiters, reply, err != nil)
	}
}

// answer passes the tokens to the waiters in order and refuses the others.
func (l *Limiter) answer(st *target, waiters []*waiter, reply issuer.IssueMsg, failed bool) {
	now := l.now()
	l.mu.Lock()
	defer l.mu.Unlock()
	if failed {
		l.unreachableUntil = now.Add(askBackoff)
	}
	st.spread = reply.Spread
	st.nextTokenAt = now.Add(min(maxPause, reply.Wait))
	for i, w := range waiters {
		if i >= len(reply.Delays) || reply.Delays[i] < 0 {
			counters.Add("refusals", 1)
			w.result <- st.refusal(reply.Wait)
			continue
		}
		if delay := reply.Delays[i]; delay > 0 {
			time.AfterFunc(delay, func() { w.result <- nil })
			continue
		}
		w.result <- nil
	}
}

// urgentFirst orders waiters for slices.SortStableFunc.
func urgentFirst(a, b *waiter) int {
	switch {
	case a.request.Urgent == b.request.Urgent:
		return 0
	case a.request.Urgent:
		return -1
	default:
		return 1
	}
}
