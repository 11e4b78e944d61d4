// Package planner plans which target owns which keys: it divides unowned keys by capacity, and moves parts of ranges
// from busy targets to idle ones. Its functions are pure.
package planner

import (
	"math"
	"sort"

	"bramleyline.example/bramleyline/registrar"
)

const (
	// busyShare is the share of its capacity from which a target's keys are moved away: below it a request rarely waits,
	// however uneven the load is.
	busyShare = 0.45
	// excess is the factor over the mean from which a target counts as busier than the others.
	excess = 1.25
	// chance is the number of standard deviations by which a measured load may be too high by chance.
	chance = 3
	// minGap is the least difference, as a share of capacity, between giver and taker. It keeps moves from swinging back.
	minGap = 0.15
	// minPart is the least part of the wanted load that a move must carry to be worth it.
	minPart = 0.05
	// minAssign is the least part of its fair share that a target takes of keys without an owner, however busy it is.
	minAssign = 0.25
	// hotShare is the share of its owner's load from which a key counts as the reason for it.
	hotShare = 0.6
	// minLift is the least gain of capacity, as a factor, for which a hot key moves.
	minLift = 1.15
	// maxPart bounds what a move carries in relation to the wanted load.
	maxPart = 1.3
)

// Target is a target that can own keys.
type Target struct {
	Incarnation registrar.Incarnation
	// Capacity is the number of slots, weighted by the target's speed.
	Capacity float64
	// Closed says that the target gives keys away and takes none.
	Closed bool
}

// Move takes a part of one owner's keys to another target.
type Move struct {
	Span registrar.Span
	From registrar.Incarnation
	To   registrar.Incarnation
}

// Planner plans for one service.
type Planner struct {
	// Sums is the cumulated load of the keys in busy slots: the load of keys a to b is Sums[b+1]-Sums[a].
	Sums []float64
	// Ranges has all ranges, Targets the targets that may own them.
	Ranges  []registrar.Range
	Targets []Target
	// Grain is the variance of a measured load, as a share of the load. Zero means that loads are exact.
	Grain float64
}

// holding is a target with what it owns in the plan.
type holding struct {
	Target
	load  float64
	spans []registrar.Span
	stuck bool
}

func (h *holding) share() float64 {
	return h.load / h.Capacity
}

// surely is the share that a target has at least, unless its load was measured higher by an unlikely chance.
func (p *Planner) surely(h *holding) float64 {
	return (h.load - chance*math.Sqrt(h.load*p.Grain)) / h.Capacity
}

func (p *Planner) weight(s registrar.Span) float64 {
	return p.Sums[int(s.To)+1] - p.Sums[s.From]
}

func (p *Planner) holdings() (all []*holding, total, capacity float64) {
	byIncarnation := make(map[registrar.Incarnation]*holding)
	for _, t := range p.Targets {
		h := &holding{
			Target: t,
		}
		all = append(all, h)
		byIncarnation[t.Incarnation] = h
		if !t.Closed {
			capacity += t.Capacity
		}
	}
	for _, r := range p.Ranges {
		s := registrar.Span{
			From: r.From,
			To:   r.To,
		}
		total += p.weight(s)
		h, ok := byIncarnation[r.Owner]
		if !ok {
			continue
		}
		h.load += p.weight(s)
		if !r.Releasing {
			h.spans = append(h.spans, s)
		}
	}
	return all, total, capacity
}

// Assign divides spans that nobody owns among the targets, each as far as its capacity goes. It returns nothing if there
// is no target.
func (p *Planner) Assign(spans []registrar.Span) []registrar.Grant {
	all, total, capacity := p.holdings()
	if capacity == 0 {
		return nil
	}
	for _, s := range spans {
		if len(registrar.Cut(p.Ranges, s)) == 0 {
			total += p.weight(s)
		}
	}
	mean := total / capacity
	var grants []registrar.Grant
	for _, s := range spans {
		for done := false; !done; {
			h := idlest(all, 0, nil)
			want := max((mean-h.share())*h.Capacity, minAssign*mean*h.Capacity)
			part, rest, more := p.prefix(s, want)
			h.load += p.weight(part)
			grants = append(grants, registrar.Grant{
				From:  part.From,
				To:    part.To,
				Owner: h.Incarnation,
			})
			s, done = rest, !more
		}
	}
	return grants
}

// prefix cuts a part of about the wanted load off the start of s. It takes one key at least, and all if little is left.
func (p *Planner) prefix(s registrar.Span, want float64) (part, rest registrar.Span, more bool) {
	if p.weight(s) <= want*maxPart {
		return s, registrar.Span{}, false
	}
	n := sort.Search(int(s.To)-int(s.From), func(i int) bool {
		return p.Sums[int(s.From)+i+1]-p.Sums[s.From] >= want
	})
	end := s.From + uint16(n)
	if end >= s.To {
		return s, registrar.Span{}, false
	}
	part = registrar.Span{
		From: s.From,
		To:   end,
	}
	rest = registrar.Span{
		From: end + 1,
		To:   s.To,
	}
	return part, rest, true
}

// idlest returns the target that is the least busy with so much load more, except of one that may be nil.
func idlest(all []*holding, more float64, except *holding) *holding {
	var best *holding
	for _, h := range all {
		if h.Closed || h == except {
			continue
		}
		if best == nil || (h.load+more)/h.Capacity < (best.load+more)/best.Capacity {
			best = h
		}
	}
	return best
}

func busiest(all []*holding) *holding {
	var best *holding
	for _, h := range all {
		if h.stuck || len(h.spans) == 0 {
			continue
		}
		if best == nil || h.share() > best.share() {
			best = h
		}
	}
	return best
}

