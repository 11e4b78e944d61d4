package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"syscall"
	"time"
)

const (
	upstreamsPerZone = 2
	// freezeTime is the length of the freeze, 3.5 s in the site file.
	freezeTime = 3500 * time.Millisecond
	// watchTime is how long the zone is watched after its evacuation is due.
	watchTime = 8 * time.Second
	// readInterval is the pause between two requests of one client.
	readInterval = 25 * time.Millisecond
)

// runMsg is one run of a request at an upstream.
type runMsg struct {
	at   time.Time
	zone string
}

// playTakeback plays: a zone is evacuated, taken back and evacuated again. A core machine stands still when it gets the order
// to take the zone back, which the operator then sends to another one. It wakes up after the second evacuation was
// acknowledged.
func playTakeback(ctx context.Context, f *fleet, trouble bool) (verdict, error) {
	var mu sync.Mutex
	var runs []runMsg
	for i := range zones * upstreamsPerZone {
		u := &upstream{
			f:       f,
			id:      "i-" + strconv.Itoa(i),
			service: plainService,
			zone:    zoneName(i),
			addr:    net.JoinHostPort(f.net+"200", "0"),
			work:    5 * time.Millisecond,
			onRun: func(u *upstream, id string) {
				mu.Lock()
				defer mu.Unlock()
				runs = append(runs, runMsg{
					at:   time.Now(),
					zone: u.zone,
				})
				f.rec.printf("%s in %s runs %s", u.id, u.zone, id)
			},
		}
		if err := u.start(); err != nil {
			return verdict{}, err
		}
		defer u.crash()
	}
	if err := f.startAll(); err != nil {
		return verdict{}, err
	}
	o := newOperator(f)
	if err := o.configure(ctx); err != nil {
		return verdict{}, err
	}
	clients, stop := context.WithCancel(ctx)
	var wg sync.WaitGroup
	defer wg.Wait()
	defer stop()
	for _, h := range f.entries {
		wg.Go(func() { readOn(clients, f, h) })
	}
	time.Sleep(contactTime)

	zone, path := zoneName(0), "/evacuation/"+zoneName(0)
	frozen := len(f.controls) - 1
	if _, err := o.order(ctx, 0, http.MethodPost, path, nil); err != nil {
		return verdict{}, err
	}
	time.Sleep(2 * time.Second)
	thaw := time.Now()
	if trouble {
		f.signal(f.controls[frozen], syscall.SIGSTOP)
		thaw = thaw.Add(freezeTime)
	}
	// The order is acknowledged by the first node that answers. The next order follows only then.
	if _, err := o.order(ctx, frozen, http.MethodDelete, path, nil); err != nil {
		return verdict{}, err
	}
	time.Sleep(500 * time.Millisecond)
	acked, err := o.order(ctx, 1, http.MethodPost, path, nil)
	if err != nil {
		return verdict{}, err
	}
	time.Sleep(time.Until(thaw))
	if trouble {
		f.signal(f.controls[frozen], syscall.SIGCONT)
	}
	// The front machines have been in touch all the while; the core is stable contactTime after the thaw.
	due := acked.Add(evacuateTime)
	if stable := thaw.Add(contactTime); stable.After(due) {
		due = stable
	}
	time.Sleep(time.Until(due.Add(watchTime)))
	mu.Lock()
	defer mu.Unlock()
	late, others := 0, 0
	for _, r := range runs {
		switch {
		case r.at.Before(due):
		case r.zone == zone:
			late++
		default:
			others++
		}
	}
	if others == 0 {
		return verdict{}, fmt.Errorf("no request was served at the end")
	}
	return verdict{
		broken: late > 0,
		text: fmt.Sprintf("EVAC: %d requests ran in %s later than %v after its evacuation was acknowledged, %d in the other zones",
			late, zone, evacuateTime, others),
	}, nil
}

// readOn sends safe requests to one front machine over kept connections.
func readOn(ctx context.Context, f *fleet, h *host) {
	client := &http.Client{
		Transport: &http.Transport{},
	}
	for ctx.Err() == nil {
		id, status, err := send(ctx, client, f.front(h), http.MethodGet, "/read/x", "", time.Second)
		f.rec.printf("client at %s sent %s: %d %v", h.name, id, status, err)
		time.Sleep(readInterval)
	}
}
