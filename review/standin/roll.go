package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	rollClients = 70
	// longWork is how long an upstream works on a request. thinkTime is the longest pause of a client between two requests on
	// its connection, below the idle timeout of the configuration.
	longWork  = 3 * time.Second
	thinkTime = 8 * time.Second
	longWait  = 12 * time.Second
	graceTime = 6 * time.Second
	// excusedTime is the time after a SIGTERM up to which a request that is sent may be too long for the grace.
	excusedTime = 3 * time.Second
	readyPeriod = time.Second
	readyMisses = 2
	rollGap     = 4 * time.Second
	manySlots   = 64
)

var errOutOfRotation = errors.New("machine is out of rotation")

// rotation is the platform in front of the machines: it asks each for its readiness, and sends new connections only to those
// that are in rotation.
type rotation struct {
	f   *fleet
	out []atomic.Bool
	// stoppedAt is when each machine got its last SIGTERM, in nanoseconds since the start; zero for none.
	stoppedAt []atomic.Int64
}

func (r *rotation) watch(ctx context.Context, i int) {
	client := &http.Client{
		Timeout: readyPeriod,
	}
	misses := 0
	for ctx.Err() == nil {
		resp, err := client.Get("http://" + r.f.addr(r.f.entries[i], portReady) + "/ready")
		ok := err == nil && resp.StatusCode == http.StatusOK
		if err == nil {
			_ = resp.Body.Close()
		}
		if ok {
			misses = 0
		} else {
			misses++
		}
		r.out[i].Store(misses >= readyMisses)
		time.Sleep(readyPeriod)
	}
}

// dial opens a connection to a machine in rotation.
func (r *rotation) dial(i int) func(context.Context, string, string) (net.Conn, error) {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		if r.out[i].Load() {
			return nil, errOutOfRotation
		}
		var d net.Dialer
		return d.DialContext(ctx, network, addr)
	}
}

// playRoll plays: clients send unsafe requests on which upstreams work for three seconds, over kept connections with pauses.
// The front machines are stopped and started in turn.
func playRoll(ctx context.Context, f *fleet, trouble bool) (verdict, error) {
	var mu sync.Mutex
	ran := make(map[string]bool)
	for i := range 2 * zones {
		u := &upstream{
			f:       f,
			id:      "i-" + strconv.Itoa(i),
			service: plainService,
			zone:    zoneName(i),
			addr:    net.JoinHostPort(f.net+"200", "0"),
			work:    longWork,
			slots:   manySlots,
			onRun: func(u *upstream, id string) {
				mu.Lock()
				defer mu.Unlock()
				ran[id] = true
				f.rec.printf("%s runs %s", u.id, id)
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
	r := rotation{
		f:         f,
		out:       make([]atomic.Bool, len(f.entries)),
		stoppedAt: make([]atomic.Int64, len(f.entries)),
	}
	lost, excused, answered := 0, 0, 0
	for i := range f.entries {
		wg.Go(func() { r.watch(clients, i) })
	}
	for n := range rollClients * len(f.entries) {
		wg.Go(func() {
			r.client(clients, n%len(f.entries), func(id string, i int, sent time.Time, err error) {
				mu.Lock()
				defer mu.Unlock()
				stopped := r.f.rec.began.Add(time.Duration(r.stoppedAt[i].Load()))
				after := sent.Sub(stopped)
				switch {
				case err == nil:
					answered++
				case r.stoppedAt[i].Load() == 0 || !ran[id] || clients.Err() != nil:
				case after > excusedTime:
					lost++
					f.rec.printf("LOST: %s was sent to %s %v after its SIGTERM and ran: %v", id, f.entries[i].name, after, err)
				default:
					excused++
				}
			})
		})
	}
	time.Sleep(thinkTime)
	for i, h := range f.entries {
		if trouble {
			r.stoppedAt[i].Store(int64(time.Since(f.rec.began)))
			f.signal(h, syscall.SIGTERM)
			select {
			case <-h.exited:
			case <-time.After(graceTime):
				f.signal(h, syscall.SIGKILL)
				<-h.exited
			}
			f.rec.printf("%s has ended", h.name)
			time.Sleep(restartDelay)
			if err := f.start(h); err != nil {
				return verdict{}, err
			}
		}
		time.Sleep(rollGap)
	}
	stop()
	wg.Wait()
	if answered == 0 {
		return verdict{}, errors.New("no request was answered")
	}
	return verdict{
		broken: lost > 0,
		text: fmt.Sprintf("LOST: %d requests that were sent later than %v after the SIGTERM ran and got no answer; %d sent earlier (excused), %d answered",
			lost, excusedTime, excused, answered),
	}, nil
}

// client sends requests over one kept connection, and goes to another machine when that has ended.
func (r *rotation) client(ctx context.Context, i int, done func(id string, i int, sent time.Time, err error)) {
	for ctx.Err() == nil {
		transport := &http.Transport{
			DialContext: r.dial(i),
		}
		client := &http.Client{
			Transport: transport,
		}
		kept := true
		for kept && ctx.Err() == nil {
			select {
			case <-ctx.Done():
			case <-time.After(time.Duration(rand.Int64N(int64(thinkTime)))):
			}
			if ctx.Err() != nil {
				break
			}
			id, sent := newRequestID(), time.Now()
			status, last, err := post(ctx, client, r.f.front(r.f.entries[i]), id)
			r.f.rec.printf("client at %s sent %s at %.3f: %d %v", r.f.entries[i].name, id, sent.Sub(r.f.rec.began).Seconds(), status, err)
			done(id, i, sent, err)
			kept = err == nil && !last
		}
		transport.CloseIdleConnections()
		i = (i + 1) % len(r.f.entries)
	}
}

// post sends one unsafe request. last is true if the machine closes the connection after the answer.
func post(ctx context.Context, c *http.Client, addr, id string) (status int, last bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, longWait)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+"/store/x", nil)
	if err != nil {
		return 0, true, err
	}
	req.Host = routeHost
	req.Header.Set("Request-Id", id)
	req.Header.Set("Deadline-Ms", strconv.FormatInt(longWait.Milliseconds(), 10))
	resp, err := c.Do(req)
	if err != nil {
		return 0, true, err
	}
	defer func() { _ = resp.Body.Close() }()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return 0, true, err
	}
	return resp.StatusCode, resp.Close, nil
}
