package replicator_test

import (
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"hash/fnv"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/pkg/errors"

	"bramleyline.example/bramleyline/diskfaulter"
	"bramleyline.example/bramleyline/journaler"
	"bramleyline.example/bramleyline/replicator"
)

const electionTimeout = 400 * time.Millisecond

// member is one host of the cluster under test: its core, its journal, and a state that is a chained hash of the
// applied entries.
type member struct {
	name    string
	fs      *diskfaulter.Faulter
	journal *journaler.Journaler
	core    *replicator.Replicator
	// drift is the deviation of the rate of the member's clock, in parts per thousand.
	drift       time.Duration
	pausedUntil time.Duration
	// index is the index of the last applied entry, and snapshotIndex that of the last snapshot.
	index         uint64
	stateHash     uint64
	snapshotIndex uint64
	// joined reports that the member has taken part since its disk was last empty.
	joined bool
}

// cluster runs members on one virtual clock. It records what must never change: the leader of each term, and the
// committed entry of each index with the state after it.
type cluster struct {
	rng            *rand.Rand
	now            time.Duration
	members        map[string]*member
	initialMembers []journaler.Member
	inFlight       []delivery
	// sides assigns members to the two sides of a partition, and cutLinks holds the single directions, from sender to
	// receiver, that are cut.
	sides           map[string]int
	cutLinks        map[[2]string]bool
	leaders         map[uint64]string
	committed       map[uint64]string
	stateHashes     map[uint64]uint64
	proposals       int
	snapshotPadding int
	// maxCommandBytes bounds the random padding of a command; large commands are sent one per message.
	maxCommandBytes int
	// lossPercent, duplicatePercent and delayPercent are the probabilities of the faults for each message.
	lossPercent, duplicatePercent, delayPercent int
	// inboundCutPercent is the probability that the holder of the lease receives nothing for a while when an election
	// starts, and restartPercent that a voter crashes and restarts right after it granted a vote: the moments at which
	// leases and votes are at risk.
	inboundCutPercent, restartPercent int
	inboundCutUntil                   map[string]time.Duration
	failure                           error
	sent                              map[string]int
}

func newCluster(seed uint64, voters int) *cluster {
	c := &cluster{
		rng:             rand.New(rand.NewPCG(seed, 7)),
		members:         make(map[string]*member),
		sides:           make(map[string]int),
		cutLinks:        make(map[[2]string]bool),
		inboundCutUntil: make(map[string]time.Duration),
		leaders:         make(map[uint64]string),
		committed:       make(map[uint64]string),
		stateHashes:     make(map[uint64]uint64),
		sent:            make(map[string]int),
	}
	for i := range voters {
		c.initialMembers = append(c.initialMembers, journaler.Member{
			Name: fmt.Sprintf("m%d", i),
		})
	}
	for _, m := range c.initialMembers {
		c.add(m.Name)
	}
	return c
}

func (c *cluster) fail(format string, args ...any) {
	if c.failure == nil {
		c.failure = errors.Errorf("at %s: "+format, append([]any{c.now}, args...)...)
	}
}

func (c *cluster) add(name string) {
	c.members[name] = &member{
		name:  name,
		fs:    diskfaulter.New(),
		drift: time.Duration(c.rng.IntN(81) - 40),
	}
	c.start(name)
}

func (c *cluster) names() []string {
	return slices.Sorted(maps.Keys(c.members))
}

// clock returns the time on a member's own monotonic clock, which may run up to 4% fast or slow.
func (c *cluster) clock(m *member) time.Time {
	return time.Unix(0, 0).Add(c.now + c.now*m.drift/1000)
}

func (c *cluster) start(name string) {
	m := c.members[name]
	if m.core != nil {
		return
	}
	m.fs.Restart(c.rng)
	journal, rec, err := journaler.Open(m.fs)
	if err != nil {
		c.fail("open %s: %v", name, err)
		return
	}
	m.index, m.stateHash = 0, 0
	m.snapshotIndex = 0
	if rec.Snapshot != nil {
		m.restore(*rec.Snapshot)
	}
	core, err := replicator.New(c.clock(m), replicator.Options{
		Name:            name,
		Members:         c.initialMembers,
		ElectionTimeout: electionTimeout,
		Seed:            c.rng.Uint64(),
	}, rec)
	if err != nil {
		c.fail("start %s: %v", name, err)
		return
	}
	m.journal, m.core = journal, core
}

