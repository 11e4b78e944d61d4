package applier

import (
	"fmt"
	"maps"
	"slices"

	"bramleyline.example/bramleyline/asserter"
)

// historyLength is the number of newest accepted configurations that State.History keeps, with their text.
const historyLength = 200

// Apply returns the state after the command at a log index, and the result of the command. s is not changed, and nil
// stands for the empty state. A command without a message only advances State.Index.
func (s *State) Apply(index uint64, cmd Command) (*State, Result) {
	return s.apply(index, cmd, &privateCopies{})
}

// apply does the work of Apply. It may change in place what copies marks as private to the caller.
func (s *State) apply(index uint64, cmd Command, copies *privateCopies) (*State, Result) {
	next := &State{}
	if s != nil {
		*next = *s
	}
	if index <= next.Index {
		return s, Result{
			Index:     index,
			Rejection: fmt.Sprintf("log index %d was applied before", index),
		}
	}
	next.Index = index
	if cmd.RequestID != "" {
		if r, ok := s.ResultOf(cmd.RequestID); ok {
			return next, r
		}
	}
	r := next.execute(cmd, copies)
	if r.Index == 0 {
		r.Index = index
	}
	if cmd.RequestID != "" {
		next.results = next.results.add(cmd.RequestID, r)
	}
	return next, r
}

// execute carries out the message of a command on s, which is a copy that is not published yet.
func (s *State) execute(cmd Command, copies *privateCopies) Result {
	switch {
	case cmd.PutConfig != nil:
		return s.putConfig(cmd.PutConfig)
	case cmd.SetService != nil:
		return s.setService(cmd.SetService)
	case cmd.ChangeVoters != nil:
		s.Voters = slices.Clone(cmd.ChangeVoters.Voters)
		s.Learners = slices.Clone(cmd.ChangeVoters.Learners)
	case cmd.RegisterHost != nil:
		s.registerHost(cmd.RegisterHost.Host, copies)
	case cmd.NameAuthority != nil:
		return s.nameAuthority(cmd.NameAuthority)
	case cmd.SetInSync != nil:
		return s.setInSync(cmd.SetInSync)
	case cmd.Delegate != nil:
		return s.delegate(cmd.Delegate)
	case cmd.Assign != nil:
		return s.assign(cmd.Assign)
	case cmd.Registry != nil:
		s.Registry = s.Registry.Apply(s.Index, *cmd.Registry)
	}
	return Result{}
}

// putConfig stores a configuration by compare-and-set on the version. If the same text was already accepted under that
// version, it returns the first result again.
func (s *State) putConfig(m *PutConfigMsg) Result {
	if m.Expect != s.Config.Version {
		return s.resolveConflict(m)
	}
	accepted := StoredConfig{
		Version:  m.Expect + 1,
		Index:    s.Index,
		Digest:   m.Digest,
		Operator: m.Operator,
		At:       m.At,
		Base:     m.Base,
		Overlays: maps.Clone(m.Overlays),
	}
	if !asserter.Check(accepted.Version > s.Config.Version, asserter.ConfigurationForward,
		"version %d after %d", accepted.Version, s.Config.Version) {
		return reject("version %d is not newer than %d", accepted.Version, s.Config.Version)
	}
	s.Config = accepted
	history := s.History
	if len(history) >= historyLength {
		history = history[len(history)-historyLength+1:]
	}
	s.History = append(slices.Clone(history), accepted)
	return Result{}
}

// resolveConflict returns the result of a PutConfigMsg whose Expect is not the version in force: the first result if
// the configuration that was accepted as version Expect+1 has the same digest, otherwise a rejection. The rejection
// carries the accepted configuration if the history still has it.
func (s *State) resolveConflict(m *PutConfigMsg) Result {
	i := slices.IndexFunc(s.History, func(c StoredConfig) bool { return c.Version == m.Expect+1 })
	if i < 0 {
		return reject("version %d is in force, not %d", s.Config.Version, m.Expect)
	}
	winner := s.History[i]
	if winner.Digest == m.Digest {
		return Result{
			Index: winner.Index,
		}
	}
	// Operators are shown digest, time and operator. The text is left out, so that remembered results stay small.
	winner.Base, winner.Overlays = "", nil
	r := reject("version %d was accepted from %s with digest %s", winner.Version, winner.Operator, winner.Digest)
	r.Winner = &winner
	return r
}

