package journaler

import (
	"net/netip"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
)

// memberWire is the CBOR encoding of a Member.
type memberWire struct {
	Name    string `cbor:"1,keyasint"`
	Addr    string `cbor:"2,keyasint,omitempty"`
	Learner bool   `cbor:"3,keyasint,omitempty"`
}

// snapshotWire is the CBOR encoding of a Snapshot.
type snapshotWire struct {
	Index   uint64       `cbor:"1,keyasint"`
	Term    uint64       `cbor:"2,keyasint"`
	Members []memberWire `cbor:"3,keyasint"`
	Data    []byte       `cbor:"4,keyasint"`
}

// hardStateWire is the CBOR encoding of a HardState. It has the same fields, so that one type converts to the other.
type hardStateWire struct {
	Term uint64 `cbor:"1,keyasint"`
	Vote string `cbor:"2,keyasint"`

	Recovering bool `cbor:"3,keyasint,omitempty"`
}

// EncodeMembers encodes a member list for the Data of an Entry of KindMembers.
func EncodeMembers(members []Member) ([]byte, error) {
	b, err := cbor.Marshal(membersToWire(members))
	return b, errors.Wrap(err, "encode members")
}

// DecodeMembers decodes a member list that EncodeMembers encoded.
func DecodeMembers(b []byte) ([]Member, error) {
	var w []memberWire
	if err := cbor.Unmarshal(b, &w); err != nil {
		return nil, errors.Wrap(err, "decode members")
	}
	return membersFromWire(w)
}

func membersToWire(members []Member) []memberWire {
	w := make([]memberWire, 0, len(members))
	for _, m := range members {
		addr := ""
		if m.Addr.IsValid() {
			addr = m.Addr.String()
		}
		w = append(w, memberWire{
			Name:    m.Name,
			Addr:    addr,
			Learner: m.Learner,
		})
	}
	return w
}

func membersFromWire(w []memberWire) ([]Member, error) {
	members := make([]Member, 0, len(w))
	for _, m := range w {
		var addr netip.AddrPort
		if m.Addr != "" {
			var err error
			if addr, err = netip.ParseAddrPort(m.Addr); err != nil {
				return nil, errors.Wrapf(err, "parse address of member %s", m.Name)
			}
		}
		members = append(members, Member{
			Name:    m.Name,
			Addr:    addr,
			Learner: m.Learner,
		})
	}
	return members, nil
}

func encodeSnapshot(s Snapshot) ([]byte, error) {
	return cbor.Marshal(snapshotWire{
		Index:   s.Index,
		Term:    s.Term,
		Members: membersToWire(s.Members),
		Data:    s.Data,
	})
}

func decodeSnapshot(b []byte) (Snapshot, error) {
	var w snapshotWire
	if err := cbor.Unmarshal(b, &w); err != nil {
		return Snapshot{}, errors.Wrap(err, "decode snapshot")
	}
	members, err := membersFromWire(w.Members)
	return Snapshot{
		Index:   w.Index,
		Term:    w.Term,
		Members: members,
		Data:    w.Data,
	}, err
}
