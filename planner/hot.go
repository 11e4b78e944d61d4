package planner

import "bramleyline.example/bramleyline/registrar"

// hottestKeyToIdlest returns the hottest key of a busy target, and the target whose utilization is the lowest with that key
// added. The utilization of that target may rise above the others', so that other keys are moved away from it, but it stays
// at least gap below the utilization that source has before the move.
func (p *Planner) hottestKeyToIdlest(source *targetState, all []*targetState, gap float64) (
	index int, part registrar.Span, dest *targetState, ok bool,
) {
	key, load := p.hottestKey(source.spans)
	dest = p.idlest(all, load, source)
	if dest == nil || load < minMoveFraction*source.Capacity ||
		(dest.load+load)/dest.Capacity > source.utilization()-gap {
		return 0, registrar.Span{}, nil, false
	}
	for i, s := range source.spans {
		if s.From <= key && key <= s.To {
			return i, registrar.Span{
				From: key,
				To:   key,
			}, dest, true
		}
	}
	return 0, registrar.Span{}, nil, false
}

// hottestKeyToLargest moves a key that makes its owner busy by itself to the target with the most capacity. The other keys
// of that target move away later, as from any busy target.
func (p *Planner) hottestKeyToLargest(source *targetState, all []*targetState) (Move, bool) {
	key, load := p.hottestKey(source.spans)
	if load < busyUtilization*source.Capacity || load < hotKeyShare*source.load {
		return Move{}, false
	}
	best := source
	for _, st := range all {
		if st.NoNewKeys || st == source {
			continue
		}
		if _, otherLoad := p.hottestKey(st.spans); otherLoad < load &&
			st.Capacity > max(best.Capacity, source.Capacity*minCapacityGain) {
			best = st
		}
	}
	if best == source {
		return Move{}, false
	}
	return Move{
		Span: registrar.Span{
			From: key,
			To:   key,
		},
		From: source.Incarnation,
		To:   best.Incarnation,
	}, true
}

// hottestKey returns the key with the highest load in spans.
func (p *Planner) hottestKey(spans []registrar.Span) (key uint16, load float64) {
	for _, s := range spans {
		for k := int(s.From); k <= int(s.To); k++ {
			if w := p.CumulativeLoad[k+1] - p.CumulativeLoad[k]; w > load {
				key, load = uint16(k), w
			}
		}
	}
	return key, load
}
