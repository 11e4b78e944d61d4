package registrar

// Change is one change of a Registry. Exactly one of the fields is set.
type Change struct {
	PutTable *PutTableMsg
	Announce *Target
	Leave    *LeaveMsg
	Remove   *Incarnation
	Grant    *GrantMsg
	Release  *ReleaseMsg
	Refence  *RefenceMsg
	Rate     *RateMsg
}

// PutTableMsg stores a traffic table.
type PutTableMsg struct {
	Version uint64
	Body    []byte
}

// LeaveMsg says that a target will end soon.
type LeaveMsg struct {
	ID string
}

// GrantMsg gives ranges of one service to new owners.
type GrantMsg struct {
	Service string
	Grants  []Grant
}

// ReleaseMsg marks ranges of one service as being given up, or takes the mark back.
type ReleaseMsg struct {
	Service   string
	Spans     []Span
	Releasing bool
}

// RefenceMsg gives all ranges of one service to their present owners again, under a new fence.
type RefenceMsg struct {
	Service string
}

// RateMsg says how fast targets are.
type RateMsg struct {
	Ratings []Rating
}

// Rating is the slowness of one incarnation.
type Rating struct {
	Incarnation Incarnation
	Slowness    float64
}

// Apply returns the registry after c, which has log index index.
func (r Registry) Apply(index uint64, c Change) Registry {
	switch {
	case c.PutTable != nil:
		return r.PutTable(index, c.PutTable.Version, c.PutTable.Body)
	case c.Announce != nil:
		return r.Announce(index, *c.Announce)
	case c.Leave != nil:
		return r.Leave(index, c.Leave.ID)
	case c.Remove != nil:
		return r.Remove(index, *c.Remove)
	case c.Grant != nil:
		return r.Grant(index, c.Grant.Service, c.Grant.Grants)
	case c.Release != nil:
		return r.Release(c.Release.Service, c.Release.Spans, c.Release.Releasing)
	case c.Refence != nil:
		return r.Refence(index, c.Refence.Service)
	case c.Rate != nil:
		return r.Rate(c.Rate.Ratings)
	}
	return r
}
