package replicator

import (
	"slices"
	"time"

	"github.com/pkg/errors"

	"bramleyline.example/bramleyline/journaler"
)

// memberLog holds the member lists of the log in ascending order of index. A list is in force as soon as it is
// appended, as Raft requires.
type memberLog struct {
	lists []memberList
}

type memberList struct {
	index   uint64
	members []journaler.Member
}

func (l *memberLog) add(index uint64, members []journaler.Member) {
	members = slices.Clone(members)
	journaler.SortMembers(members)
	l.lists = append(l.lists, memberList{
		index:   index,
		members: members,
	})
}

func (l *memberLog) reset(index uint64, members []journaler.Member) {
	l.lists = nil
	l.add(index, members)
}

// addEntry adds the member list of e, if e has one.
func (l *memberLog) addEntry(e journaler.Entry) error {
	if e.Kind != journaler.KindMembers {
		return nil
	}
	members, err := journaler.DecodeMembers(e.Data)
	if err != nil {
		return errors.Wrapf(err, "entry %d", e.Index)
	}
	l.add(e.Index, members)
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

func (l *memberLog) listAt(index uint64) []journaler.Member {
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

// Peer is the leader's view of another member.
type Peer struct {
	journaler.Member
	// SinceAnswered is the time since the leader sent the latest message that the member has answered.
	SinceAnswered time.Duration
	// CaughtUp reports that the member has all committed entries and is not recovering.
	CaughtUp bool
}

// Peers returns the leader's view of the other members, or nil if this member is not the leader.
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
			Member:        m,
			SinceAnswered: r.sinceStart(now) - p.lastAckedSend,
			CaughtUp:      p.answered && p.match >= r.commit && p.recovery == 0,
		})
	}
	return peers
}

// AddLearner adds a member that receives the log and does not vote. It returns the index of the change in the log. Its
// errors are ErrNotLeader, ErrChangePending and ErrBadChange.
func (r *Replicator) AddLearner(now time.Time, m journaler.Member) (uint64, error) {
	m.Learner = true
	if _, ok := r.members.find(m.Name); ok || m.Name == "" {
		return 0, errors.Wrapf(ErrBadChange, "name %q is empty or belongs to a member", m.Name)
	}
	return r.changeMembers(now, append(r.Members(), m))
}

// Promote makes a learner a voter if it has all committed entries and has answered recently; otherwise the error is
// ErrNotCaughtUp.
func (r *Replicator) Promote(now time.Time, name string) (uint64, error) {
	members := r.Members()
	i := slices.IndexFunc(members, func(m journaler.Member) bool { return m.Name == name && m.Learner })
	if i < 0 {
		return 0, errors.Wrapf(ErrBadChange, "%q is not a learner", name)
	}
	if r.role == leader {
		p, ok := r.progress[name]
		if !ok || p.match < r.commit || p.recovery != 0 || r.sinceStart(now)-p.lastAckedSend > r.electionTimeout {
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
		return 0, errors.Wrapf(ErrBadChange, "%q is not a member, or is the last voter", name)
	}
	return r.changeMembers(now, members)
}

// changeMembers appends a member list that differs by one voter at most, so that any majority of the old list overlaps
// with any majority of the new one. That is safe only if the previous list is committed, and if the leader has
// committed an entry of its term.
func (r *Replicator) changeMembers(now time.Time, members []journaler.Member) (uint64, error) {
	if r.role != leader {
		return 0, ErrNotLeader
	}
	if r.members.index() > r.commit || r.commit < r.firstIndexOfTerm {
		return 0, ErrChangePending
	}
	b, err := journaler.EncodeMembers(members)
	if err != nil {
		return 0, err
	}
	r.append(journaler.KindMembers, b)
	r.members.add(r.log.last(), members)
	r.syncProgress(now)
	r.broadcastEntries(now)
	return r.log.last(), nil
}