func (m *member) restore(s journaler.Snapshot) {
	m.index, m.stateHash = s.Index, binary.LittleEndian.Uint64(s.Data)
	m.snapshotIndex = s.Index
}

// wipe replaces a member's disk by an empty one. The member counts as lost until it has caught up, so every member must
// have joined the group.
func (c *cluster) wipe(m *member) {
	if len(c.initialMembers) < 3 {
		return
	}
	for _, other := range c.members {
		if !other.joined {
			return
		}
	}
	c.stop(m)
	m.fs = diskfaulter.New()
	m.joined = false
	c.start(m.name)
	c.sent["wipe"]++
}

func (c *cluster) stop(m *member) {
	m.core, m.journal = nil, nil
}

func (c *cluster) running(m *member) bool {
	return m.core != nil && c.now >= m.pausedUntil
}

// runEffects carries out the effects of a member as its driver does. An injected crash of the file system stops the
// member in between.
func (c *cluster) runEffects(m *member) {
	for m.core != nil {
		e := m.core.Effects()
		if e.Empty() {
			break
		}
		c.sendAll(e.EarlyMessages)
		if err := c.persist(m, e); err != nil {
			if !m.fs.Crashed() && !errors.Is(err, journaler.ErrFailed) {
				c.fail("persist at %s: %v", m.name, err)
			}
			c.stop(m)
			return
		}
		c.sendAll(e.Messages)
		for _, entry := range e.Committed {
			c.apply(m, entry)
		}
		m.core.Saved(c.clock(m), e)
		if slices.ContainsFunc(e.Messages, isVote) && c.rng.IntN(100) < c.restartPercent {
			c.stop(m)
			c.start(m.name)
		}
	}
	if m.core != nil && !m.core.Recovering() && m.index > 0 {
		m.joined = true
	}
	c.checkLeaders()
}

func (c *cluster) persist(m *member, e replicator.Effects) error {
	if e.HardState != nil {
		if err := m.journal.SaveHardState(*e.HardState); err != nil {
			return err
		}
	}
	if e.Snapshot != nil {
		if err := m.journal.SaveSnapshot(*e.Snapshot, e.KeepsLog); err != nil {
			return err
		}
		m.restore(*e.Snapshot)
		if want, ok := c.stateHashes[m.index]; !ok || want != m.stateHash {
			c.fail("snapshot %d at %s has a different state", m.index, m.name)
		}
	}
	return m.journal.Append(e.Entries)
}

func (c *cluster) apply(m *member, e journaler.Entry) {
	record := fmt.Sprintf("%d/%d/%d/%x", e.Index, e.Term, e.Kind, sha256.Sum256(e.Data))
	if old, ok := c.committed[e.Index]; ok && old != record {
		c.fail("%s applies %s, but %s was committed", m.name, record, old)
	}
	c.committed[e.Index] = record
	if e.Index != m.index+1 {
		c.fail("%s applies %d after %d", m.name, e.Index, m.index)
	}
	h := fnv.New64a()
	_ = binary.Write(h, binary.LittleEndian, m.stateHash)
	_, _ = h.Write([]byte(record))
	m.index, m.stateHash = e.Index, h.Sum64()
	if old, ok := c.stateHashes[m.index]; ok && old != m.stateHash {
		c.fail("state of %s differs at %d", m.name, m.index)
	}
	c.stateHashes[m.index] = m.stateHash
}

// takeSnapshot replaces the log of a member by a snapshot of its state.
func (c *cluster) takeSnapshot(m *member) {
	if m.index <= m.snapshotIndex {
		return
	}
	data := binary.LittleEndian.AppendUint64(nil, m.stateHash)
	s, err := m.core.SnapshotAt(m.index, append(data, make([]byte, c.snapshotPadding)...))
	if err != nil {
		c.fail("snapshot at %s: %v", m.name, err)
		return
	}
	if err := m.journal.SaveSnapshot(s, true); err != nil {
		c.stop(m)
		return
	}
	m.snapshotIndex = s.Index
	m.core.Compact(s)
}

