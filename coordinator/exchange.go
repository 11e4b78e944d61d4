package coordinator

import (
	"context"
	"net/netip"
	"net/rpc"
	"sync"
	"time"

	"github.com/pkg/errors"

	"bramleyline.example/bramleyline/aggregator"
	"bramleyline.example/bramleyline/timekeeper"
)

const (
	// exchangeInterval is the time between two questions to another control host for the loads on its entry hosts.
	exchangeInterval = 150 * time.Millisecond
	// exchangeTimeout bounds one of them.
	exchangeTimeout = 500 * time.Millisecond
	// exchangeRetry is the time until a control host that does not know the call, since its build is older, is asked again.
	exchangeRetry = 5 * time.Second
	// loadLogInterval is the time between two log lines on the loads.
	loadLogInterval = 30 * time.Second
)

// peers are the exchanges with other control hosts. The zero value is ready to use. It is safe for concurrent use.
type peers struct {
	mu sync.Mutex
	// busy are the hosts of which an answer is outstanding, and retryAt when a host that failed may be asked again.
	busy    map[string]bool
	retryAt map[string]time.Time
}

// begin reports whether the host name may be asked at now, and records that it is.
func (p *peers) begin(now time.Time, name string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.busy == nil {
		p.busy, p.retryAt = make(map[string]bool), make(map[string]time.Time)
	}
	if p.busy[name] || now.Before(p.retryAt[name]) {
		return false
	}
	p.busy[name] = true
	return true
}

// end records the end of a question.
func (p *peers) end(now time.Time, name string, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.busy, name)
	delete(p.retryAt, name)
	if answer := rpc.ServerError(""); errors.As(err, &answer) {
		p.retryAt[name] = now.Add(exchangeRetry)
	}
}

// exchangeLoads asks the other control hosts for the loads on their entry hosts in each exchangeInterval, while entry hosts
// report loads to this one.
func (s *Coordinator) exchangeLoads() {
	if s.opts.Name == "" {
		return
	}
	ticker := time.NewTicker(exchangeInterval)
	defer ticker.Stop()
	var asked peers
	var calls sync.WaitGroup
	defer calls.Wait()
	loggedAt := timekeeper.Now()
	for {
		select {
		case <-s.ctx.Done():
			return
		case <-ticker.C:
		}
		now := timekeeper.Now()
		st := s.loads.Status(now)
		if st.OwnHosts == 0 {
			continue
		}
		if now.Sub(loggedAt) >= loadLogInterval {
			loggedAt = now
			s.opts.Log.Info("loads of targets", "ownHosts", st.OwnHosts, "hosts", st.Hosts, "targets", st.Targets, "age", st.Age)
		}
		hosts := s.opts.Controller.State().Hosts
		for _, m := range s.opts.Controller.Members() {
			if addr := hosts[m.Name].RPC; m.Name != s.opts.Name && addr.IsValid() && asked.begin(now, m.Name) {
				calls.Go(func() { asked.end(timekeeper.Now(), m.Name, s.exchange(m.Name, addr)) })
			}
		}
	}
}

// exchange asks one other control host.
func (s *Coordinator) exchange(name string, addr netip.AddrPort) error {
	ctx, cancel := context.WithTimeout(s.ctx, exchangeTimeout)
	defer cancel()
	// The answer counts as old as the question, which makes it look older than it is rather than newer.
	asked := timekeeper.Now()
	var reply aggregator.UpdateMsg
	err := s.opts.Messenger.Call(ctx, addr, "Leader.Exchange", &ExchangeArgs{
		Known: s.loads.Known(name),
	}, &reply)
	if err == nil {
		err = s.loads.Learn(asked, name, &reply)
	}
	if err != nil && s.ctx.Err() == nil {
		counters.Add("failedExchanges", 1)
		s.opts.Log.Debug("loads not exchanged", "host", name, "err", err)
	}
	return err
}
