package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	// crashes is the number of crashes in the case.
	crashes = 8
	// restartTime is how long a crashed upstream is down, and lateBeat how late the first heartbeat of the next life arrives.
	restartTime = 300 * time.Millisecond
	lateBeat    = 2 * time.Second
	// hotShare is the share of the requests for hotKeys keys that lie close to each other. Which ones they are changes each
	// hotTime, by hotStep.
	hotShare    = 0.6
	hotKeys     = 400
	hotTime     = 2500 * time.Millisecond
	hotStep     = 9001
	keyedWork   = 35 * time.Millisecond
	keyedPause  = 16 * time.Millisecond
	balanceTime = 20 * time.Second
	betweenTime = 8 * time.Second
)

// taken is a grant that a life of an upstream accepted.
type taken struct {
	life  int
	grant span
}

// playFence plays: upstreams hold keys under several fencing tokens. One crashes and starts again under its id and address,
// and its first heartbeat arrives late. No key may be taken by the next life with a token that the last one had it with.
func playFence(ctx context.Context, f *fleet, trouble bool) (verdict, error) {
	var mu sync.Mutex
	accepted := make(map[string][]taken)
	broken := 0
	life := make(map[string]int)
	var ups []*upstream
	newLife := func(id, zone, addr string, firstBeat time.Duration) (*upstream, error) {
		mu.Lock()
		life[id]++
		number := life[id]
		mu.Unlock()
		u := &upstream{
			f:         f,
			id:        id,
			service:   keyedService,
			zone:      zone,
			addr:      addr,
			work:      keyedWork,
			firstBeat: firstBeat,
			onRun:     func(*upstream, string) {},
			onGrant: func(u *upstream, g span) {
				mu.Lock()
				defer mu.Unlock()
				for _, t := range accepted[u.id] {
					if t.life < number && t.grant.from <= g.to && g.from <= t.grant.to && t.grant.fence >= g.fence {
						broken++
						f.rec.printf("%s life %d takes keys %d to %d with token %d; life %d had taken %d to %d with token %d", u.id,
							number, g.from, g.to, g.fence, t.life, t.grant.from, t.grant.to, t.grant.fence)
						break
					}
				}
				accepted[u.id] = append(accepted[u.id], taken{
					life:  number,
					grant: g,
				})
				f.rec.printf("%s life %d takes keys %d to %d with token %d", u.id, number, g.from, g.to, g.fence)
			},
		}
		return u, u.start()
	}
	for i := range 2 * zones {
		u, err := newLife("i-"+strconv.Itoa(i), zoneName(i), net.JoinHostPort(f.net+"200", "0"), 0)
		if err != nil {
			return verdict{}, err
		}
		ups = append(ups, u)
	}
	defer func() {
		for _, u := range ups {
			u.crash()
		}
	}()
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
		wg.Go(func() { readKeys(clients, f, h) })
	}
	time.Sleep(balanceTime)
	for n := range crashes {
		i := n % len(ups)
		if trouble {
			u := ups[i]
			f.rec.printf("%s crashes", u.id)
			u.crash()
			time.Sleep(restartTime)
			next, err := newLife(u.id, u.zone, u.addr, lateBeat)
			if err != nil {
				return verdict{}, err
			}
			ups[i] = next
			f.rec.printf("%s starts again", u.id)
		}
		time.Sleep(betweenTime)
	}
	mu.Lock()
	defer mu.Unlock()
	return verdict{
		broken: broken > 0,
		text:   fmt.Sprintf("OWNER: %d grants were taken by a life of an upstream with a token that an earlier life had the keys with", broken),
	}, nil
}

// readKeys sends keyed requests, most of them for few keys that lie close to each other.
func readKeys(ctx context.Context, f *fleet, h *host) {
	client := &http.Client{
		Transport: &http.Transport{},
	}
	var wg sync.WaitGroup
	defer wg.Wait()
	for ctx.Err() == nil {
		key := rand.IntN(1 << 16)
		if rand.Float64() < hotShare {
			key = (int(time.Since(f.rec.began)/hotTime)*hotStep + rand.IntN(hotKeys)) % (1 << 16)
		}
		wg.Go(func() {
			id, status, err := send(ctx, client, f.front(h), http.MethodGet, "/keyed/x", strconv.Itoa(key), time.Second)
			f.rec.printf("client at %s sent %s for key %d: %d %v", h.name, id, key, status, err)
		})
		time.Sleep(keyedPause)
	}
}
