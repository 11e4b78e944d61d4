package coordinator

import (
	"context"
	"sync"
	"time"
)

const (
	// relayInterval is the time between two reports of a control host to the leader. With the interval of the entry hosts
	// it bounds how late the leader learns what callers ask for, whatever the number of hosts.
	relayInterval = 150 * time.Millisecond
	// relayTimeout bounds a report; a lost one is not sent again.
	relayTimeout = 500 * time.Millisecond
	// maxRelayed bounds the requests of one service, and the targets, in a report: with 6 bytes a request it is 100 KB.
	maxRelayed = 1 << 14
)

// relay adds up what entry hosts report to a control host that does not lead, so that the leader takes one report of each
// control host. Its zero value works. It is safe for concurrent use.
type relay struct {
	mu       sync.Mutex
	services map[string]*relayed
}

// relayed is what was reported of one service. The paces of a target are one mean.
type relayed struct {
	keys  []uint16
	work  []uint16
	paces map[string]SlownessMsg
}

// add takes a report. It returns how many requests and targets were dropped beyond the bound.
func (r *relay) add(work []WorkMsg) (dropped int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.services == nil {
		r.services = make(map[string]*relayed)
	}
	for _, w := range work {
		s, ok := r.services[w.Service]
		if !ok {
			s = &relayed{
				paces: make(map[string]SlownessMsg),
			}
			r.services[w.Service] = s
		}
		dropped += s.add(w)
	}
	return dropped
}

func (s *relayed) add(w WorkMsg) (dropped int) {
	n := min(len(w.Keys), len(w.Work), maxRelayed-len(s.keys))
	s.keys = append(s.keys, w.Keys[:n]...)
	s.work = append(s.work, w.Work[:n]...)
	dropped = len(w.Keys) - n
	for _, p := range w.Paces {
		old, ok := s.paces[p.Target]
		if !ok && len(s.paces) >= maxRelayed {
			dropped++
			continue
		}
		s.paces[p.Target] = mean(old, p)
	}
	return dropped
}

// mean returns what two hosts saw of one target. Beyond the greatest count the older one is kept.
func mean(a, b SlownessMsg) SlownessMsg {
	count := uint32(a.Count) + uint32(b.Count)
	if count == 0 || count > uint32(^uint16(0)) {
		return a
	}
	return SlownessMsg{
		Target:   b.Target,
		Count:    uint16(count),
		Slowness: (a.Slowness*float32(a.Count) + b.Slowness*float32(b.Count)) / float32(count),
	}
}

// take returns what was reported since the last call.
func (r *relay) take() []WorkMsg {
	r.mu.Lock()
	services := r.services
	r.services = nil
	r.mu.Unlock()
	var work []WorkMsg
	for name, s := range services {
		w := WorkMsg{
			Service: name,
			Keys:    s.keys,
			Work:    s.work,
		}
		for _, p := range s.paces {
			w.Paces = append(w.Paces, p)
		}
		work = append(work, w)
	}
	return work
}

// passOn reports to the leader what entry hosts reported to this host, as long as another host leads.
func (s *Coordinator) passOn() {
	ticker := time.NewTicker(relayInterval)
	defer ticker.Stop()
	for {
		select {
		case <-s.ctx.Done():
			return
		case <-ticker.C:
		}
		work, suspects := s.relay.take(), s.suspects.Suspects(time.Now())
		leader, _ := s.opts.Controller.Contact()
		addr := s.opts.Controller.State().Hosts[leader].RPC
		if len(work)+len(suspects) == 0 || !addr.IsValid() || s.leads() {
			continue
		}
		ctx, cancel := context.WithTimeout(s.ctx, relayTimeout)
		var reply ObserveReply
		err := s.opts.Messenger.Call(ctx, addr, "Leader.Observe", &ObserveArgs{
			Work:     work,
			Suspects: suspects,
			Relayed:  true,
		}, &reply)
		cancel()
		s.suspects.Learn(reply.Suspects, time.Now())
		if err != nil && s.ctx.Err() == nil {
			counters.Add("lostRelays", 1)
			s.opts.Log.Debug("relayed report lost", "leader", leader, "services", len(work), "err", err)
		}
	}
}
