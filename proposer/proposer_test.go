package proposer

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/pkg/errors"

	"bramleyline.example/bramleyline/applier"
	"bramleyline.example/bramleyline/controller"
	"bramleyline.example/bramleyline/messenger"
)

// host is a control host whose answers the test chooses.
type host struct {
	answer controller.ProposeReply
	calls  atomic.Int32
	hang   chan struct{}
}

func (h *host) Propose(_ *controller.ProposeArgs, reply *controller.ProposeReply) error {
	h.calls.Add(1)
	if h.hang != nil {
		<-h.hang
	}
	*reply = h.answer
	return nil
}

func start(c *qt.C, hosts map[string]*host) *Proposer {
	addrs := make(map[string]netip.AddrPort)
	for name, h := range hosts {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		c.Assert(err, qt.IsNil)
		l := &messenger.Listener{}
		c.Assert(l.Register("State", h), qt.IsNil)
		l.Start(ln)
		c.Cleanup(func() { _ = l.Close() })
		addrs[name] = ln.Addr().(*net.TCPAddr).AddrPort()
	}
	p := &Proposer{
		Messenger: &messenger.Messenger{},
		Hosts:     func() map[string]netip.AddrPort { return addrs },
	}
	c.Cleanup(func() { _ = p.Messenger.Close() })
	return p
}

func propose(p *Proposer, limit time.Duration) (applier.Result, error) {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	return p.Propose(ctx, applier.Command{})
}

// A host that does not lead names the leader, and the others must not be asked in between, nor the next time.
func TestLeaderIsFoundThroughAHint(t *testing.T) {
	c := qt.New(t)
	b, err := applier.EncodeResult(applier.Result{
		Index: 7,
	})
	c.Assert(err, qt.IsNil)
	hosts := make(map[string]*host)
	for i := range 5 {
		hosts[fmt.Sprint("h", i)] = &host{
			answer: controller.ProposeReply{
				NotLeader: true,
				Leader:    "h0",
			},
		}
	}
	hosts["h0"].answer = controller.ProposeReply{
		Result: b,
	}
	p := start(c, hosts)
	for range 2 {
		r, err := propose(p, 10*time.Second)
		c.Assert(err, qt.IsNil)
		c.Assert(r.Index, qt.Equals, uint64(7))
	}
	others := int32(0)
	for name, h := range hosts {
		if name != "h0" {
			others += h.calls.Load()
		}
	}
	c.Assert(others <= 1, qt.IsTrue)
	c.Assert(hosts["h0"].calls.Load(), qt.Equals, int32(2))
}

// An operator must be told the truth about a command without an answer: it was not applied only if no leader may have
// taken it.
func TestErrorSaysWhetherTheCommandMayHaveBeenApplied(t *testing.T) {
	c := qt.New(t)
	refusing := &host{
		answer: controller.ProposeReply{
			NotLeader: true,
			Reason:    "no leader is known",
		},
	}
	_, err := propose(start(c, map[string]*host{"a": refusing}), 100*time.Millisecond)
	c.Assert(errors.Is(err, ErrNotApplied), qt.IsTrue, qt.Commentf("%v", err))
	unknown := &host{
		answer: controller.ProposeReply{
			Unknown: true,
		},
	}
	_, err = propose(start(c, map[string]*host{"a": refusing, "b": unknown}), 100*time.Millisecond)
	c.Assert(errors.Is(err, ErrMaybeApplied), qt.IsTrue, qt.Commentf("%v", err))
	silent := &host{
		hang: make(chan struct{}),
	}
	_, err = propose(start(c, map[string]*host{"a": silent}), 100*time.Millisecond)
	c.Assert(errors.Is(err, ErrMaybeApplied), qt.IsTrue, qt.Commentf("%v", err))
	close(silent.hang)
}

// While there is no leader, a proposer must not keep the control hosts busy: 74 entry hosts that register at once would
// hold up the election. Each host may be asked a few times a second.
func TestHostsWithoutALeaderAreAskedSeldom(t *testing.T) {
	c := qt.New(t)
	h := &host{
		answer: controller.ProposeReply{
			NotLeader: true,
		},
	}
	p := start(c, map[string]*host{
		"h0": h,
	})
	_, err := propose(p, time.Second)
	c.Assert(errors.Is(err, ErrNotApplied), qt.IsTrue)
	c.Assert(h.calls.Load() <= 10, qt.IsTrue, qt.Commentf("%d calls in a second", h.calls.Load()))
}
