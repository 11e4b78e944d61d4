package puller

import (
	"net"
	"net/netip"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"bramleyline.example/bramleyline/applier"
	"bramleyline.example/bramleyline/controller"
	"bramleyline.example/bramleyline/messenger"
)

// waitTimeout bounds how long a test waits for an expected event; it is not a requirement on the program.
const waitTimeout = 10 * time.Second

// fakeSource is a control host that answers with the state and contact that the test sets.
type fakeSource struct {
	mu    sync.Mutex
	state *applier.State
	reply controller.PullReply
	calls int
	// ahead is how many log indexes the source is ahead of the snapshot that it sends.
	ahead uint64
}

func (s *fakeSource) Pull(_ *controller.PullArgs, reply *controller.PullReply) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	*reply = s.reply
	encoded, err := applier.EncodeSnapshot(s.state)
	if err != nil {
		return err
	}
	reply.Index, reply.SnapshotIndex, reply.Newest = s.state.Index, s.state.Index, s.state.Index+s.ahead
	reply.Snapshot, err = controller.CompressSnapshot(encoded)
	return err
}

func (s *fakeSource) set(index uint64, leader string, age time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state, _ = s.state.Apply(index, applier.Command{})
	s.reply.Leader, s.reply.ContactAge = leader, age
}

func (s *fakeSource) callCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

func startSource(c *qt.C, s *fakeSource) netip.AddrPort {
	return startService(c, s)
}

func startService(c *qt.C, s any) netip.AddrPort {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	l := &messenger.Listener{}
	c.Assert(l.Register("State", s), qt.IsNil)
	l.Start(ln)
	c.Cleanup(func() { _ = l.Close() })
	return ln.Addr().(*net.TCPAddr).AddrPort()
}

func startPuller(c *qt.C, sources ...*fakeSource) *Puller {
	var list []Source
	for _, s := range sources {
		list = append(list, Source{
			Addr: startSource(c, s),
		})
	}
	m := &messenger.Messenger{}
	p := New(m, list, nil)
	p.Start()
	c.Cleanup(func() {
		c.Check(p.Close(), qt.IsNil)
		_ = m.Close()
	})
	return p
}

func eventually(c *qt.C, ok func() bool) {
	c.Helper()
	for end := time.Now().Add(waitTimeout); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if ok() {
			return
		}
	}
	c.Fatal("condition was not met in time")
}

// Guards against a host that goes back to an older state, for instance to an older configuration, when it pulls from a
// source that is behind.
func TestStateNeverGoesBack(t *testing.T) {
	c := qt.New(t)
	ahead, behind := &fakeSource{}, &fakeSource{}
	ahead.set(9, "leader", 0)
	behind.set(4, "leader", 0)
	p := startPuller(c, ahead, behind)
	eventually(c, func() bool { return p.State().Index == 9 })
	// The first source loses its leader, so the puller pulls from the second one.
	ahead.set(10, "", 0)
	before := behind.callCount()
	eventually(c, func() bool { return behind.callCount() > before+2 })
	c.Assert(p.State().Index >= 9, qt.IsTrue)
}

// Guards against a host that counts contact with a source as contact with the leader although that source has lost the
// leader itself: such a host would refuse the promise that the authority of its data centre needs.
func TestContactIsThatOfTheLeader(t *testing.T) {
	c := qt.New(t)
	s := &fakeSource{}
	s.set(1, "leader", time.Hour)
	p := startPuller(c, s)
	eventually(c, func() bool { return p.State().Index == 1 })
	_, age := p.Contact()
	c.Assert(age >= time.Hour, qt.IsTrue)
	s.set(2, "leader", 0)
	eventually(c, func() bool {
		leader, age := p.Contact()
		return leader == "leader" && age < time.Minute
	})
}

// Guards against a host that does not find the control hosts that replaced those in its settings.
func TestRegisteredControlHostIsASource(t *testing.T) {
	c := qt.New(t)
	configured, replacement := &fakeSource{}, &fakeSource{}
	replacement.set(20, "leader", 0)
	configured.state, _ = configured.state.Apply(1, applier.Command{
		RegisterHost: &applier.RegisterHostMsg{
			Host: applier.Host{
				Name:    "new",
				Control: true,
				RPC:     startSource(c, replacement),
			},
		},
	})
	p := startPuller(c, configured)
	eventually(c, func() bool { return p.State().Index == 20 })
}

// Guards against a host that serves from a state that a source sent before it had caught up, although it already had
// contact with the leader: such a state is not confirmed.
func TestStateOfASourceThatLagsIsNotConfirmed(t *testing.T) {
	c := qt.New(t)
	s := &fakeSource{}
	p := startPuller(c, s)
	s.mu.Lock()
	s.reply.Lag = time.Hour
	s.mu.Unlock()
	s.set(5, "leader", 0)
	eventually(c, func() bool { return p.State().Index == 5 })
	c.Assert(p.Confirmed(), qt.IsFalse)
	s.mu.Lock()
	s.reply.Lag = 0
	s.mu.Unlock()
	eventually(c, p.Confirmed)
}

// Guards against a host that starts to serve from an older snapshot, which its source sends together with the lag of a newer state.
func TestOlderSnapshotIsNotConfirmed(t *testing.T) {
	c := qt.New(t)
	s := &fakeSource{
		ahead: 3,
	}
	s.set(5, "leader", 0)
	p := startPuller(c, s)
	eventually(c, func() bool { return s.callCount() > 3 })
	c.Assert(p.State().Index, qt.Equals, uint64(5))
	c.Assert(p.Confirmed(), qt.IsFalse)
	s.mu.Lock()
	s.ahead = 0
	s.mu.Unlock()
	eventually(c, p.Confirmed)
}

// Guards against a host that takes the lack of a leader for that of answers, and the other way round.
func TestSilenceEndsWithAnAnswer(t *testing.T) {
	c := qt.New(t)
	p := New(nil, nil, nil)
	c.Assert(p.Silence() > time.Minute, qt.IsTrue)
	p.sourceAnswered(Source{})
	c.Assert(p.Silence() < time.Minute, qt.IsTrue)
	_, age := p.Contact()
	c.Assert(age > time.Minute, qt.IsTrue)
}
