package applier

// Batch applies several commands before their state is published. It copies the map of hosts once for the batch instead
// of once for each command, because after a restart of all hosts each of them registers. Create it with NewBatch.
type Batch struct {
	state  *State
	copies privateCopies
}

// privateCopies records which parts of the state were copied since it was last published. Nothing else refers to such
// a copy yet, so that it can be changed in place.
type privateCopies struct {
	// hosts is true if State.Hosts was copied.
	hosts bool
}

// NewBatch returns a batch that starts from s and leaves s unchanged.
func NewBatch(s *State) *Batch {
	return &Batch{
		state: s,
	}
}

// Apply applies a command to the state of the batch, with the result of State.Apply.
func (b *Batch) Apply(index uint64, cmd Command) Result {
	var r Result
	b.state, r = b.state.apply(index, cmd, &b.copies)
	return r
}

// State returns the state after the commands so far. Later commands of the batch do not change it.
func (b *Batch) State() *State {
	b.copies = privateCopies{}
	return b.state
}

// registerHost records a host, unless the same record is there already.
func (s *State) registerHost(h Host, copies *privateCopies) {
	if s.Hosts[h.Name] == h {
		return
	}
	s.HostsIndex = s.Index
	switch {
	case copies.hosts:
		s.Hosts[h.Name] = h
	default:
		s.Hosts = cloneWith(s.Hosts, h.Name, h)
		copies.hosts = true
	}
}
