package puller

import (
	"sync"
	"testing"

	qt "github.com/frankban/quicktest"

	"bramleyline.example/bramleyline/controller"
	"bramleyline.example/bramleyline/messenger"
)

// readerSource is a control host that counts how often readers take leave.
type readerSource struct {
	fakeSource

	mu   sync.Mutex
	left int
}

func (s *readerSource) Pull(args *controller.PullArgs, reply *controller.PullReply) error {
	if args.Leaving {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.left++
		return nil
	}
	return s.fakeSource.Pull(args, reply)
}

func (s *readerSource) leaves() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.left
}

// Guards against acknowledgements that wait for a host that has stopped, because it did not say so.
func TestHostThatStopsTakesLeave(t *testing.T) {
	c := qt.New(t)
	s := &readerSource{}
	s.set(3, "leader", 0)
	m := &messenger.Messenger{}
	defer func() { _ = m.Close() }()
	p := New(m, []Source{{
		Addr: startService(c, s),
	}}, nil, WithName("host"), WithInForce(func() uint64 { return 3 }))
	p.Start()
	eventually(c, func() bool { return p.State().Index == 3 && p.Source().IsValid() })
	c.Check(s.leaves(), qt.Equals, 0)
	c.Assert(p.Close(), qt.IsNil)
	c.Check(s.leaves(), qt.Equals, 1)
}

// Guards against acknowledgements that wait for a host at a control host from which it no longer pulls.
func TestFormerSourceIsLeft(t *testing.T) {
	c := qt.New(t)
	first, second := &readerSource{}, &readerSource{}
	first.set(3, "leader", 0)
	second.set(4, "leader", 0)
	m := &messenger.Messenger{}
	p := New(m, []Source{
		{
			Addr: startService(c, first),
		},
		{
			Addr: startService(c, second),
		},
	}, nil, WithName("host"), WithInForce(func() uint64 { return 3 }))
	p.Start()
	c.Cleanup(func() {
		c.Check(p.Close(), qt.IsNil)
		_ = m.Close()
	})
	eventually(c, func() bool { return p.State().Index == 3 })
	c.Check(first.leaves(), qt.Equals, 0)
	first.set(3, "", 0)
	eventually(c, func() bool { return p.State().Index == 4 && first.leaves() == 1 })
	c.Check(second.leaves(), qt.Equals, 0)
}
