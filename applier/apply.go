package applier

import (
	"fmt"
	"maps"
	"slices"

	"bramleyline.example/bramleyline/asserter"
)

// historyLength is the number of accepted configurations that are kept with their text.
const historyLength = 200

// Apply returns the state after cmd, which has log index index, and what the command did. s may be nil and is not
// changed. A command without any message only moves the index on.
func (s *State) Apply(index uint64, cmd Command) (*State, Result) {
	return s.apply(index, cmd, &owned{})
}

func (s *State) apply(index uint64, cmd Command, o *owned) (*State, Result) {
	next := &State{}
	if s != nil {
		*next = *s
	}
	if index <= next.Index {
		return s, Result{
			Index:   index,
			Refusal: fmt.Sprintf("log index %d was applied before", index),
		}
	}
	next.Index = index
	if cmd.RequestID != "" {
		if r, ok := s.Answer(cmd.RequestID); ok {
			return next, r
		}
	}
	r := next.change(cmd, o)
	if r.Index == 0 {
		r.Index = index
	}
	if cmd.RequestID != "" {
		next.answered = next.answered.add(cmd.RequestID, r)
	}
	return next, r
}

func (s *State) change(cmd Command, o *owned) Result {
	switch {
	case cmd.PutConfig != nil:
		return s.putConfig(cmd.PutConfig)
	case cmd.SetService != nil:
		return s.setService(cmd.SetService)
	case cmd.ChangeVoters != nil:
		s.Voters = slices.Clone(cmd.ChangeVoters.Voters)
		s.Learners = slices.Clone(cmd.ChangeVoters.Learners)
	case cmd.RegisterHost != nil:
		s.registerHost(cmd.RegisterHost.Host, o)
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

// putConfig is a compare-and-set on the version. The same text under the same number gets the first answer again.
func (s *State) putConfig(m *PutConfigMsg) Result {
	if m.Expect != s.Config.Version {
		return s.lostRace(m)
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
		return refuse("version %d is not newer than %d", accepted.Version, s.Config.Version)
	}
	s.Config = accepted
	history := s.History
	if len(history) >= historyLength {
		history = history[len(history)-historyLength+1:]
	}
	s.History = append(slices.Clone(history), accepted)
	return Result{}
}

func (s *State) lostRace(m *PutConfigMsg) Result {
	i := slices.IndexFunc(s.History, func(c StoredConfig) bool { return c.Version == m.Expect+1 })
	if i < 0 {
		return refuse("version %d is in force, not %d", s.Config.Version, m.Expect)
	}
	winner := s.History[i]
	if winner.Digest == m.Digest {
		return Result{
			Index: winner.Index,
		}
	}
	// Operators see digest, time and name; the text stays out of remembered answers.
	winner.Base, winner.Overlays = "", nil
	r := refuse("version %d was accepted from %s with digest %s", winner.Version, winner.Operator, winner.Digest)
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
		return refuse("name either a data centre or a target")
	case m.DataCentre != "":
		dc := s.dataCentre(m.DataCentre)
		if m.Out && !dc.Out && s.allOut(m.Others) {
			return refuse("data centre %s is the last one in service", m.DataCentre)
		}
		if dc.Out != m.Out {
			dc.Out, dc.Changed = m.Out, change
		}
		s.DataCentres = with(s.DataCentres, dc.Name, dc)
	case m.Out:
		if _, ok := s.TargetsOut[m.Target]; !ok {
			s.TargetsOut = with(s.TargetsOut, m.Target, change)
		}
	default:
		s.TargetsOut = maps.Clone(s.TargetsOut)
		delete(s.TargetsOut, m.Target)
	}
	return Result{}
}

// allOut reports whether operators have taken out all of the named data centres. It is false for an empty list.
func (s *State) allOut(names []string) bool {
	return len(names) > 0 && !slices.ContainsFunc(names, func(name string) bool { return !s.DataCentres[name].Out })
}

func (s *State) nameAuthority(m *NameAuthorityMsg) Result {
	if s.Index>>32 != 0 {
		return refuse("log index %d does not fit into an epoch", s.Index)
	}
	if m.DataCentre == "" || m.Host == "" {
		return refuse("name a data centre and a host")
	}
	dc := s.dataCentre(m.DataCentre)
	dc.Authority = m.Host
	dc.AuthorityIncarnation = m.Incarnation
	dc.AuthorityIndex = s.Index
	dc.InSync = map[string]uint64{m.Host: m.Incarnation}
	s.DataCentres = with(s.DataCentres, dc.Name, dc)
	return Result{}
}

func (s *State) setInSync(m *SetInSyncMsg) Result {
	dc := s.dataCentre(m.DataCentre)
	if r, ok := dc.checkAuthority(m.AuthorityIndex); !ok {
		return r
	}
	if i, ok := m.InSync[dc.Authority]; !ok || i != dc.AuthorityIncarnation {
		return refuse("the in-sync set lacks the authority %s", dc.Authority)
	}
	dc.InSync = maps.Clone(m.InSync)
	s.DataCentres = with(s.DataCentres, dc.Name, dc)
	return Result{}
}

func (s *State) dataCentre(name string) DataCentre {
	if dc, ok := s.DataCentres[name]; ok {
		return dc
	}
	return DataCentre{
		Name: name,
	}
}

func (dc DataCentre) checkAuthority(index uint64) (Result, bool) {
	if index == 0 || index != dc.AuthorityIndex {
		return refuse("authority index of %s is %d, not %d", dc.Name, dc.AuthorityIndex, index), false
	}
	return Result{}, true
}

func refuse(format string, args ...any) Result {
	return Result{
		Refusal: fmt.Sprintf(format, args...),
	}
}

// with returns a copy of m in which key has value.
func with[V any](m map[string]V, key string, value V) map[string]V {
	next := maps.Clone(m)
	if next == nil {
		next = make(map[string]V)
	}
	next[key] = value
	return next
}
