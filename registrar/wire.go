package registrar

import (
	"math"
	"net/netip"
	"time"
)

// The wire types are the CBOR form of changes and registries in the log and in snapshots. The number of a field is never
// given to another field, so that a newer program reads what an older one wrote.

// ChangeWire is the encoded form of a Change.
type ChangeWire struct {
	PutTable *documentWire    `cbor:"1,keyasint,omitempty"`
	Announce *targetWire      `cbor:"2,keyasint,omitempty"`
	Drain    string           `cbor:"3,keyasint,omitempty"`
	Remove   *incarnationWire `cbor:"4,keyasint,omitempty"`
	Grant    *grantWire       `cbor:"5,keyasint,omitempty"`
	Release  *releaseWire     `cbor:"6,keyasint,omitempty"`
	Refence  string           `cbor:"7,keyasint,omitempty"`
	Rate     []ratingWire     `cbor:"8,keyasint,omitempty"`
	Limit    []limitWire      `cbor:"9,keyasint,omitempty"`
	// Quarantine and Unquarantine are the two lists of a QuarantineMsg.
	Quarantine   []quarantinedWire `cbor:"10,keyasint,omitempty"`
	Unquarantine []uint64          `cbor:"11,keyasint,omitempty"`
}

// Wire is the encoded form of a Registry.
type Wire struct {
	Table      documentWire             `cbor:"1,keyasint"`
	Targets    []targetWire             `cbor:"2,keyasint,omitempty"`
	Tombstones map[string]tombstoneWire `cbor:"3,keyasint,omitempty"`
	Ranges     map[string][]rangeWire   `cbor:"4,keyasint,omitempty"`
	Quarantine []quarantinedWire        `cbor:"5,keyasint,omitempty"`
}

type quarantinedWire struct {
	_           struct{} `cbor:",toarray"`
	Fingerprint uint64
	Round       uint32
	// Since is in Unix milliseconds.
	Since int64
}

type documentWire struct {
	Version uint64 `cbor:"1,keyasint,omitempty"`
	Body    []byte `cbor:"2,keyasint,omitempty"`
	Index   uint64 `cbor:"3,keyasint,omitempty"`
}

type incarnationWire struct {
	_    struct{} `cbor:",toarray"`
	ID   string
	Born int64
}

type tombstoneWire struct {
	_    struct{} `cbor:",toarray"`
	Born int64
	At   uint64
}

type targetWire struct {
	Incarnation incarnationWire `cbor:"1,keyasint"`
	Service     string          `cbor:"2,keyasint,omitempty"`
	Addr        string          `cbor:"3,keyasint,omitempty"`
	DataCentre  string          `cbor:"4,keyasint,omitempty"`
	Slots       int             `cbor:"5,keyasint,omitempty"`
	Seq         uint64          `cbor:"6,keyasint,omitempty"`
	Cold        bool            `cbor:"7,keyasint,omitempty"`
	Draining    bool            `cbor:"8,keyasint,omitempty"`
	JoinedAt    uint64          `cbor:"9,keyasint,omitempty"`
	ChangedAt   uint64          `cbor:"10,keyasint,omitempty"`
	// Slowness is in thousandths.
	Slowness int64 `cbor:"11,keyasint,omitempty"`
	// Limit is in thousandths of a request per second.
	Limit *int64 `cbor:"12,keyasint,omitempty"`
}

// ratingWire holds the slowness in thousandths.
type ratingWire struct {
	_           struct{} `cbor:",toarray"`
	Incarnation incarnationWire
	Slowness    int64
}

// limitWire holds the limit in thousandths of a request per second, nil for none.
type limitWire struct {
	_           struct{} `cbor:",toarray"`
	Incarnation incarnationWire
	Limit       *int64
}

// thousandths converts a slowness or a limit to the unit of the wire types.
const thousandths = 1000

type grantWire struct {
	Service string      `cbor:"1,keyasint"`
	Grants  []rangeWire `cbor:"2,keyasint"`
}

type releaseWire struct {
	Service   string     `cbor:"1,keyasint"`
	Spans     []spanWire `cbor:"2,keyasint"`
	Releasing bool       `cbor:"3,keyasint,omitempty"`
}

type spanWire struct {
	_    struct{} `cbor:",toarray"`
	From uint16
	To   uint16
}

type rangeWire struct {
	From      uint16          `cbor:"1,keyasint,omitempty"`
	To        uint16          `cbor:"2,keyasint,omitempty"`
	Owner     incarnationWire `cbor:"3,keyasint"`
	Fence     uint64          `cbor:"4,keyasint,omitempty"`
	Releasing bool            `cbor:"5,keyasint,omitempty"`
	Handover  string          `cbor:"6,keyasint,omitempty"`
}

