package applier

import (
	"encoding/binary"

	"github.com/pkg/errors"

	"bramleyline.example/bramleyline/fencer"
	"bramleyline.example/bramleyline/keyer"
	"bramleyline.example/bramleyline/registrar"
)

// slotEntryBytes is the size of the entry of one slot in a snapshot: 8 bytes for the epoch, 4 for the index of the
// delegation, 4 for the number of the target and 2 for the number of the data centre.
const slotEntryBytes = 18

// snapshotWire is the encoded form of a State.
type snapshotWire struct {
	Index       uint64                       `cbor:"1,keyasint"`
	Config      *storedConfigWire            `cbor:"2,keyasint"`
	History     []*storedConfigWire          `cbor:"3,keyasint"`
	Voters      []string                     `cbor:"4,keyasint"`
	Learners    []string                     `cbor:"5,keyasint"`
	Hosts       map[string]hostWire          `cbor:"6,keyasint"`
	DataCentres map[string]dataCentreWire    `cbor:"7,keyasint"`
	TargetsOut  map[string]serviceChangeWire `cbor:"8,keyasint"`
	Slots       map[string]tableWire         `cbor:"9,keyasint"`
	// Results lists the pages of remembered results by request ID, the oldest page first.
	Results  []map[string]resultWire `cbor:"10,keyasint"`
	Registry *registrar.Wire         `cbor:"11,keyasint,omitempty"`
}

type serviceChangeWire struct {
	Operator string `cbor:"1,keyasint,omitempty"`
	At       int64  `cbor:"2,keyasint,omitempty"`
}

type dataCentreWire struct {
	Out                  bool              `cbor:"1,keyasint,omitempty"`
	Changed              serviceChangeWire `cbor:"2,keyasint,omitempty"`
	Authority            string            `cbor:"3,keyasint,omitempty"`
	AuthorityIncarnation uint64            `cbor:"4,keyasint,omitempty"`
	AuthorityIndex       uint64            `cbor:"5,keyasint,omitempty"`
	InSync               map[string]uint64 `cbor:"6,keyasint,omitempty"`
}

// tableWire is the encoded form of a SlotTable. Entries has slotEntryBytes for each slot, in little-endian order.
type tableWire struct {
	Size            int                   `cbor:"1,keyasint"`
	DataCentreNames []string              `cbor:"2,keyasint"`
	TargetNames     []string              `cbor:"3,keyasint"`
	NamesKept       int                   `cbor:"4,keyasint"`
	Entries         []byte                `cbor:"5,keyasint"`
	HotKeys         map[string]hotKeyWire `cbor:"6,keyasint,omitempty"`
}

type hotKeyWire struct {
	_           struct{} `cbor:",toarray"`
	Slot        uint32
	DataCentre  string
	DelegatedAt uint64
	Target      string
	Epoch       uint64
}

// EncodeSnapshot returns the encoding of the whole state. States that result from the same commands have equal
// snapshots.
func EncodeSnapshot(s *State) ([]byte, error) {
	if s == nil {
		s = &State{}
	}
	w := snapshotWire{
		Index:       s.Index,
		Config:      storedConfigToWire(s.Config),
		Voters:      s.Voters,
		Learners:    s.Learners,
		Hosts:       make(map[string]hostWire, len(s.Hosts)),
		DataCentres: make(map[string]dataCentreWire, len(s.DataCentres)),
		TargetsOut:  make(map[string]serviceChangeWire, len(s.TargetsOut)),
		Slots:       make(map[string]tableWire, len(s.Slots)),
		Results:     make([]map[string]resultWire, s.results.pageCount()),
	}
	for _, c := range s.History {
		w.History = append(w.History, storedConfigToWire(c))
	}
	for name, h := range s.Hosts {
		w.Hosts[name] = hostToWire(h)
	}
	for name, dc := range s.DataCentres {
		w.DataCentres[name] = dataCentreWire{
			Out:                  dc.Out,
			Changed:              changeToWire(dc.Changed),
			Authority:            dc.Authority,
			AuthorityIncarnation: dc.AuthorityIncarnation,
			AuthorityIndex:       dc.AuthorityIndex,
			InSync:               dc.InSync,
		}
	}
	for name, c := range s.TargetsOut {
		w.TargetsOut[name] = changeToWire(c)
	}
	for name, t := range s.Slots {
		w.Slots[name] = tableToWire(t)
	}
	for p := s.results; p != nil; p = p.older {
		results := make(map[string]resultWire, len(p.results))
		for id, r := range p.results {
			results[id] = resultToWire(r)
		}
		w.Results[p.pages-1] = results
	}
	w.Registry = s.Registry.ToWire()
	b, err := encMode.Marshal(w)
	return b, errors.Wrap(err, "encode snapshot")
}

