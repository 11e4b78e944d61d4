package coordinator

import (
	"context"
	"fmt"
	"io"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	qt "github.com/frankban/quicktest"

	"bramleyline.example/bramleyline/applier"
	"bramleyline.example/bramleyline/configurer"
	"bramleyline.example/bramleyline/controller"
	"bramleyline.example/bramleyline/issuer"
	"bramleyline.example/bramleyline/journaler"
	"bramleyline.example/bramleyline/lessor"
	"bramleyline.example/bramleyline/matcher"
	"bramleyline.example/bramleyline/messenger"
	"bramleyline.example/bramleyline/recruiter"
	"bramleyline.example/bramleyline/registrar"
	"bramleyline.example/bramleyline/reporter"
	"bramleyline.example/bramleyline/timekeeper"
)

const (
	// waitTimeout bounds how long a test waits for an event; it is not a requirement on the program.
	waitTimeout = 20 * time.Second
	// testHold is the length of the grants in these tests.
	testHold = 2 * time.Second
)

// slowDisk is a data folder whose syncs wait while it hangs.
type slowDisk struct {
	journaler.Disk
	hang sync.RWMutex
}

type slowFile struct {
	journaler.File
	disk *slowDisk
}

func (d *slowDisk) Create(name string) (journaler.File, error) {
	f, err := d.Disk.Create(name)
	return &slowFile{
		File: f,
		disk: d,
	}, err
}

func (f *slowFile) Sync() error {
	f.disk.hang.RLock()
	defer f.disk.hang.RUnlock()
	return f.File.Sync()
}

// fakeTargets accepts grants as targets do, and records keys that two of them hold at the same time.
type fakeTargets struct {
	mu      sync.Mutex
	cut     string
	holds   map[string]map[registrar.Span]time.Time
	overlap string
}

func (f *fakeTargets) Call(_ context.Context, c lessor.CallMsg, _ func() bool) lessor.CallResultMsg {
	f.mu.Lock()
	defer f.mu.Unlock()
	id := c.Incarnation.ID
	if id == f.cut {
		return lessor.CallResultMsg{
			Call:    c,
			NotSent: true,
		}
	}
	if c.IsRelease() {
		delete(f.holds[id], c.Span)
	} else {
		f.grant(id, c)
	}
	return lessor.CallResultMsg{
		Call:     c,
		Answered: true,
		OK:       true,
	}
}

func (f *fakeTargets) grant(id string, c lessor.CallMsg) {
	now := time.Now()
	for other, spans := range f.holds {
		for s, until := range spans {
			if other != id && s.From <= c.Span.To && c.Span.From <= s.To && now.Before(until) {
				f.overlap = fmt.Sprintf("%s gets %v, which %s holds for another %s", id, c.Span, other, until.Sub(now))
			}
		}
	}
	if f.holds[id] == nil {
		f.holds[id] = make(map[registrar.Span]time.Time)
	}
	f.holds[id][c.Span] = now.Add(c.Grant.Hold)
}

func (f *fakeTargets) holders() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.holds)
}

// leaderFixture is a control group of one host with two targets of a keyed service.
type leaderFixture struct {
	c           *qt.C
	disk        *slowDisk
	controller  *controller.Controller
	coordinator *Coordinator
	targets     *fakeTargets
	ids         []registrar.Incarnation
}

func newLeaderFixture(c *qt.C) *leaderFixture {
	f := &leaderFixture{
		c: c,
		disk: &slowDisk{
			Disk: journaler.Disk{
				Folder: c.TempDir(),
			},
		},
		targets: &fakeTargets{
			holds: make(map[string]map[registrar.Span]time.Time),
		},
	}
	m := &messenger.Messenger{}
	timing := configurer.DefaultTiming()
	timing.ElectionTimeout = 100 * time.Millisecond
	logs := log.New(io.Discard)
	var err error
	f.controller, err = controller.New(
		controller.WithName("a"),
		controller.WithVoters(map[string]netip.AddrPort{
			"a": netip.MustParseAddrPort("127.0.0.1:1"),
		}),
		controller.WithFileSystem(f.disk),
		controller.WithMessenger(m),
		controller.WithTiming(timing),
		controller.WithLogger(logs),
	)
	c.Assert(err, qt.IsNil)
	f.coordinator = New(Options{
		Controller: f.controller,
		Caller:     f.targets,
		Decode: func(registrar.Document) (*matcher.Table, error) {
			return &matcher.Table{
				Services: map[string]matcher.Service{
					"desk": {
						Name:  "desk",
						Keyed: true,
					},
				},
			}, nil
		},
		Hold: testHold,
		Membership: recruiter.Recruiter{
			Voters: 1,
		},
		Messenger: m,
		Log:       logs,
	})
	c.Assert(f.controller.Start(), qt.IsNil)
	f.coordinator.Start()
	c.Cleanup(func() {
		_ = f.coordinator.Close()
		_ = f.controller.Close()
		_ = m.Close()
	})
	f.await(func() bool { return f.coordinator.leads() })
	f.propose(registrar.Change{
		PutTable: &registrar.PutTableMsg{
			Version: 1,
			Body:    []byte("x"),
		},
	})
	for i := range 2 {
		t := registrar.Target{
			Incarnation: registrar.Incarnation{
				ID:   fmt.Sprint("t", i),
				Born: time.UnixMilli(1000).UTC(),
			},
			Service:    "desk",
			Addr:       netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 80),
			DataCentre: "dc",
			Slots:      4,
			Slowness:   1,
		}
		f.ids = append(f.ids, t.Incarnation)
		f.propose(registrar.Change{
			Announce: &t,
		})
	}
	return f
}