// ToWire returns the encoded form of c.
func (c Change) ToWire() *ChangeWire {
	w := ChangeWire{}
	switch {
	case c.PutTable != nil:
		w.PutTable = &documentWire{
			Version: c.PutTable.Version,
			Body:    c.PutTable.Body,
		}
	case c.Announce != nil:
		t := targetToWire(*c.Announce)
		w.Announce = &t
	case c.Drain != nil:
		w.Drain = c.Drain.ID
	case c.Remove != nil:
		inc := incarnationToWire(*c.Remove)
		w.Remove = &inc
	case c.Grant != nil:
		w.Grant = &grantWire{
			Service: c.Grant.Service,
		}
		for _, g := range c.Grant.Grants {
			w.Grant.Grants = append(w.Grant.Grants, rangeWire{
				From:     g.From,
				To:       g.To,
				Owner:    incarnationToWire(g.Owner),
				Handover: g.Handover,
			})
		}
	case c.Release != nil:
		w.Release = &releaseWire{
			Service:   c.Release.Service,
			Releasing: c.Release.Releasing,
		}
		for _, s := range c.Release.Spans {
			w.Release.Spans = append(w.Release.Spans, spanWire{
				From: s.From,
				To:   s.To,
			})
		}
	case c.Refence != nil:
		w.Refence = c.Refence.Service
	case c.Rate != nil:
		for _, rt := range c.Rate.Ratings {
			w.Rate = append(w.Rate, ratingWire{
				Incarnation: incarnationToWire(rt.Incarnation),
				Slowness:    int64(rt.Slowness * thousandths),
			})
		}
	case c.Limit != nil:
		for _, l := range c.Limit.Limits {
			w.Limit = append(w.Limit, limitWire{
				Incarnation: incarnationToWire(l.Incarnation),
				Limit:       limitToWire(l.Limit),
			})
		}
	case c.Quarantine != nil:
		for _, q := range c.Quarantine.Set {
			w.Quarantine = append(w.Quarantine, quarantinedToWire(q))
		}
		w.Unquarantine = c.Quarantine.Remove
	}
	return &w
}

// Change decodes w.
func (w *ChangeWire) Change() Change {
	c := Change{}
	switch {
	case w.PutTable != nil:
		c.PutTable = &PutTableMsg{
			Version: w.PutTable.Version,
			Body:    w.PutTable.Body,
		}
	case w.Announce != nil:
		t := w.Announce.target()
		c.Announce = &t
	case w.Drain != "":
		c.Drain = &DrainMsg{
			ID: w.Drain,
		}
	case w.Remove != nil:
		inc := w.Remove.incarnation()
		c.Remove = &inc
	case w.Grant != nil:
		c.Grant = &GrantMsg{
			Service: w.Grant.Service,
		}
		for _, g := range w.Grant.Grants {
			c.Grant.Grants = append(c.Grant.Grants, Grant{
				From:     g.From,
				To:       g.To,
				Owner:    g.Owner.incarnation(),
				Handover: g.Handover,
			})
		}
	case w.Release != nil:
		c.Release = &ReleaseMsg{
			Service:   w.Release.Service,
			Releasing: w.Release.Releasing,
		}
		for _, s := range w.Release.Spans {
			c.Release.Spans = append(c.Release.Spans, Span{
				From: s.From,
				To:   s.To,
			})
		}
	case w.Refence != "":
		c.Refence = &RefenceMsg{
			Service: w.Refence,
		}
	case len(w.Rate) > 0:
		c.Rate = &RateMsg{}
		for _, rt := range w.Rate {
			c.Rate.Ratings = append(c.Rate.Ratings, Rating{
				Incarnation: rt.Incarnation.incarnation(),
				Slowness:    float64(rt.Slowness) / thousandths,
			})
		}
	case len(w.Limit) > 0:
		c.Limit = &LimitMsg{}
		for _, l := range w.Limit {
			c.Limit.Limits = append(c.Limit.Limits, StatedLimit{
				Incarnation: l.Incarnation.incarnation(),
				Limit:       limitFromWire(l.Limit),
			})
		}
	case len(w.Quarantine)+len(w.Unquarantine) > 0:
		c.Quarantine = &QuarantineMsg{
			Remove: w.Unquarantine,
		}
		for _, q := range w.Quarantine {
			c.Quarantine.Set = append(c.Quarantine.Set, q.quarantined())
		}
	}
	return c
}