// DecodeSnapshot decodes a state that EncodeSnapshot encoded.
func DecodeSnapshot(b []byte) (*State, error) {
	var w snapshotWire
	if err := decMode.Unmarshal(b, &w); err != nil {
		return nil, errors.Wrap(err, "decode snapshot")
	}
	s := State{
		Index:      w.Index,
		HostsIndex: w.Index,
		Voters:     w.Voters,
		Learners:   w.Learners,
	}
	if w.Config != nil {
		s.Config = w.Config.stored()
	}
	for _, c := range w.History {
		s.History = append(s.History, c.stored())
	}
	if w.Registry != nil {
		s.Registry = w.Registry.Registry()
	}
	s.Hosts = make(map[string]Host, len(w.Hosts))
	for name, h := range w.Hosts {
		s.Hosts[name] = h.host()
	}
	s.DataCentres = make(map[string]DataCentre, len(w.DataCentres))
	for name, dc := range w.DataCentres {
		s.DataCentres[name] = DataCentre{
			Name:                 name,
			Out:                  dc.Out,
			Changed:              dc.Changed.change(),
			Authority:            dc.Authority,
			AuthorityIncarnation: dc.AuthorityIncarnation,
			AuthorityIndex:       dc.AuthorityIndex,
			InSync:               dc.InSync,
		}
	}
	s.TargetsOut = make(map[string]ServiceChange, len(w.TargetsOut))
	for name, c := range w.TargetsOut {
		s.TargetsOut[name] = c.change()
	}
	s.Slots = make(map[string]*SlotTable, len(w.Slots))
	for name, t := range w.Slots {
		table, err := t.table()
		if err != nil {
			return nil, errors.Wrapf(err, "slots of service %s", name)
		}
		s.Slots[name] = table
	}
	for _, results := range w.Results {
		p := resultPage{
			results: make(map[string]Result, len(results)),
			older:   s.results,
			pages:   s.results.pageCount() + 1,
		}
		for id, r := range results {
			p.results[id] = r.result()
		}
		s.results = &p
	}
	return &s, nil
}

func changeToWire(c ServiceChange) serviceChangeWire {
	return serviceChangeWire{
		Operator: c.Operator,
		At:       timeToWire(c.At),
	}
}

func (w serviceChangeWire) change() ServiceChange {
	return ServiceChange{
		Operator: w.Operator,
		At:       timeFromWire(w.At),
	}
}

func tableToWire(t *SlotTable) tableWire {
	w := tableWire{
		Size:            t.size,
		DataCentreNames: t.dataCentreNames,
		TargetNames:     t.targetNames,
		NamesKept:       t.namesKept,
		Entries:         make([]byte, 0, t.size*slotEntryBytes),
		HotKeys:         make(map[string]hotKeyWire, len(t.hotKeys)),
	}
	for slot := range t.size {
		p, i := t.pages[slot/pageSlots], slot%pageSlots
		w.Entries = binary.LittleEndian.AppendUint64(w.Entries, uint64(p.epochs[i]))
		w.Entries = binary.LittleEndian.AppendUint32(w.Entries, p.delegatedAt[i])
		w.Entries = binary.LittleEndian.AppendUint32(w.Entries, p.targets[i])
		w.Entries = binary.LittleEndian.AppendUint16(w.Entries, p.dataCentres[i])
	}
	for key, e := range t.hotKeys {
		w.HotKeys[key] = hotKeyWire{
			Slot:        uint32(e.Slot),
			DataCentre:  e.DataCentre,
			DelegatedAt: e.DelegatedAt,
			Target:      e.Target,
			Epoch:       uint64(e.Epoch),
		}
	}
	return w
}

// table returns the decoded table, or an error if its parts do not fit together.
func (w tableWire) table() (*SlotTable, error) {
	if len(w.Entries) != w.Size*slotEntryBytes || len(w.TargetNames) == 0 || len(w.DataCentreNames) == 0 {
		return nil, errors.Errorf("invalid slot table: %d bytes for %d slots", len(w.Entries), w.Size)
	}
	t := SlotTable{
		dataCentreNames: w.DataCentreNames,
		targetNames:     w.TargetNames,
		targetNumbers:   make(map[string]uint32, len(w.TargetNames)),
		namesKept:       w.NamesKept,
		hotKeys:         make(map[string]SlotEntry, len(w.HotKeys)),
	}
	for i, name := range w.TargetNames[1:] {
		t.targetNumbers[name] = uint32(i + 1)
	}
	edit := tableEdit{
		table:       &t,
		pagesCopied: make(map[int]bool),
	}
	edit.grow(w.Size)
	for slot := range w.Size {
		b := w.Entries[slot*slotEntryBytes:]
		p, i := t.pages[slot/pageSlots], slot%pageSlots
		p.epochs[i] = fencer.Epoch(binary.LittleEndian.Uint64(b))
		p.delegatedAt[i] = binary.LittleEndian.Uint32(b[8:])
		p.targets[i] = binary.LittleEndian.Uint32(b[12:])
		p.dataCentres[i] = binary.LittleEndian.Uint16(b[16:])
		if int(p.targets[i]) >= len(t.targetNames) || int(p.dataCentres[i]) >= len(t.dataCentreNames) {
			return nil, errors.Errorf("slot %d refers to an unknown target or data centre", slot)
		}
	}
	for key, e := range w.HotKeys {
		t.hotKeys[key] = SlotEntry{
			Slot:        keyer.Slot(e.Slot),
			DataCentre:  e.DataCentre,
			DelegatedAt: e.DelegatedAt,
			Target:      e.Target,
			Epoch:       fencer.Epoch(e.Epoch),
		}
	}
	return &t, nil
}
