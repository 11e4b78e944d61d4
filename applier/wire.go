package applier

import (
	"net/netip"
	"time"

	"bramleyline.example/bramleyline/fencer"
	"bramleyline.example/bramleyline/keyer"
	"bramleyline.example/bramleyline/registrar"
)

// The wire types are the encoded forms of commands, results and snapshots. The CBOR key of a field is never reused for
// another field, so that a newer program can read the log of an older one.

type commandWire struct {
	RequestID     string                `cbor:"1,keyasint,omitempty"`
	PutConfig     *storedConfigWire     `cbor:"2,keyasint,omitempty"`
	SetService    *setServiceWire       `cbor:"3,keyasint,omitempty"`
	ChangeVoters  *changeVotersWire     `cbor:"4,keyasint,omitempty"`
	RegisterHost  *hostWire             `cbor:"5,keyasint,omitempty"`
	NameAuthority *nameAuthorityWire    `cbor:"6,keyasint,omitempty"`
	SetInSync     *setInSyncWire        `cbor:"7,keyasint,omitempty"`
	Delegate      *delegateWire         `cbor:"8,keyasint,omitempty"`
	Assign        *assignWire           `cbor:"9,keyasint,omitempty"`
	Registry      *registrar.ChangeWire `cbor:"10,keyasint,omitempty"`
}

// storedConfigWire is the encoded form of a StoredConfig, and of a PutConfigMsg, whose Expect is stored as Version.
type storedConfigWire struct {
	Version  uint64            `cbor:"1,keyasint,omitempty"`
	Digest   string            `cbor:"2,keyasint,omitempty"`
	Operator string            `cbor:"3,keyasint,omitempty"`
	At       int64             `cbor:"4,keyasint,omitempty"`
	Base     string            `cbor:"5,keyasint,omitempty"`
	Overlays map[string]string `cbor:"6,keyasint,omitempty"`
	Index    uint64            `cbor:"7,keyasint,omitempty"`
}

type setServiceWire struct {
	DataCentre string   `cbor:"1,keyasint,omitempty"`
	Target     string   `cbor:"2,keyasint,omitempty"`
	Out        bool     `cbor:"3,keyasint,omitempty"`
	Operator   string   `cbor:"4,keyasint,omitempty"`
	At         int64    `cbor:"5,keyasint,omitempty"`
	Others     []string `cbor:"6,keyasint,omitempty"`
}

type changeVotersWire struct {
	Voters   []string `cbor:"1,keyasint,omitempty"`
	Learners []string `cbor:"2,keyasint,omitempty"`
}

type hostWire struct {
	Name        string `cbor:"1,keyasint,omitempty"`
	Incarnation uint64 `cbor:"2,keyasint,omitempty"`
	DataCentre  string `cbor:"3,keyasint,omitempty"`
	Control     bool   `cbor:"4,keyasint,omitempty"`
	Peer        string `cbor:"5,keyasint,omitempty"`
	RPC         string `cbor:"6,keyasint,omitempty"`
	Announce    string `cbor:"7,keyasint,omitempty"`
}

type nameAuthorityWire struct {
	DataCentre  string `cbor:"1,keyasint,omitempty"`
	Host        string `cbor:"2,keyasint,omitempty"`
	Incarnation uint64 `cbor:"3,keyasint,omitempty"`
}

type setInSyncWire struct {
	DataCentre     string            `cbor:"1,keyasint,omitempty"`
	AuthorityIndex uint64            `cbor:"2,keyasint,omitempty"`
	InSync         map[string]uint64 `cbor:"3,keyasint,omitempty"`
}

type delegateWire struct {
	Service    string   `cbor:"1,keyasint,omitempty"`
	Slots      []uint32 `cbor:"2,keyasint,omitempty"`
	DataCentre string   `cbor:"3,keyasint,omitempty"`
}

type assignWire struct {
	DataCentre     string               `cbor:"1,keyasint,omitempty"`
	AuthorityIndex uint64               `cbor:"2,keyasint,omitempty"`
	Service        string               `cbor:"3,keyasint,omitempty"`
	Owners         []ownerWire          `cbor:"4,keyasint,omitempty"`
	HotKeys        map[string]ownerWire `cbor:"5,keyasint,omitempty"`
	// ReplaceHotKeys distinguishes an empty map of hot keys, which removes them, from nil, which keeps them.
	ReplaceHotKeys bool `cbor:"6,keyasint,omitempty"`
}

type ownerWire struct {
	_      struct{} `cbor:",toarray"`
	Slot   uint32
	Target string
	Epoch  uint64
}

type resultWire struct {
	Index     uint64            `cbor:"1,keyasint,omitempty"`
	Rejection string            `cbor:"2,keyasint,omitempty"`
	Winner    *storedConfigWire `cbor:"3,keyasint,omitempty"`
}

func storedConfigToWire(c StoredConfig) *storedConfigWire {
	return &storedConfigWire{
		Version:  c.Version,
		Digest:   c.Digest,
		Operator: c.Operator,
		At:       timeToWire(c.At),
		Base:     c.Base,
		Overlays: c.Overlays,
		Index:    c.Index,
	}
}

func (w *storedConfigWire) stored() StoredConfig {
	return StoredConfig{
		Version:  w.Version,
		Index:    w.Index,
		Digest:   w.Digest,
		Operator: w.Operator,
		At:       timeFromWire(w.At),
		Base:     w.Base,
		Overlays: w.Overlays,
	}
}

func resultToWire(r Result) resultWire {
	w := resultWire{
		Index:     r.Index,
		Rejection: r.Rejection,
	}
	if r.Winner != nil {
		w.Winner = storedConfigToWire(*r.Winner)
	}
	return w
}

func (w resultWire) result() Result {
	r := Result{
		Index:     w.Index,
		Rejection: w.Rejection,
	}
	if w.Winner != nil {
		winner := w.Winner.stored()
		r.Winner = &winner
	}
	return r
}

func hostToWire(h Host) hostWire {
	return hostWire{
		Name:        h.Name,
		Incarnation: h.Incarnation,
		DataCentre:  h.DataCentre,
		Control:     h.Control,
		Peer:        addrToWire(h.Peer),
		RPC:         addrToWire(h.RPC),
		Announce:    addrToWire(h.Announce),
	}
}

func (w hostWire) host() Host {
	return Host{
		Name:        w.Name,
		Incarnation: w.Incarnation,
		DataCentre:  w.DataCentre,
		Control:     w.Control,
		Peer:        addrFromWire(w.Peer),
		RPC:         addrFromWire(w.RPC),
		Announce:    addrFromWire(w.Announce),
	}
}

func ownerToWire(c OwnerChange) ownerWire {
	return ownerWire{
		Slot:   uint32(c.Slot),
		Target: c.Target,
		Epoch:  uint64(c.Epoch),
	}
}

func (w ownerWire) change() OwnerChange {
	return OwnerChange{
		Slot:   keyer.Slot(w.Slot),
		Target: w.Target,
		Epoch:  fencer.Epoch(w.Epoch),
	}
}

func addrToWire(a netip.AddrPort) string {
	if !a.IsValid() {
		return ""
	}
	return a.String()
}

// addrFromWire returns the zero AddrPort, to which nothing is sent, for an address that cannot be parsed.
func addrFromWire(s string) netip.AddrPort {
	a, _ := netip.ParseAddrPort(s)
	return a
}

func timeToWire(t time.Time) int64 {
	if t.IsZero() {
		return 0
	}
	return t.UnixNano()
}

func timeFromWire(n int64) time.Time {
	if n == 0 {
		return time.Time{}
	}
	return time.Unix(0, n).UTC()
}