func (s *State) setService(m *SetServiceMsg) Result {
	change := ServiceChange{
		Operator: m.Operator,
		At:       m.At,
	}
	switch {
	case (m.DataCentre == "") == (m.Target == ""):
		return reject("name either a data centre or a target")
	case m.DataCentre != "":
		dc := s.dataCentre(m.DataCentre)
		if m.Out && !dc.Out && s.allOutOfService(m.Others) {
			return reject("data centre %s is the last one in service", m.DataCentre)
		}
		if dc.Out != m.Out {
			dc.Out, dc.Changed = m.Out, change
		}
		s.DataCentres = cloneWith(s.DataCentres, dc.Name, dc)
	case m.Out:
		if _, ok := s.TargetsOut[m.Target]; !ok {
			s.TargetsOut = cloneWith(s.TargetsOut, m.Target, change)
		}
	default:
		s.TargetsOut = maps.Clone(s.TargetsOut)
		delete(s.TargetsOut, m.Target)
	}
	return Result{}
}

// allOutOfService reports whether operators have taken all of the named data centres out of service. It is false for an
// empty list.
func (s *State) allOutOfService(names []string) bool {
	return len(names) > 0 && !slices.ContainsFunc(names, func(name string) bool { return !s.DataCentres[name].Out })
}

func (s *State) nameAuthority(m *NameAuthorityMsg) Result {
	if s.Index>>32 != 0 {
		return reject("log index %d does not fit into an epoch", s.Index)
	}
	if m.DataCentre == "" || m.Host == "" {
		return reject("name a data centre and a host")
	}
	dc := s.dataCentre(m.DataCentre)
	dc.Authority = m.Host
	dc.AuthorityIncarnation = m.Incarnation
	dc.AuthorityIndex = s.Index
	dc.InSync = map[string]uint64{m.Host: m.Incarnation}
	s.DataCentres = cloneWith(s.DataCentres, dc.Name, dc)
	return Result{}
}

func (s *State) setInSync(m *SetInSyncMsg) Result {
	dc := s.dataCentre(m.DataCentre)
	if r, ok := dc.checkAuthority(m.AuthorityIndex); !ok {
		return r
	}
	if i, ok := m.InSync[dc.Authority]; !ok || i != dc.AuthorityIncarnation {
		return reject("the in-sync set lacks the authority %s", dc.Authority)
	}
	dc.InSync = maps.Clone(m.InSync)
	s.DataCentres = cloneWith(s.DataCentres, dc.Name, dc)
	return Result{}
}

// dataCentre returns the state of a data centre, or a new one if nothing is recorded for it yet.
func (s *State) dataCentre(name string) DataCentre {
	if dc, ok := s.DataCentres[name]; ok {
		return dc
	}
	return DataCentre{
		Name: name,
	}
}

// checkAuthority rejects a command of a host that is not, or no longer, the authority of the data centre.
func (dc DataCentre) checkAuthority(index uint64) (Result, bool) {
	if index == 0 || index != dc.AuthorityIndex {
		return reject("authority index of %s is %d, not %d", dc.Name, dc.AuthorityIndex, index), false
	}
	return Result{}, true
}

// reject returns the result of a command that changed nothing, with the reason.
func reject(format string, args ...any) Result {
	return Result{
		Rejection: fmt.Sprintf(format, args...),
	}
}

// cloneWith returns a copy of m with m[key] set to value.
func cloneWith[V any](m map[string]V, key string, value V) map[string]V {
	next := maps.Clone(m)
	if next == nil {
		next = make(map[string]V)
	}
	next[key] = value
	return next
}
