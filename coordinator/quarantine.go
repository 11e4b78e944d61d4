package coordinator

import (
	"context"
	"time"

	"bramleyline.example/bramleyline/applier"
	"bramleyline.example/bramleyline/registrar"
	"bramleyline.example/bramleyline/reporter"
)

// observeLosses takes the requests that a host lost with their targets, and those that completed. If another host leads,
// they are queued for the relay to it.
func (s *Coordinator) observeLosses(losses []reporter.SuspectMsg, completed []uint64) {
	if len(losses)+len(completed) == 0 {
		return
	}
	if !s.leads() {
		counters.Add("droppedLosses", int64(s.relay.addLosses(losses, completed)))
		return
	}
	s.adjudicator.Observe(time.Now(), losses, completed)
}

// updateQuarantine starts the commit of the next change of the requests that are refused, if there is one.
func (s *Coordinator) updateQuarantine(reg registrar.Registry) {
	if s.quarantinePending.Load() {
		return
	}
	if m := s.adjudicator.Changes(time.Now(), reg); m != nil {
		s.quarantinePending.Store(true)
		go s.proposeQuarantine(m)
	}
}

func (s *Coordinator) proposeQuarantine(m *registrar.QuarantineMsg) {
	defer s.quarantinePending.Store(false)
	ctx, cancel := context.WithTimeout(s.ctx, proposeTimeout)
	defer cancel()
	_, err := s.opts.Controller.Propose(ctx, applier.Command{
		Registry: &registrar.Change{
			Quarantine: m,
		},
	})
	for _, q := range m.Set {
		s.opts.Log.Info("request quarantined", "fingerprint", q.Fingerprint, "round", q.Round, "err", err)
	}
	for _, fp := range m.Remove {
		s.opts.Log.Info("request released from quarantine", "fingerprint", fp, "err", err)
	}
}
