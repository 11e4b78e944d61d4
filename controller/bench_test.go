package controller_test

import (
	"context"
	"fmt"
	"net"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"bramleyline.example/bramleyline/messenger"
	"bramleyline.example/bramleyline/puller"
)

// BenchmarkCommit measures a commit in a group over loopback, with one proposal at a time and with 64 at a time.
func BenchmarkCommit(b *testing.B) {
	for _, n := range []int{1, 3, 5} {
		c := qt.New(b)
		g := startGroup(c, n)
		g.takeOut("first", "dc1")
		leader := g.hosts[g.leader()]
		ctx := context.Background()
		var id atomic.Int64
		b.Run(fmt.Sprintf("%dvoters/1", n), func(b *testing.B) {
			for b.Loop() {
				if _, err := leader.Propose(ctx, takeOutCommand(fmt.Sprint(id.Add(1)), "dc1")); err != nil {
					b.Fatal(err)
				}
			}
		})
		b.Run(fmt.Sprintf("%dvoters/64", n), func(b *testing.B) {
			b.SetParallelism(7)
			b.RunParallel(func(pb *testing.PB) {
				for pb.Next() {
					if _, err := leader.Propose(ctx, takeOutCommand(fmt.Sprint(id.Add(1)), "dc1")); err != nil {
						b.Error(err)
						return
					}
				}
			})
		})
	}
}

// countingConn counts the bytes of a connection in both directions.
type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c *countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytes.Add(int64(n))
	return n, err
}

func (c *countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.bytes.Add(int64(n))
	return n, err
}

// BenchmarkPuller measures the time from a proposal to the changed state on a host without a log, and the bytes on
// that host's connection for each change and, without changes, for each second.
func BenchmarkPuller(b *testing.B) {
	c := qt.New(b)
	g := startGroup(c, 3)
	g.takeOut("first", "dc1")
	name := g.leader()
	var bytes atomic.Int64
	m := &messenger.Messenger{
		Dial: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return &countingConn{
				Conn:  conn,
				bytes: &bytes,
			}, nil
		},
	}
	f := puller.New(m, []puller.Source{{
		Name: name,
		Addr: g.addrs[name],
	}}, nil)
	f.Start()
	defer func() { _ = f.Close() }()
	g.eventually("state", func() bool { return f.State().Index > 0 })
	bytes.Store(0)
	id := 0
	for b.Loop() {
		id++
		r, err := g.hosts[name].Propose(context.Background(), takeOutCommand(fmt.Sprint("f", id), "dc1"))
		if err != nil {
			b.Fatal(err)
		}
		for changed := f.Changed(); f.State().Index < r.Index; changed = f.Changed() {
			if f.State().Index >= r.Index {
				break
			}
			<-changed
		}
	}
	b.ReportMetric(float64(bytes.Load())/float64(id), "B/change")
	bytes.Store(0)
	time.Sleep(2 * time.Second)
	b.ReportMetric(float64(bytes.Load())/2, "idleB/s")
}
