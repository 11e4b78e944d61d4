package puller

import (
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"bramleyline.example/bramleyline/applier"
	"bramleyline.example/bramleyline/messenger"
)

// Guards against a host that hears late of every change while the control host of its data centre is off: it must not interrupt its pulls
// from another source to call that one again. It must go back to it once it answers.
func TestPullsGoOnWhileTheNearSourceIsOff(t *testing.T) {
	c := qt.New(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	near, far := &fakeSource{}, &fakeSource{}
	far.state, _ = far.state.Apply(1, applier.Command{
		RegisterHost: &applier.RegisterHostMsg{
			Host: applier.Host{
				Name:       "near",
				DataCentre: "a",
				Control:    true,
				RPC:        ln.Addr().(*net.TCPAddr).AddrPort(),
			},
		},
	})
	far.state, _ = far.state.Apply(2, applier.Command{
		ChangeVoters: &applier.ChangeVotersMsg{
			Voters: []string{"near"},
		},
	})
	far.set(3, "leader", 0)
	m := &messenger.Messenger{}
	p := New(m, []Source{{
		Addr: startSource(c, far),
	}}, nil, WithDataCentre("a"))
	p.Start()
	c.Cleanup(func() {
		c.Check(p.Close(), qt.IsNil)
		_ = m.Close()
	})
	eventually(c, func() bool { return p.State().Index == 3 })

	var silence time.Duration
	for end := time.Now().Add(2*avoidDuration + 2*time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
		silence = max(silence, p.Silence())
	}
	c.Check(silence < stallTimeout, qt.IsTrue, qt.Commentf("no state for %s", silence))

	near.set(4, "leader", 0)
	l := &messenger.Listener{}
	c.Assert(l.Register("State", near), qt.IsNil)
	l.Start(ln)
	c.Cleanup(func() { _ = l.Close() })
	eventually(c, func() bool { return p.State().Index == 4 })
}
