package follower

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

// patience bounds the waits of tests for something that has to happen; it is no requirement.
const patience = 10 * time.Second

// source is a control host whose state the test chooses.
type source struct {
	mu    sync.Mutex
	state *applier.State
	reply controller.PullReply
	calls int
}

func (s *source) Pull(_ *controller.PullArgs, reply *controller.PullReply) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	*reply = s.reply
	encoded, err := applier.EncodeSnapshot(s.state)
	if err != nil {
		return err
	}
	reply.Index, reply.SnapshotIndex = s.state.Index, s.state.Index
	reply.Snapshot, err = controller.Compress(encoded)
	return err
}

func (s *source) set(index uint64, leader string, age time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state, _ = s.state.Apply(index, applier.Command{})
	s.reply.Leader, s.reply.ContactAge = leader, age
}

func (s *source) called() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

func serve(c *qt.C, s *source) netip.AddrPort {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	l := &messenger.Listener{}
	c.Assert(l.Register("State", s), qt.IsNil)
	l.Start(ln)
	c.Cleanup(func() { _ = l.Close() })
	return ln.Addr().(*net.TCPAddr).AddrPort()
}

func follow(c *qt.C, sources ...*source) *Follower {
	var list []Source
	for _, s := range sources {
		list = append(list, Source{
			Addr: serve(c, s),
		})
	}
	m := &messenger.Messenger{}
	f := New(m, list, nil)
	f.Start()
	c.Cleanup(func() {
		c.Check(f.Close(), qt.IsNil)
		_ = m.Close()
	})
	return f
}

func eventually(c *qt.C, ok func() bool) {
	c.Helper()
	for end := time.Now().Add(patience); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if ok() {
			return
		}
	}
	c.Fatal("did not happen in time")
}

// A source that is behind must never take a host back to an older state, for instance to an older configuration.
func TestStateNeverGoesBack(t *testing.T) {
	c := qt.New(t)
	ahead, behind := &source{}, &source{}
	ahead.set(9, "leader", 0)
	behind.set(4, "leader", 0)
	f := follow(c, ahead, behind)
	eventually(c, func() bool { return f.State().Index == 9 })
	// The first source loses its leader, so that the second one is asked.
	ahead.set(10, "", 0)
	before := behind.called()
	eventually(c, func() bool { return behind.called() > before+2 })
	c.Assert(f.State().Index >= 9, qt.IsTrue)
}

// Contact with a source that has lost the leader itself is no contact with the leader: a host that took it for one would
// refuse the promise that its authority needs.
func TestContactIsThatOfTheLeader(t *testing.T) {
	c := qt.New(t)
	s := &source{}
	s.set(1, "leader", time.Hour)
	f := follow(c, s)
	eventually(c, func() bool { return f.State().Index == 1 })
	_, age := f.Contact()
	c.Assert(age >= time.Hour, qt.IsTrue)
	s.set(2, "leader", 0)
	eventually(c, func() bool {
		leader, age := f.Contact()
		return leader == "leader" && age < time.Minute
	})
}

// A host must find the control hosts that replaced those in its settings.
func TestRegisteredControlHostIsASource(t *testing.T) {
	c := qt.New(t)
	configured, replacement := &source{}, &source{}
	replacement.set(20, "leader", 0)
	configured.state, _ = configured.state.Apply(1, applier.Command{
		RegisterHost: &applier.RegisterHostMsg{
			Host: applier.Host{
				Name:    "new",
				Control: true,
				RPC:     serve(c, replacement),
			},
		},
	})
	f := follow(c, configured)
	eventually(c, func() bool { return f.State().Index == 20 })
}

// Guards against a host that serves from the state of a source that has contact with the leader and has not caught up:
// such a state is not confirmed.
func TestStateOfASourceThatLagsIsNotConfirmed(t *testing.T) {
	c := qt.New(t)
	s := &source{}
	f := follow(c, s)
	s.mu.Lock()
	s.reply.Lag = time.Hour
	s.mu.Unlock()
	s.set(5, "leader", 0)
	eventually(c, func() bool { return f.State().Index == 5 })
	c.Assert(f.Confirmed(), qt.IsFalse)
	s.mu.Lock()
	s.reply.Lag = 0
	s.mu.Unlock()
	eventually(c, f.Confirmed)
}
