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

// host is a control host whose answer the test sets.
type host struct {
	answer controller.ProposeReply
	calls  atomic.Int32
	// block, if set, holds back the answer until it is closed.
	block chan struct{}
}

func (h *host) Propose(_ *controller.ProposeArgs, reply *controller.ProposeReply) error {
	h.calls.Add(1)
	if h.block != nil {
		<-h.block
	}
	*reply = h.answer
	return nil
}

func startHosts(c *qt.C, hosts map[string]*host) *Proposer {
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

func propose(p *Proposer, timeout time.Duration) (applier.Result, error) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	return p.Propose(ctx, applier.Command{})
}

// Guards against attempts at further hosts that do not lead although the first of them has named the leader, and
// against a leader that is forgotten before the next command.
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
	p := startHosts(c, hosts)
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

// Guards against an operator who is told that a command was not applied although a leader may have accepted it and only
// the answer was lost.
func TestErrorSaysWhetherTheCommandMayHaveBeenApplied(t *testing.T) {
	c := qt.New(t)
	notLeading := &host{
		answer: controller.ProposeReply{
			NotLeader: true,
			Reason:    "no leader is known",
		},
	}
	_, err := propose(startHosts(c, map[string]*host{"a": notLeading}), 100*time.Millisecond)
	c.Assert(errors.Is(err, ErrNotApplied), qt.IsTrue, qt.Commentf("%v", err))
	unknown := &host{
		answer: controller.ProposeReply{
			Unknown: true,
		},
	}
	_, err = propose(startHosts(c, map[string]*host{"a": notLeading, "b": unknown}), 100*time.Millisecond)
	c.Assert(errors.Is(err, ErrMaybeApplied), qt.IsTrue, qt.Commentf("%v", err))
	unresponsive := &host{
		block: make(chan struct{}),
	}
	_, err = propose(startHosts(c, map[string]*host{"a": unresponsive}), 100*time.Millisecond)
	c.Assert(errors.Is(err, ErrMaybeApplied), qt.IsTrue, qt.Commentf("%v", err))
	close(unresponsive.block)
}

// Guards against a proposer without a backoff while there is no leader: the attempts of 74 entry hosts that register at
// once would delay the election. A proposer may make only a few attempts a second at each host.
func TestProposerBacksOffWithoutLeader(t *testing.T) {
	c := qt.New(t)
	h := &host{
		answer: controller.ProposeReply{
			NotLeader: true,
		},
	}
	p := startHosts(c, map[string]*host{
		"h0": h,
	})
	_, err := propose(p, time.Second)
	c.Assert(errors.Is(err, ErrNotApplied), qt.IsTrue)
	c.Assert(h.calls.Load() <= 10, qt.IsTrue, qt.Commentf("%d calls in a second", h.calls.Load()))
}

// Guards against orders that are not committed in time after a change of leader, because the former leader, which is off, is tried first,
// or another host that is off.
func TestLeaderThatIsHeardComesFirst(t *testing.T) {
	c := qt.New(t)
	b, err := applier.EncodeResult(applier.Result{})
	c.Assert(err, qt.IsNil)
	p := startHosts(c, map[string]*host{
		"new": {
			answer: controller.ProposeReply{
				Result: b,
			},
		},
	})
	hosts := p.Hosts()
	for i := range 4 {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		c.Assert(err, qt.IsNil)
		c.Cleanup(func() { _ = ln.Close() })
		hosts[fmt.Sprint("off", i)] = ln.Addr().(*net.TCPAddr).AddrPort()
	}
	heard := "new"
	p.Leader = func() string { return heard }
	p.updateLeader("", "off0")
	began := time.Now()
	_, err = propose(p, 20*time.Second)
	c.Check(err, qt.IsNil)
	c.Check(time.Since(began) < attemptTimeout, qt.IsTrue, qt.Commentf("after %s", time.Since(began)))

	heard = "off1"
	_, err = propose(p, 20*time.Second)
	c.Check(err, qt.IsNil, qt.Commentf("the leader from which this host heard is off"))
}
