package emulator

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/netip"
	"slices"
	"time"

	"github.com/pkg/errors"

	"bramleyline.example/bramleyline/fencer"
	"bramleyline.example/bramleyline/keyer"
)

// heartbeatTimeout bounds one heartbeat. It is below the default dispatch lease, so that a silent host leaves time to
// ask another one.
const heartbeatTimeout = 200 * time.Millisecond

// States of a target in its heartbeat.
const (
	stateCold     = "cold"
	stateWarm     = "warm"
	stateDraining = "draining"
)

// maxRange bounds a range of slots in a grant, so that a wrong answer cannot occupy the target for long.
const maxRange = 1 << 20

// errUrgent reports a heartbeat that was given up because a newer one has more to say.
var errUrgent = errors.New("a newer heartbeat is urgent")

type heartbeatWire struct {
	Name        string       `json:"name"`
	Service     string       `json:"service"`
	DataCentre  string       `json:"dataCentre"`
	Incarnation uint64       `json:"incarnation"`
	Address     string       `json:"address"`
	State       string       `json:"state"`
	Slots       int          `json:"slots"`
	Connections int          `json:"connections"`
	InFlight    int          `json:"inFlight"`
	Load        float64      `json:"load"`
	LoadAgeMs   int64        `json:"loadAgeMs"`
	AckVersion  uint64       `json:"ackVersion"`
	Released    []keyer.Slot `json:"released"`
	ChecksEpoch bool         `json:"checksEpoch"`
	WaitMs      int64        `json:"waitMs"`
}

type grantWire struct {
	LeaseMs int64  `json:"leaseMs"`
	Fence   uint64 `json:"fence"`
	Version uint64 `json:"version"`
	Owned   []struct {
		From  keyer.Slot   `json:"from"`
		To    keyer.Slot   `json:"to"`
		Epoch fencer.Epoch `json:"epoch"`
	} `json:"owned"`
	Releasing []keyer.Slot `json:"releasing"`
}

type redirectWire struct {
	Host    string `json:"host"`
	Address string `json:"address"`
}

type loadSample struct {
	at   time.Time
	load float64
}

// heartbeats announces the target until the incarnation ends.
func (l *incarnation) heartbeats() {
	if len(l.e.opts.Announce) == 0 {
		<-l.ctx.Done()
		return
	}
	transport := &http.Transport{
		DialContext:         l.e.opts.Dial,
		MaxIdleConnsPerHost: 2,
		TLSClientConfig:     l.e.opts.TLS,
	}
	defer transport.CloseIdleConnections()
	client := &http.Client{
		Transport: transport,
	}
	next := 0
	host := l.e.opts.Announce[0]
	tick := time.NewTicker(l.e.opts.Heartbeat)
	defer tick.Stop()
	for {
		started := time.Now()
		before := l.acknowledged()
		for range len(l.e.opts.Announce) + 1 {
			if !l.waitThaw() {
				return
			}
			redirect, err := l.heartbeat(client, host)
			if err == nil && !redirect.IsValid() {
				break
			}
			if errors.Is(err, errUrgent) {
				continue
			}
			if redirect.IsValid() && redirect != host {
				host = redirect
				continue
			}
			next = (next + 1) % len(l.e.opts.Announce)
			host = l.e.opts.Announce[next]
		}
		// An answer with news is acknowledged at once, and one that was held back for an interval has filled it.
		if l.acknowledged() != before || time.Since(started) >= l.e.opts.Heartbeat {
			continue
		}
		select {
		case <-tick.C:
		case <-l.urgent:
		case <-l.ctx.Done():
			return
		}
	}
}

// acknowledged returns the newest table version that the target knows.
func (l *incarnation) acknowledged() uint64 {
	l.e.mu.Lock()
	defer l.e.mu.Unlock()
	return l.ackVersion
}

// sendNow ends a heartbeat whose answer is held back and sends the next one at once.
func (l *incarnation) sendNow() {
	select {
	case l.urgent <- struct{}{}:
	default:
	}
}

// interruptible returns a context that also ends when a heartbeat becomes urgent.
func (l *incarnation) interruptible(ctx context.Context) (context.Context, func()) {
	ctx, cancel := context.WithCancel(ctx)
	ended := make(chan struct{})
	go func() {
		select {
		case <-l.urgent:
			cancel()
		case <-ended:
		}
	}()
	return ctx, func() {
		close(ended)
		cancel()
	}
}

