package coordinator

import (
	"net"
	"net/rpc"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"bramleyline.example/bramleyline/aggregator"
	"bramleyline.example/bramleyline/issuer"
	"bramleyline.example/bramleyline/reporter"
)

// OldObserveArgs and OldObserveReply are the messages of builds without loads.
type OldObserveArgs struct {
	Work      []ServiceLoadMsg
	Losses    []reporter.SuspectMsg
	Completed []uint64
	Stated    []issuer.StatedMsg
	Relayed   bool
}

type OldObserveReply struct{}

// oldService is the service of a control host without loads.
type oldService struct {
	got chan OldObserveArgs
}

func (s *oldService) Observe(args *OldObserveArgs, _ *OldObserveReply) error {
	s.got <- *args
	return nil
}

// dial returns a client of service over a connection in memory.
func dial(c *qt.C, service any) *rpc.Client {
	server := rpc.NewServer()
	c.Assert(server.RegisterName("Leader", service), qt.IsNil)
	near, far := net.Pipe()
	go server.ServeConn(far)
	client := rpc.NewClient(near)
	c.Cleanup(func() { _ = client.Close() })
	return client
}

func loadReport() *aggregator.ReportMsg {
	return &aggregator.ReportMsg{
		Host:    "x",
		Elapsed: time.Second,
		Targets: aggregator.EncodeReport(time.Unix(1000, 0), []aggregator.Observation{{
			Target:   7,
			InFlight: 2,
		}}),
	}
}

var work = []ServiceLoadMsg{{
	Service: "desk",
	Keys:    []uint16{1},
	Work:    []uint16{2},
}}

// Guards against a rolling upgrade in which old control hosts lose the reports of new hosts, and new hosts fail on old answers.
func TestNewHostReportsToAnOldControlHost(t *testing.T) {
	c := qt.New(t)
	old := oldService{
		got: make(chan OldObserveArgs, 2),
	}
	client := dial(c, &old)
	for _, load := range []*aggregator.ReportMsg{loadReport(), nil} {
		var reply ObserveReply
		c.Assert(client.Call("Leader.Observe", &ObserveArgs{
			Work: work,
			Load: load,
		}, &reply), qt.IsNil)
		c.Assert(reply.Load, qt.IsNil)
		c.Assert((<-old.got).Work, qt.DeepEquals, work)
	}
	// A control host without the exchange is not asked again for some time, others are.
	var p peers
	now := time.Unix(1000, 0)
	c.Assert(p.begin(now, "old"), qt.IsTrue)
	c.Assert(p.begin(now, "old"), qt.IsFalse)
	p.end(now, "old", client.Call("Leader.Exchange", &ExchangeArgs{}, &aggregator.UpdateMsg{}))
	c.Assert(p.begin(now.Add(exchangeInterval), "old"), qt.IsFalse)
	c.Assert(p.begin(now.Add(exchangeInterval), "new"), qt.IsTrue)
	c.Assert(p.begin(now.Add(exchangeRetry), "old"), qt.IsTrue)
}

// Guards against a new control host that refuses the reports of old hosts or answers what they cannot decode, and against one
// that exchanges loads although no host reports any.
func TestOldAndNewHostsReportToANewControlHost(t *testing.T) {
	c := qt.New(t)
	f := newLeaderFixture(c)
	client := dial(c, &leaderService{
		coordinator: f.coordinator,
	})
	var oldReply OldObserveReply
	c.Assert(client.Call("Leader.Observe", &OldObserveArgs{
		Work: work,
	}, &oldReply), qt.IsNil)
	now := time.Unix(1000, 0)
	c.Assert(f.coordinator.loads.Status(now), qt.Equals, aggregator.Status{})
	var reply ObserveReply
	c.Assert(client.Call("Leader.Observe", &ObserveArgs{
		Work: work,
	}, &reply), qt.IsNil)
	c.Assert(reply.Load, qt.IsNil)
	c.Assert(client.Call("Leader.Observe", &ObserveArgs{
		Load: loadReport(),
	}, &reply), qt.IsNil)
	c.Assert(reply.Load.Hosts, qt.Equals, 1)
	var own aggregator.UpdateMsg
	c.Assert(client.Call("Leader.Exchange", &ExchangeArgs{}, &own), qt.IsNil)
	var r aggregator.Reader
	c.Assert(r.Apply(now, &own), qt.IsNil)
	c.Assert(r.Observations()[0].InFlight, qt.Equals, 2)
	c.Assert(client.Call("Leader.Observe", &OldObserveArgs{}, &oldReply), qt.IsNil)
}
