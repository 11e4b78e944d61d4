package coordinator

import (
	"context"
	"strconv"
	"time"

	"bramleyline.example/bramleyline/applier"
	"bramleyline.example/bramleyline/registrar"
)

// updateLimits starts the commit of the limits that targets stated and that reg lacks.
func (s *Coordinator) updateLimits(now time.Time, reg registrar.Registry) {
	if now.Sub(s.limitsAt) < limitInterval || s.limitsPending.Load() {
		return
	}
	changes := s.issuer.Changes(now, reg)
	if len(changes) == 0 {
		return
	}
	s.limitsAt = now
	s.limitsPending.Store(true)
	go s.proposeLimits(changes)
}

func (s *Coordinator) proposeLimits(changes []registrar.StatedLimit) {
	defer s.limitsPending.Store(false)
	ctx, cancel := context.WithTimeout(s.ctx, proposeTimeout)
	defer cancel()
	_, err := s.opts.Controller.Propose(ctx, applier.Command{
		Registry: &registrar.Change{
			Limit: &registrar.LimitMsg{
				Limits: changes,
			},
		},
	})
	for _, c := range changes {
		limit := "none"
		if c.Limit != nil {
			limit = strconv.FormatFloat(*c.Limit, 'g', -1, 64)
		}
		s.opts.Log.Info("limit of target for all hosts", "target", c.Incarnation.ID, "limit", limit, "err", err)
	}
}