func (f *leaderFixture) await(done func() bool) {
	f.c.Helper()
	for end := time.Now().Add(waitTimeout); !done(); time.Sleep(time.Millisecond) {
		f.c.Assert(time.Now().Before(end), qt.IsTrue, qt.Commentf("waited for %s", waitTimeout))
	}
}

func (f *leaderFixture) propose(change registrar.Change) {
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	_, err := f.controller.Propose(ctx, applier.Command{
		Registry: &change,
	})
	f.c.Check(err, qt.IsNil)
}

// lapse lets the lease of the leader end for a moment because its disk hangs. No other host is elected.
func (f *leaderFixture) lapse() {
	since, _ := f.controller.Leading(timekeeper.Now())
	f.disk.hang.Lock()
	written := make(chan struct{})
	go func() {
		defer close(written)
		f.propose(registrar.Change{})
	}()
	f.await(func() bool { return !f.coordinator.leads() })
	time.Sleep(2 * tickInterval)
	f.disk.hang.Unlock()
	<-written
	f.await(func() bool { return f.coordinator.leads() })
	again, _ := f.controller.Leading(timekeeper.Now())
	f.c.Assert(again.Equal(since), qt.IsTrue)
}

// Guards against a leader that forgets its own grants when its lease lapses for a moment, and gives keys that a target
// still holds to another one.
func TestGrantsOutliveALapseOfTheLease(t *testing.T) {
	c := qt.New(t)
	f := newLeaderFixture(c)
	f.await(func() bool { return f.targets.holders() == 2 })
	// The grants that an earlier leader may have made have expired.
	time.Sleep(testHold)
	f.targets.mu.Lock()
	f.targets.cut = "t0"
	f.targets.mu.Unlock()
	f.lapse()
	f.await(func() bool {
		for _, r := range f.controller.State().Registry.RangeList("desk") {
			if r.Owner.ID != "t1" {
				return false
			}
		}
		return true
	})
	time.Sleep(testHold / 2)
	f.targets.mu.Lock()
	defer f.targets.mu.Unlock()
	c.Assert(f.targets.overlap, qt.Equals, "")
}

// Guards against a request that crashes one target more because the leader forgets the losses before a lapse of its lease.
func TestLossesOutliveALapseOfTheLease(t *testing.T) {
	c := qt.New(t)
	f := newLeaderFixture(c)
	lose := func(target string) {
		f.coordinator.observeLosses([]reporter.SuspectMsg{{
			Fingerprint: 7,
			Lost:        target,
		}}, nil)
	}
	lose("t0")
	f.lapse()
	lose("t1")
	f.await(func() bool { return f.controller.State().Registry.Quarantine().Len() == 1 })
	c.Assert(f.controller.State().Registry.Quarantine().Len(), qt.Equals, 1)
}

// Guards against tokens that are issued twice for the same time, beyond the limit of a target, around a lapse of the lease.
func TestTokensOutliveALapseOfTheLease(t *testing.T) {
	c := qt.New(t)
	f := newLeaderFixture(c)
	ask := func() (issued int) {
		m := issuer.AskMsg{
			StatedMsg: issuer.StatedMsg{
				Target: f.ids[0],
				Stated: true,
				Limit:  4,
			},
			Heard: true,
		}
		for range 30 {
			m.MaxDelays = append(m.MaxDelays, 5*time.Second)
		}
		var reply issuer.IssueMsg
		s := leaderService{
			coordinator: f.coordinator,
		}
		c.Assert(s.Issue(&m, &reply), qt.IsNil)
		for _, d := range reply.Delays {
			if d != issuer.Refused {
				issued++
			}
		}
		return issued
	}
	// A limit of 4 a second leaves 3 a second for tokens.
	began := time.Now()
	issued := ask()
	f.lapse()
	time.Sleep(2 * tickInterval)
	issued += ask()
	allowed := 1 + int(3*(time.Since(began)+5*time.Second).Seconds())
	c.Assert(issued <= allowed, qt.IsTrue, qt.Commentf("%d tokens, %d are allowed", issued, allowed))
}