// checkLeaders checks that each term has one leader, and that no two members hold the leader's lease at the same time.
func (c *cluster) checkLeaders() {
	holder := ""
	for _, name := range c.names() {
		m := c.members[name]
		if m.core == nil {
			continue
		}
		if m.core.Leader() == name {
			if old, ok := c.leaders[m.core.Term()]; ok && old != name {
				c.fail("%s and %s lead in term %d", old, name, m.core.Term())
			}
			c.leaders[m.core.Term()] = name
		}
		if _, ok := m.core.Leading(c.clock(m)); ok {
			if holder != "" {
				c.fail("%s and %s hold the leader's lease", holder, name)
			}
			holder = name
		}
	}
}

// run advances the clock by d in steps of 5 ms.
func (c *cluster) run(d time.Duration) {
	for end := c.now + d; c.now < end && c.failure == nil; {
		c.now += 5 * time.Millisecond
		c.deliver()
		for _, name := range c.names() {
			if m := c.members[name]; c.running(m) {
				m.core.Tick(c.clock(m))
				c.runEffects(m)
			}
		}
	}
}

// leader returns a member that holds the leader's lease, or nil if there is none.
func (c *cluster) leader() *member {
	for _, name := range c.names() {
		m := c.members[name]
		if !c.running(m) {
			continue
		}
		if _, ok := m.core.Leading(c.clock(m)); ok {
			return m
		}
	}
	return nil
}

// propose proposes n commands at every member that considers itself the leader.
func (c *cluster) propose(n int) {
	for _, name := range c.names() {
		m := c.members[name]
		if !c.running(m) || m.core.Leader() != name {
			continue
		}
		var commands [][]byte
		for range n {
			c.proposals++
			b := fmt.Appendf(nil, "command %d", c.proposals)
			commands = append(commands, append(b, make([]byte, c.rng.IntN(c.maxCommandBytes+1))...))
		}
		_, _, _ = m.core.Propose(c.clock(m), commands)
		c.runEffects(m)
	}
}

// heal removes all faults, starts all members, and checks that the cluster commits again and that all members of the
// list in force reach the same state.
func (c *cluster) heal() {
	c.lossPercent, c.duplicatePercent, c.delayPercent, c.inboundCutPercent, c.restartPercent = 0, 0, 0, 0, 0
	clear(c.sides)
	clear(c.cutLinks)
	for _, name := range c.names() {
		m := c.members[name]
		m.fs.CrashAfter(1 << 40)
		m.fs.FailSyncAfter(1 << 40)
		m.pausedUntil = 0
		c.start(name)
	}
	highest := uint64(len(c.committed))
	for end := c.now + 30*time.Second; c.now < end && c.failure == nil; {
		c.run(100 * time.Millisecond)
		c.propose(1)
		c.run(400 * time.Millisecond)
		if c.converged(highest) {
			return
		}
	}
	c.fail("no agreement within 30 s after all faults ended: %s", c.status())
}

func (c *cluster) status() string {
	s := ""
	for _, name := range c.names() {
		m := c.members[name]
		if m.core == nil {
			s += name + " is down; "
			continue
		}
		voters := ""
		for _, mem := range m.core.Members() {
			voters += fmt.Sprintf(" %s/%t", mem.Name, !mem.Learner)
		}
		s += fmt.Sprintf("%s: term %d, leader %q, index %d, recovering %t, joined %t, members%s; ",
			name, m.core.Term(), m.core.Leader(), m.index, m.core.Recovering(), m.joined, voters)
	}
	return s
}

// converged reports whether all members have the leader's state, and the leader has applied an entry after index above.
func (c *cluster) converged(above uint64) bool {
	l := c.leader()
	if l == nil || l.index <= above {
		return false
	}
	for _, mem := range l.core.Members() {
		if m, ok := c.members[mem.Name]; ok && (m.core == nil || m.index != l.index || m.stateHash != l.stateHash) {
			return false
		}
	}
	return true
}
