package registrar

// Change is one command that changes a Registry. Exactly one of the fields is set.
type Change struct {
	PutTable *PutTableMsg
	Announce *Target
	Drain    *DrainMsg
	Remove   *Incarnation
	Grant    *GrantMsg
	Release  *ReleaseMsg
	Refence  *RefenceMsg
	Rate     *RateMsg
	Limit    *LimitMsg
	// Quarantine changes the requests that are refused because they crash targets.
	Quarantine *QuarantineMsg
}

// PutTableMsg stores a traffic table.
type PutTableMsg struct {
	Version uint64
	Body    []byte
}

// DrainMsg marks a target as draining at the beginning of its planned stop.
type DrainMsg struct {
	ID string
}

// GrantMsg grants ranges of one service to new owners.
type GrantMsg struct {
	Service string
	Grants  []Grant
}

// ReleaseMsg marks ranges of one service as being released by their owners, or clears the mark.
type ReleaseMsg struct {
	Service   string
	Spans     []Span
	Releasing bool
}

// RefenceMsg grants all ranges of one service to their current owners again, under a new fence.
type RefenceMsg struct {
	Service string
}

// RateMsg records the slowness of targets.
type RateMsg struct {
	Ratings []Rating
}

// Rating is the rated slowness of one incarnation, in the unit of Target.Slowness.
type Rating struct {
	Incarnation Incarnation
	Slowness    float64
}

// LimitMsg records the limits that targets state.
type LimitMsg struct {
	Limits []StatedLimit
}

// StatedLimit is the limit of one incarnation, as in Target.Limit.
type StatedLimit struct {
	Incarnation Incarnation
	Limit       *float64
}

// Apply returns the registry after the change c, whose log index is index.
func (r Registry) Apply(index uint64, c Change) Registry {
	switch {
	case c.PutTable != nil:
		return r.PutTable(index, c.PutTable.Version, c.PutTable.Body)
	case c.Announce != nil:
		return r.Announce(index, *c.Announce)
	case c.Drain != nil:
		return r.Drain(index, c.Drain.ID)
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
	case c.Limit != nil:
		return r.Limit(c.Limit.Limits)
	case c.Quarantine != nil:
		return r.SetQuarantine(*c.Quarantine)
	}
	return r
}
