package replicator

import (
	"slices"
	"time"

	"github.com/pkg/errors"

	"bramleyline.example/bramleyline/journaler"
)

// memberLog has the member lists of the log by index. A list is in force from when it is appended, as Raft asks for.
type memberLog struct {
	lists []memberList
}

type memberList struct {
	index   uint64
	members []journaler.Member
}

func (l *memberLog) set(index uint64, members []journaler.Member) {
	members = slices.Clone(members)
	journaler.SortMembers(members)
	l.lists = append(l.lists, memberList{
		index:   index,
		members: members,
	})
}

func (l *memberLog) reset(index uint64, members []journaler.Member) {
	l.lists = nil
	l.set(index, members)
}

func (l *memberLog) learn(e journaler.Entry) error {
	if e.Kind != journaler.KindMembers {
		return nil
	}
	members, err := journaler.DecodeMembers(e.Data)
	if err != nil {
		return errors.Wrapf(err, "entry %d", e.Index)
	}
	l.set(e.Index, members)
	return nil
}

// truncate removes the lists after index.
func (l *memberLog) truncate(index uint64) {
	for len(l.lists) > 1 && l.lists[len(l.lists)-1].index > index {
		l.lists = l.lists[:len(l.lists)-1]
	}
}

// compact removes the lists that were replaced by one at or before index.
func (l *memberLog) compact(index uint64) {
	for len(l.lists) > 1 && l.lists[1].index <= index {
		l.lists = l.lists[1:]
	}
}

func (l *memberLog) at(index uint64) []journaler.Member {
	members := l.lists[0].members
	for _, list := range l.lists {
		if list.index <= index {
			members = list.members
		}
	}
	return members
}

func (l *memberLog) current() []journaler.Member {
	return l.lists[len(l.lists)-1].members
}

func (l *memberLog) index() uint64 {
	return l.lists[len(l.lists)-1].index
}

func (l *memberLog) find(name string) (journaler.Member, bool) {
	for _, m := range l.current() {
		if m.Name == name {
			return m, true
		}
	}
	return journaler.Member{}, false
}

func (l *memberLog) isVoter(name string) bool {
	m, ok := l.find(name)
	return ok && !m.Learner
}

func (l *memberLog) majority() int {
	n := 0
	for _, m := range l.current() {
		if !m.Learner {
			n++
		}
	}
	return n/2 + 1
}

// Members returns the member list in force, sorted by name.
func (r *Replicator) Members() []journaler.Member {
	return slices.Clone(r.members.current())
}

// Peer is what the leader knows of another member.
type Peer struct {
	journaler.Member
	// Silence is the time since a message was sent that the member answered.
	Silence time.Duration
	// CaughtUp says that the member has all committed entries.
	CaughtUp bool
}

// Peers returns what the leader knows of the other members, nil on another member.
func (r *Replicator) Peers(now time.Time) []Peer {
	if r.role != leader {
		return nil
	}
	var peers []Peer
	for _, m := range r.members.current() {
		p, ok := r.progress[m.Name]
		if !ok {
			continue
		}
		peers = append(peers, Peer{
			Member:   m,
			Silence:  r.since(now) - p.acked,
			CaughtUp: p.answered && p.match >= r.commit && p.recovery == 0,
		})
	}
	return peers
}

// AddLearner adds a member that receives the log and does not vote. It returns the index of the change. Its errors are
// ErrNotLeader, ErrChangePending and ErrBadChange.
func (r *Replicator) AddLearner(now time.Time, m journaler.Member) (uint64, error) {
	m.Learner = true
	if _, ok := r.members.find(m.Name); ok || m.Name == "" {
		return 0, errors.Wrapf(ErrBadChange, "%q is empty or a member already", m.Name)
	}
	return r.changeMembers(now, append(r.Members(), m))
}

// Promote makes a learner a voter, if it has all committed entries and answered recently; else the error is
// ErrNotCaughtUp.
func (r *Replicator) Promote(now time.Time, name string) (uint64, error) {
	members := r.Members()
	i := slices.IndexFunc(members, func(m journaler.Member) bool { return m.Name == name && m.Learner })
	if i < 0 {
		return 0, errors.Wrapf(ErrBadChange, "%q is not a learner", name)
	}
	if r.role == leader {
		p, ok := r.progress[name]
		if !ok || p.match < r.commit || p.recovery != 0 || r.since(now)-p.acked > r.electionTimeout {
			return 0, errors.Wrapf(ErrNotCaughtUp, "%q", name)
		}
	}
	members[i].Learner = false
	return r.changeMembers(now, members)
}

// Remove removes a voter or a learner. The last voter cannot be removed.
func (r *Replicator) Remove(now time.Time, name string) (uint64, error) {
	members := slices.DeleteFunc(r.Members(), func(m journaler.Member) bool { return m.Name == name })
	voters := 0
	for _, m := range members {
		if !m.Learner {
			voters++
		}
	}
	if voters == 0 || len(members) == len(r.members.current()) {
		return 0, errors.Wrapf(ErrBadChange, "%q is no member or the last voter", name)
	}
	return r.changeMembers(now, members)
}

// changeMembers appends a member list that differs by one voter at most, so that the majorities of the old and the new
// list overlap. That holds only if the list before is committed, and if the leader has committed an entry of its term.
func (r *Replicator) changeMembers(now time.Time, members []journaler.Member) (uint64, error) {
	if r.role != leader {
		return 0, ErrNotLeader
	}
	if r.members.index() > r.commit || r.commit < r.firstIndex {
		return 0, ErrChangePending
	}
	b, err := journaler.EncodeMembers(members)
	if err != nil {
		return 0, err
	}
	r.append(journaler.KindMembers, b)
	r.members.set(r.log.last(), members)
	r.syncProgress(now)
	r.sendAll(now)
	return r.log.last(), nil
}
