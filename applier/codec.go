package applier

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"bramleyline.example/bramleyline/keyer"
)

// encMode sorts map keys, so that equal states are encoded as equal snapshots.
var encMode = func() cbor.EncMode {
	mode, err := cbor.CoreDetEncOptions().EncMode()
	if err != nil {
		panic(err)
	}
	return mode
}()

// decMode raises the limits of the CBOR decoder to hold the longest list of slots and the largest map of hosts in one
// snapshot.
var decMode = func() cbor.DecMode {
	mode, err := cbor.DecOptions{
		MaxArrayElements: 1 << 24,
		MaxMapPairs:      1 << 24,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}()

// EncodeCommand returns the encoding of cmd for the log.
func EncodeCommand(cmd Command) ([]byte, error) {
	b, err := encMode.Marshal(commandToWire(cmd))
	return b, errors.Wrap(err, "encode command")
}

// DecodeCommand decodes a command that EncodeCommand encoded.
func DecodeCommand(b []byte) (Command, error) {
	var w commandWire
	if err := decMode.Unmarshal(b, &w); err != nil {
		return Command{}, errors.Wrap(err, "decode command")
	}
	return w.command(), nil
}

// EncodeResult returns the encoding of r for the answer to a proposer.
func EncodeResult(r Result) ([]byte, error) {
	b, err := encMode.Marshal(resultToWire(r))
	return b, errors.Wrap(err, "encode result")
}

// DecodeResult decodes a result that EncodeResult encoded.
func DecodeResult(b []byte) (Result, error) {
	var w resultWire
	if err := decMode.Unmarshal(b, &w); err != nil {
		return Result{}, errors.Wrap(err, "decode result")
	}
	return w.result(), nil
}

func commandToWire(cmd Command) commandWire {
	w := commandWire{
		RequestID: cmd.RequestID,
	}
	switch {
	case cmd.PutConfig != nil:
		m := cmd.PutConfig
		w.PutConfig = storedConfigToWire(StoredConfig{
			Version:  m.Expect,
			Digest:   m.Digest,
			Operator: m.Operator,
			At:       m.At,
			Base:     m.Base,
			Overlays: m.Overlays,
		})
	case cmd.SetService != nil:
		m := cmd.SetService
		w.SetService = &setServiceWire{
			DataCentre: m.DataCentre,
			Target:     m.Target,
			Out:        m.Out,
			Operator:   m.Operator,
			At:         timeToWire(m.At),
			Others:     m.Others,
		}
	case cmd.ChangeVoters != nil:
		w.ChangeVoters = &changeVotersWire{
			Voters:   cmd.ChangeVoters.Voters,
			Learners: cmd.ChangeVoters.Learners,
		}
	case cmd.RegisterHost != nil:
		h := hostToWire(cmd.RegisterHost.Host)
		w.RegisterHost = &h
	case cmd.NameAuthority != nil:
		m := cmd.NameAuthority
		w.NameAuthority = &nameAuthorityWire{
			DataCentre:  m.DataCentre,
			Host:        m.Host,
			Incarnation: m.Incarnation,
		}
	case cmd.SetInSync != nil:
		m := cmd.SetInSync
		w.SetInSync = &setInSyncWire{
			DataCentre:     m.DataCentre,
			AuthorityIndex: m.AuthorityIndex,
			InSync:         m.InSync,
		}
	case cmd.Delegate != nil:
		m := cmd.Delegate
		w.Delegate = &delegateWire{
			Service:    m.Service,
			DataCentre: m.DataCentre,
		}
		for _, slot := range m.Slots {
			w.Delegate.Slots = append(w.Delegate.Slots, uint32(slot))
		}
	case cmd.Assign != nil:
		w.Assign = assignToWire(cmd.Assign)
	case cmd.Registry != nil:
		w.Registry = cmd.Registry.ToWire()
	}
	return w
}

func assignToWire(m *AssignMsg) *assignWire {
	w := assignWire{
		DataCentre:     m.DataCentre,
		AuthorityIndex: m.AuthorityIndex,
		Service:        m.Service,
		ReplaceHotKeys: m.HotKeys != nil,
	}
	for _, c := range m.Owners {
		w.Owners = append(w.Owners, ownerToWire(c))
	}
	if len(m.HotKeys) > 0 {
		w.HotKeys = make(map[string]ownerWire, len(m.HotKeys))
	}
	for key, c := range m.HotKeys {
		w.HotKeys[key] = ownerToWire(c)
	}
	return &w
}

func (w commandWire) command() Command {
	cmd := Command{
		RequestID: w.RequestID,
	}
	switch {
	case w.PutConfig != nil:
		c := w.PutConfig.stored()
		cmd.PutConfig = &PutConfigMsg{
			Expect:   c.Version,
			Digest:   c.Digest,
			Operator: c.Operator,
			At:       c.At,
			Base:     c.Base,
			Overlays: c.Overlays,
		}
	case w.SetService != nil:
		cmd.SetService = &SetServiceMsg{
			DataCentre: w.SetService.DataCentre,
			Target:     w.SetService.Target,
			Out:        w.SetService.Out,
			Operator:   w.SetService.Operator,
			At:         timeFromWire(w.SetService.At),
			Others:     w.SetService.Others,
		}
	case w.ChangeVoters != nil:
		cmd.ChangeVoters = &ChangeVotersMsg{
			Voters:   w.ChangeVoters.Voters,
			Learners: w.ChangeVoters.Learners,
		}
	case w.RegisterHost != nil:
		cmd.RegisterHost = &RegisterHostMsg{
			Host: w.RegisterHost.host(),
		}
	case w.NameAuthority != nil:
		cmd.NameAuthority = &NameAuthorityMsg{
			DataCentre:  w.NameAuthority.DataCentre,
			Host:        w.NameAuthority.Host,
			Incarnation: w.NameAuthority.Incarnation,
		}
	case w.SetInSync != nil:
		cmd.SetInSync = &SetInSyncMsg{
			DataCentre:     w.SetInSync.DataCentre,
			AuthorityIndex: w.SetInSync.AuthorityIndex,
			InSync:         w.SetInSync.InSync,
		}
	case w.Delegate != nil:
		cmd.Delegate = &DelegateMsg{
			Service:    w.Delegate.Service,
			DataCentre: w.Delegate.DataCentre,
		}
		for _, slot := range w.Delegate.Slots {
			cmd.Delegate.Slots = append(cmd.Delegate.Slots, keyer.Slot(slot))
		}
	case w.Assign != nil:
		cmd.Assign = w.Assign.assign()
	case w.Registry != nil:
		c := w.Registry.Change()
		cmd.Registry = &c
	}
	return cmd
}

func (w *assignWire) assign() *AssignMsg {
	m := AssignMsg{
		DataCentre:     w.DataCentre,
		AuthorityIndex: w.AuthorityIndex,
		Service:        w.Service,
	}
	for _, c := range w.Owners {
		m.Owners = append(m.Owners, c.change())
	}
	if w.ReplaceHotKeys {
		m.HotKeys = make(map[string]OwnerChange, len(w.HotKeys))
	}
	for key, c := range w.HotKeys {
		m.HotKeys[key] = c.change()
	}
	return &m
}