// ToWire returns the encoded form of r.
func (r Registry) ToWire() *Wire {
	w := Wire{
		Table: documentWire{
			Version: r.Table.Version,
			Body:    r.Table.Body,
			Index:   r.Table.Index,
		},
		Tombstones: make(map[string]tombstoneWire, len(r.Tombstones)),
		Ranges:     make(map[string][]rangeWire, r.ranges.Len()),
	}
	for _, t := range r.targets.All() {
		w.Targets = append(w.Targets, targetToWire(*t))
	}
	for id, ts := range r.Tombstones {
		w.Tombstones[id] = tombstoneWire{
			Born: timeToWire(ts.Born),
			At:   ts.At,
		}
	}
	for service, ranges := range r.ranges.All() {
		list := make([]rangeWire, 0, ranges.Len())
		for _, rg := range ranges.All() {
			list = append(list, rangeWire{
				From:      rg.From,
				To:        rg.To,
				Owner:     incarnationToWire(rg.Owner),
				Fence:     rg.Fence,
				Releasing: rg.Releasing,
				Handover:  rg.Handover,
			})
		}
		w.Ranges[service] = list
	}
	for _, q := range r.quarantine.All() {
		w.Quarantine = append(w.Quarantine, quarantinedToWire(q))
	}
	return &w
}

// Registry decodes w.
func (w *Wire) Registry() Registry {
	r := Registry{
		Table: Document{
			Version: w.Table.Version,
			Index:   w.Table.Index,
			Body:    w.Table.Body,
		},
		Tombstones: make(map[string]Tombstone, len(w.Tombstones)),
	}
	for _, t := range w.Targets {
		r = r.withTarget(t.target())
	}
	for id, ts := range w.Tombstones {
		r.Tombstones[id] = Tombstone{
			Born: timeFromWire(ts.Born),
			At:   ts.At,
		}
	}
	for service, list := range w.Ranges {
		var none Ranges
		ranges := none.Edit()
		for _, rg := range list {
			ranges.Set(rg.From, &Range{
				From:      rg.From,
				To:        rg.To,
				Owner:     rg.Owner.incarnation(),
				Fence:     rg.Fence,
				Releasing: rg.Releasing,
				Handover:  rg.Handover,
			})
		}
		r = r.withRanges(service, ranges.Map)
	}
	for _, q := range w.Quarantine {
		r.quarantine = r.quarantine.With(q.Fingerprint, q.quarantined())
	}
	return r
}

func targetToWire(t Target) targetWire {
	return targetWire{
		Incarnation: incarnationToWire(t.Incarnation),
		Service:     t.Service,
		Addr:        t.Addr.String(),
		DataCentre:  t.DataCentre,
		Slots:       t.Slots,
		Seq:         t.Seq,
		Cold:        t.Cold,
		Draining:    t.Draining,
		JoinedAt:    t.JoinedAt,
		ChangedAt:   t.ChangedAt,
		Slowness:    int64(t.Slowness * thousandths),
		Limit:       limitToWire(t.Limit),
	}
}

func (w *targetWire) target() Target {
	// An address that cannot be parsed stays invalid, and no request is sent to it.
	addr, _ := netip.ParseAddrPort(w.Addr)
	return Target{
		Incarnation: w.Incarnation.incarnation(),
		Service:     w.Service,
		Addr:        addr,
		DataCentre:  w.DataCentre,
		Slots:       w.Slots,
		Seq:         w.Seq,
		Cold:        w.Cold,
		Draining:    w.Draining,
		JoinedAt:    w.JoinedAt,
		ChangedAt:   w.ChangedAt,
		Slowness:    float64(w.Slowness) / thousandths,
		Limit:       limitFromWire(w.Limit),
	}
}

func quarantinedToWire(q Quarantined) quarantinedWire {
	return quarantinedWire{
		Fingerprint: q.Fingerprint,
		Round:       q.Round,
		Since:       timeToWire(q.Since),
	}
}

func (w quarantinedWire) quarantined() Quarantined {
	return Quarantined{
		Fingerprint: w.Fingerprint,
		Round:       w.Round,
		Since:       timeFromWire(w.Since),
	}
}

func limitToWire(limit *float64) *int64 {
	if limit == nil {
		return nil
	}
	n := int64(math.Round(*limit * thousandths))
	return &n
}

func limitFromWire(n *int64) *float64 {
	if n == nil {
		return nil
	}
	limit := float64(*n) / thousandths
	return &limit
}

func incarnationToWire(inc Incarnation) incarnationWire {
	return incarnationWire{
		ID:   inc.ID,
		Born: timeToWire(inc.Born),
	}
}

func (w incarnationWire) incarnation() Incarnation {
	return Incarnation{
		ID:   w.ID,
		Born: timeFromWire(w.Born),
	}
}

func timeToWire(t time.Time) int64 {
	if t.IsZero() {
		return 0
	}
	return t.UnixMilli()
}

func timeFromWire(ms int64) time.Time {
	if ms == 0 {
		return time.Time{}
	}
	return time.UnixMilli(ms).UTC()
}
