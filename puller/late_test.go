package puller

import (
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"bramleyline.example/bramleyline/controller"
	"bramleyline.example/bramleyline/messenger"
)

// slowSource is a control host whose answers take a time to arrive.
type slowSource struct {
	fakeSource
	delay atomic.Int64
}

func (s *slowSource) Pull(args *controller.PullArgs, reply *controller.PullReply) error {
	time.Sleep(time.Duration(s.delay.Load()))
	return s.fakeSource.Pull(args, reply)
}

// lateTime is longer than a source may be silent before another one is tried.
const lateTime = pullWait + stallTimeout + 400*time.Millisecond

// Guards against a host that never gets the state over a congested link, because it gives each call up whose answer is on its way, and
// calls again.
func TestLateAnswerIsTaken(t *testing.T) {
	c := qt.New(t)
	s := &slowSource{}
	s.set(3, "leader", 0)
	s.delay.Store(int64(lateTime))
	startSlow(c, s)
}

func startSlow(c *qt.C, s *slowSource, others ...*fakeSource) *Puller {
	sources := []Source{{
		Addr: startService(c, s),
	}}
	for _, o := range others {
		sources = append(sources, Source{
			Addr: startSource(c, o),
		})
	}
	m := &messenger.Messenger{}
	p := New(m, sources, nil)
	p.Start()
	c.Cleanup(func() {
		c.Check(p.Close(), qt.IsNil)
		_ = m.Close()
	})
	eventually(c, func() bool { return p.State().Index == 3 })
	return p
}

// Guards against a host that waits for a late answer although another source has the state, and against one that loses the state
// of the late answer.
func TestOtherSourceIsUsedWhileAnAnswerIsLate(t *testing.T) {
	c := qt.New(t)
	slow, other := &slowSource{}, &fakeSource{}
	slow.set(3, "leader", 0)
	other.set(3, "leader", 0)
	p := startSlow(c, slow, other)
	slow.delay.Store(int64(lateTime))
	time.Sleep(pullWait)
	other.set(4, "leader", 0)
	began := time.Now()
	eventually(c, func() bool { return p.State().Index == 4 })
	c.Check(time.Since(began) < lateTime, qt.IsTrue, qt.Commentf("after %s", time.Since(began)))
	slow.set(5, "leader", 0)
	eventually(c, func() bool { return p.State().Index == 5 })
}

// Guards against a state that counts as complete although its source has more: the answer was cut off, or is an older snapshot.
func TestCutOffAnswerDoesNotMakeTheStateCurrent(t *testing.T) {
	for name, tc := range map[string]struct {
		reply    controller.PullReply
		complete bool
	}{
		"whole":                   {reply: controller.PullReply{Index: 7, Newest: 7}, complete: true},
		"newer than asked for":    {reply: controller.PullReply{Index: 8, Newest: 7}, complete: true},
		"cut off":                 {reply: controller.PullReply{Index: 6, Newest: 7}},
		"older build, few bytes":  {reply: controller.PullReply{Index: 6, Commands: [][]byte{make([]byte, 100)}}, complete: true},
		"older build, many bytes": {reply: controller.PullReply{Index: 6, Commands: [][]byte{make([]byte, unlimitedBytes)}}},
		"older build, snapshot":   {reply: controller.PullReply{Index: 6, Snapshot: []byte("x")}},
	} {
		t.Run(name, func(t *testing.T) {
			qt.New(t).Assert(complete(&tc.reply), qt.Equals, tc.complete)
		})
	}
}