// Plan returns at most limit moves that even out the load. A target without any key gets its share however small the
// load is.
func (p *Planner) Plan(limit int) []Move {
	all, total, capacity := p.holdings()
	if capacity == 0 {
		return nil
	}
	mean := total / capacity
	var moves []Move
	for len(moves) < limit {
		giver, taker := busiest(all), idlest(all, 0, nil)
		if giver == nil || taker == nil || giver == taker {
			break
		}
		empty := len(taker.spans) == 0 && taker.load == 0
		uneven := giver.share() > busyShare && p.surely(giver) > excess*mean && giver.share()-taker.share() > minGap
		if !empty && !uneven {
			break
		}
		want := min((giver.share()-mean)*giver.Capacity, (mean-taker.share())*taker.Capacity)
		if empty {
			want = min((mean-taker.share())*taker.Capacity, giver.load/2)
		}
		i, part, ok := p.cut(giver, want)
		if !ok && uneven {
			i, part, taker, ok = p.apart(giver, all)
		}
		if !ok {
			giver.stuck = true
			if m, ok := p.lift(giver, all); ok && uneven {
				moves = append(moves, m)
			}
			continue
		}
		moves = append(moves, Move{
			Span: part,
			From: giver.Incarnation,
			To:   taker.Incarnation,
		})
		w := p.weight(part)
		giver.load -= w
		giver.spans = without(giver.spans, i, part)
		taker.load += w
		// A part that is on its way does not move on at once, but it makes the taker one that owns something.
	}
	return moves
}

// apart returns the heaviest key of a busy target, and the target that is the least busy with it. That one may become
// busier than the others, and give other keys away, but not as busy as the giver was.
func (p *Planner) apart(giver *holding, all []*holding) (index int, part registrar.Span, taker *holding, ok bool) {
	key, load := p.heaviest(giver.spans)
	taker = idlest(all, load, giver)
	if taker == nil || load < minPart*giver.Capacity || (taker.load+load)/taker.Capacity > giver.share()-minGap {
		return 0, registrar.Span{}, nil, false
	}
	for i, s := range giver.spans {
		if s.From <= key && key <= s.To {
			return i, registrar.Span{
				From: key,
				To:   key,
			}, taker, true
		}
	}
	return 0, registrar.Span{}, nil, false
}

// lift moves a key that is too busy for its owner alone to the target with the most capacity. The other keys of that
// target move away later, as of any busy one.
func (p *Planner) lift(giver *holding, all []*holding) (Move, bool) {
	key, load := p.heaviest(giver.spans)
	if load < busyShare*giver.Capacity || load < hotShare*giver.load {
		return Move{}, false
	}
	best := giver
	for _, h := range all {
		if h.Closed || h == giver {
			continue
		}
		if _, other := p.heaviest(h.spans); other < load && h.Capacity > max(best.Capacity, giver.Capacity*minLift) {
			best = h
		}
	}
	if best == giver {
		return Move{}, false
	}
	return Move{
		Span: registrar.Span{
			From: key,
			To:   key,
		},
		From: giver.Incarnation,
		To:   best.Incarnation,
	}, true
}

// heaviest returns the key with the most load in spans.
func (p *Planner) heaviest(spans []registrar.Span) (key uint16, load float64) {
	for _, s := range spans {
		for k := int(s.From); k <= int(s.To); k++ {
			if w := p.Sums[k+1] - p.Sums[k]; w > load {
				key, load = uint16(k), w
			}
		}
	}
	return key, load
}

// cut returns the part at an end of one of the giver's spans whose load is closest to what is wanted.
func (p *Planner) cut(giver *holding, want float64) (index int, part registrar.Span, ok bool) {
	best := 0.0
	for i, s := range giver.spans {
		whole := len(giver.spans) > 1
		for _, span := range p.ends(s, want, whole) {
			w := p.weight(span)
			if w > want*maxPart || w < want*minPart {
				continue
			}
			if !ok || distance(w, want) < distance(best, want) {
				index, part, best, ok = i, span, w, true
			}
		}
	}
	return index, part, ok
}

func distance(a, b float64) float64 {
	return max(a-b, b-a)
}

// ends returns the longest parts at both ends of s that do not exceed the wanted load, and s itself if whole is true.
func (p *Planner) ends(s registrar.Span, want float64, whole bool) []registrar.Span {
	var parts []registrar.Span
	if whole {
		parts = append(parts, s)
	}
	n := int(s.To) - int(s.From)
	if n == 0 {
		return parts
	}
	// The first k keys, k from 1 to n.
	k := sort.Search(n, func(i int) bool { return p.Sums[int(s.From)+i+1]-p.Sums[s.From] > want })
	if k > 0 {
		parts = append(parts, registrar.Span{
			From: s.From,
			To:   s.From + uint16(k-1),
		})
	}
	k = sort.Search(n, func(i int) bool { return p.Sums[int(s.To)+1]-p.Sums[int(s.To)-i] > want })
	if k > 0 {
		parts = append(parts, registrar.Span{
			From: s.To - uint16(k-1),
			To:   s.To,
		})
	}
	return parts
}

// without returns spans with part cut out of the span at index i.
func without(spans []registrar.Span, i int, part registrar.Span) []registrar.Span {
	s := spans[i]
	next := append([]registrar.Span(nil), spans[:i]...)
	if s.From < part.From {
		next = append(next, registrar.Span{
			From: s.From,
			To:   part.From - 1,
		})
	}
	if part.To < s.To {
		next = append(next, registrar.Span{
			From: part.To + 1,
			To:   s.To,
		})
	}
	return append(next, spans[i+1:]...)
}
