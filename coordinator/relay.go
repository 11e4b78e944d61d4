package coordinator

import (
	"context"
	"sync"
	"time"

	"bramleyline.example/bramleyline/issuer"
	"bramleyline.example/bramleyline/registrar"
	"bramleyline.example/bramleyline/reporter"
	"bramleyline.example/bramleyline/timekeeper"
)

const (
	// relayInterval is the time between two reports of a control host to the leader. Together with the report interval of
	// the entry hosts it bounds the age of the leader's load data, whatever the number of hosts.
	relayInterval = 150 * time.Millisecond
	// relayTimeout bounds the call that sends a report; a lost report is not sent again.
	relayTimeout = 500 * time.Millisecond
	// maxRelayed bounds the requests and the targets of one service in a report. At 6 bytes a request, the requests take
	// 100 KB.
	maxRelayed = 1 << 14
)

// relay aggregates the load reports of entry hosts on a control host that does not lead, so that the leader receives
// one report from each control host. Its zero value is ready to use. It is safe for concurrent use.
type relay struct {
	mu       sync.Mutex
	services map[string]*serviceReport
	// stated holds what targets stated last, with the time of the answer.
	stated map[registrar.Incarnation]statedAt
	// losses and completed are the lost and the completed requests that hosts reported.
	losses    []reporter.SuspectMsg
	completed []uint64
}

type statedAt struct {
	msg     issuer.StatedMsg
	heardAt time.Time
}

// serviceReport is the aggregated load of one service: all requests, and one mean slowness for each target.
type serviceReport struct {
	keys         []uint16
	serviceTimes []uint16
	slowness     map[string]SlownessMsg
}

// add adds the reports of one host. It returns the number of requests and targets dropped because of maxRelayed.
func (r *relay) add(reports []ServiceLoadMsg) (dropped int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.services == nil {
		r.services = make(map[string]*serviceReport)
	}
	for _, w := range reports {
		s, ok := r.services[w.Service]
		if !ok {
			s = &serviceReport{
				slowness: make(map[string]SlownessMsg),
			}
			r.services[w.Service] = s
		}
		dropped += s.add(w)
	}
	return dropped
}

func (s *serviceReport) add(w ServiceLoadMsg) (dropped int) {
	n := min(len(w.Keys), len(w.Work), maxRelayed-len(s.keys))
	s.keys = append(s.keys, w.Keys[:n]...)
	s.serviceTimes = append(s.serviceTimes, w.Work[:n]...)
	dropped = len(w.Keys) - n
	for _, p := range w.Paces {
		old, ok := s.slowness[p.Target]
		if !ok && len(s.slowness) >= maxRelayed {
			dropped++
			continue
		}
		s.slowness[p.Target] = weightedMean(old, p)
	}
	return dropped
}

// weightedMean merges the slowness that two hosts observed at one target. It returns old if the sum of the counts does
// not fit into Count.
func weightedMean(old, added SlownessMsg) SlownessMsg {
	count := uint32(old.Count) + uint32(added.Count)
	if count == 0 || count > uint32(^uint16(0)) {
		return old
	}
	return SlownessMsg{
		Target:   added.Target,
		Count:    uint16(count),
		Slowness: (old.Slowness*float32(old.Count) + added.Slowness*float32(added.Count)) / float32(count),
	}
}

// take returns the aggregated reports since the last call.
func (r *relay) take() []ServiceLoadMsg {
	r.mu.Lock()
	services := r.services
	r.services = nil
	r.mu.Unlock()
	var reports []ServiceLoadMsg
	for name, s := range services {
		w := ServiceLoadMsg{
			Service: name,
			Keys:    s.keys,
			Work:    s.serviceTimes,
		}
		for _, p := range s.slowness {
			w.Paces = append(w.Paces, p)
		}
		reports = append(reports, w)
	}
	return reports
}

// addLosses adds lost and completed requests. It returns the number of those dropped because of maxRelayed; hosts repeat them.
func (r *relay) addLosses(losses []reporter.SuspectMsg, completed []uint64) (dropped int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	n, k := min(len(losses), maxRelayed-len(r.losses)), min(len(completed), maxRelayed-len(r.completed))
	r.losses = append(r.losses, losses[:n]...)
	r.completed = append(r.completed, completed[:k]...)
	return len(losses) - n + len(completed) - k
}

// takeLosses returns what addLosses added since the last call.
func (r *relay) takeLosses() (losses []reporter.SuspectMsg, completed []uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	losses, completed = r.losses, r.completed
	r.losses, r.completed = nil, nil
	return losses, completed
}

// addStated adds what targets stated to a host. The latest answer of a target counts.
func (r *relay) addStated(now time.Time, stated []issuer.StatedMsg) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.stated == nil {
		r.stated = make(map[registrar.Incarnation]statedAt)
	}
	for _, m := range stated {
		heardAt := now.Add(-m.Age)
		old, ok := r.stated[m.Target]
		if ok && heardAt.Before(old.heardAt) || !ok && len(r.stated) >= maxRelayed {
			continue
		}
		r.stated[m.Target] = statedAt{
			msg:     m,
			heardAt: heardAt,
		}
	}
}

// takeStated returns what was added since the last call.
func (r *relay) takeStated(now time.Time) []issuer.StatedMsg {
	r.mu.Lock()
	defer r.mu.Unlock()
	var stated []issuer.StatedMsg
	for _, s := range r.stated {
		s.msg.Age = now.Sub(s.heardAt)
		stated = append(stated, s.msg)
	}
	r.stated = nil
	return stated
}

// relayReports sends the aggregated reports of entry hosts to the leader in each relayInterval while another host
// leads.
func (s *Coordinator) relayReports() {
	ticker := time.NewTicker(relayInterval)
	defer ticker.Stop()
	for {
		select {
		case <-s.ctx.Done():
			return
		case <-ticker.C:
		}
		reports := s.relay.take()
		losses, completed := s.relay.takeLosses()
		stated := s.relay.takeStated(timekeeper.Now())
		leader, _ := s.opts.Controller.Contact()
		addr := s.opts.Controller.State().Hosts[leader].RPC
		if s.leads() {
			s.observeLosses(losses, completed)
			continue
		}
		if !addr.IsValid() {
			s.relay.addLosses(losses, completed)
			continue
		}
		if len(reports)+len(losses)+len(completed)+len(stated) == 0 {
			continue
		}
		ctx, cancel := context.WithTimeout(s.ctx, relayTimeout)
		var reply ObserveReply
		err := s.opts.Messenger.Call(ctx, addr, "Leader.Observe", &ObserveArgs{
			Work:      reports,
			Losses:    losses,
			Completed: completed,
			Stated:    stated,
			Relayed:   true,
		}, &reply)
		cancel()
		if err != nil {
			s.relay.addLosses(losses, completed)
		}
		if err != nil && s.ctx.Err() == nil {
			counters.Add("lostRelays", 1)
			s.opts.Log.Debug("relayed report lost", "leader", leader, "services", len(reports), "err", err)
		}
	}
}