// heartbeat asks one host for the lease. It returns the address of another host if that one is to be asked.
func (l *incarnation) heartbeat(client *http.Client, host netip.AddrPort) (netip.AddrPort, error) {
	announcement := l.announcement()
	body, err := json.Marshal(announcement)
	if err != nil {
		return netip.AddrPort{}, errors.Wrap(err, "heartbeat")
	}
	ctx, cancel := context.WithTimeout(l.ctx, heartbeatTimeout+l.e.opts.Heartbeat)
	defer cancel()
	interrupted, end := l.interruptible(ctx)
	defer end()
	asked := time.Now()
	scheme := "http"
	if l.e.opts.TLS != nil {
		scheme = "https"
	}
	url := scheme + "://" + host.String() + "/v1/heartbeat"
	req, err := http.NewRequestWithContext(interrupted, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return netip.AddrPort{}, errors.Wrap(err, "heartbeat")
	}
	req.Header.Set("Authorization", "Bearer "+l.e.opts.Token)
	req.Header.Set("Content-Type", "application/json")
	resp, err := client.Do(req)
	if err != nil && interrupted.Err() != nil && ctx.Err() == nil {
		return netip.AddrPort{}, errUrgent
	}
	if err != nil {
		return netip.AddrPort{}, errors.Wrap(err, "heartbeat")
	}
	defer resp.Body.Close()
	switch resp.StatusCode {
	case http.StatusOK:
		var g grantWire
		if err := json.NewDecoder(resp.Body).Decode(&g); err != nil {
			return netip.AddrPort{}, errors.Wrap(err, "answer to a heartbeat")
		}
		if !l.waitThaw() {
			return netip.AddrPort{}, l.ctx.Err()
		}
		return netip.AddrPort{}, l.accept(asked, announcement.State, g)
	case http.StatusMisdirectedRequest:
		var redirect redirectWire
		if err := json.NewDecoder(resp.Body).Decode(&redirect); err != nil {
			return netip.AddrPort{}, errors.Wrap(err, "answer to a heartbeat")
		}
		addr, err := netip.ParseAddrPort(redirect.Address)
		return addr, errors.Wrap(err, "address of the dispatching host")
	}
	return netip.AddrPort{}, errors.Errorf("heartbeat answered with status %d", resp.StatusCode)
}

// announcement makes the next heartbeat. Slots that it states as released are no longer held from here on.
func (l *incarnation) announcement() heartbeatWire {
	e := l.e
	connections := l.ln.count()
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	for slot := range l.releasing {
		if l.busy[slot] == 0 && !l.released[slot] {
			l.released[slot] = true
			l.endHolding(slot, now)
		}
	}
	hb := heartbeatWire{
		Name:        e.opts.Name,
		Service:     e.opts.Service,
		DataCentre:  e.opts.DataCentre,
		Incarnation: l.incarnation,
		Address:     e.addr.String(),
		State:       stateWarm,
		Slots:       e.opts.Slots,
		Connections: connections,
		InFlight:    l.inFlight,
		AckVersion:  l.ackVersion,
		Released:    []keyer.Slot{},
		ChecksEpoch: !e.opts.IgnoresEpoch,
		WaitMs:      e.opts.Heartbeat.Milliseconds(),
	}
	if e.opts.Advertise.IsValid() {
		hb.Address = e.opts.Advertise.String()
	}
	for slot := range l.released {
		hb.Released = append(hb.Released, slot)
	}
	slices.Sort(hb.Released)
	if l.coldLimit(now); l.cold {
		hb.State = stateCold
	}
	if !e.draining.IsZero() {
		hb.State = stateDraining
	}
	hb.Load, hb.LoadAgeMs = l.load(now)
	return hb
}

// load returns the newest load that is at least LoadAge old, and its stated age. The caller holds e.mu.
func (l *incarnation) load(now time.Time) (float64, int64) {
	o := l.e.opts
	l.loads = append(l.loads, loadSample{
		at:   now,
		load: float64(l.inFlight) / float64(o.Slots),
	})
	for len(l.loads) > 1 && now.Sub(l.loads[1].at) >= o.LoadAge {
		l.loads = l.loads[1:]
	}
	s := l.loads[0]
	if o.LoadMisleads {
		return s.load, 0
	}
	return s.load, now.Sub(s.at).Milliseconds()
}

// accept takes over a host's answer to the heartbeat sent at asked.
func (l *incarnation) accept(asked time.Time, state string, g grantWire) error {
	e := l.e
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.current != l {
		return errors.New("the incarnation has ended")
	}
	if err := l.fence.Accept(fencer.Epoch(g.Fence)); err != nil {
		return errors.Wrap(err, "fence of a grant")
	}
	now := time.Now()
	lapsed := !l.lease.Valid(now)
	l.lease.Renewed(asked, time.Duration(g.LeaseMs)*time.Millisecond)
	l.ackVersion = g.Version
	if state != stateWarm {
		l.coldAnswers++
	}
	releasing := make(map[keyer.Slot]bool, len(g.Releasing))
	for _, slot := range g.Releasing {
		releasing[slot] = true
	}
	owned := make(map[keyer.Slot]fencer.Epoch)
	for _, o := range g.Owned {
		if o.To < o.From || o.To-o.From >= maxRange {
			return errors.Errorf("range of slots from %d to %d", o.From, o.To)
		}
		for slot := o.From; slot <= o.To; slot++ {
			owned[slot] = o.Epoch
		}
	}
	for slot, h := range l.owned {
		if epoch, ok := owned[slot]; !ok || epoch != h.Epoch || lapsed {
			l.endHolding(slot, now)
		}
	}
	for slot := range l.released {
		if !releasing[slot] {
			delete(l.released, slot)
		}
	}
	l.releasing = releasing
	if !l.lease.Valid(now) {
		return nil
	}
	for slot, epoch := range owned {
		if l.released[slot] {
			continue
		}
		h, ok := l.owned[slot]
		if !ok {
			h = &Holding{
				Target:      e.opts.Name,
				DataCentre:  e.opts.DataCentre,
				Service:     e.opts.Service,
				Incarnation: l.incarnation,
				Slot:        slot,
				Epoch:       epoch,
				From:        now,
			}
			l.owned[slot] = h
		}
		h.Until = l.lease.Until()
	}
	return nil
}
