package coordinator

import (
	"bramleyline.example/bramleyline/lessor"
)

func (s *Coordinator) logPace(p lessor.PaceMsg) {
	switch {
	case p.Began != "":
		counters.Add("startedRamps", 1)
		s.opts.Log.Info("target in ramp", "target", p.Target.ID, "cause", p.Began, "pace", p.Pace, "step", p.Step)
	case p.Setback != "":
		counters.Add("loweredPaces", 1)
		s.opts.Log.Info("pace of target lowered", "target", p.Target.ID, "reason", p.Setback, "pace", p.Pace, "step", p.Step)
	default:
		counters.Add("endedRamps", 1)
		s.opts.Log.Info("target established", "target", p.Target.ID)
	}
}

// reportPlans counts and logs planned moves.
func (s *Coordinator) reportPlans(plans []lessor.PlanMsg) {
	for _, m := range plans {
		counters.Add("moves", int64(m.Moves))
		counters.Add("shareMoves", int64(m.Share))
		if m.Share > 0 {
			s.opts.Log.Info("moves of keys for shares", "service", m.Service, "moves", m.Share)
		}
		if m.Hot == 0 {
			continue
		}
		counters.Add("hotSpans", int64(len(m.HotSpans)))
		counters.Add("hotMoves", int64(m.Hot))
		for _, h := range m.HotSpans {
			s.opts.Log.Info("hot span", "service", m.Service, "from", h.From, "to", h.To)
		}
		s.opts.Log.Info("hot spans are split", "service", m.Service, "spans", len(m.HotSpans), "load", m.HotLoad, "moves", m.Hot)
	}
}
