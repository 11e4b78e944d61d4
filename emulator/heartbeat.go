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

// heartbeatTimeout is the timeout of one heartbeat, on top of the time for which the host may hold back its answer. It
// is below the default dispatch lease, so that an unresponsive host leaves time to ask another one.
const heartbeatTimeout = 200 * time.Millisecond

// States of a target that a heartbeat reports.
const (
	stateCold     = "cold"
	stateWarm     = "warm"
	stateDraining = "draining"
)

// maxRangeSlots bounds a range of slots in a grant, so that a malformed grant cannot occupy the target for long.
const maxRangeSlots = 1 << 20

// errSuperseded reports a heartbeat that was cancelled because newer state has to be reported at once.
var errSuperseded = errors.New("superseded by an urgent heartbeat")

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
	// WaitMs is the time for which the host may hold back its answer while the grant does not change.
	WaitMs int64 `json:"waitMs"`
}

// grantWire is the answer of the dispatching host to a heartbeat.
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

// redirectWire is the answer of another host to a heartbeat: the dispatching host of the target.
type redirectWire struct {
	Host    string `json:"host"`
	Address string `json:"address"`
}

type loadSample struct {
	sampledAt time.Time
	load      float64
}

// sendHeartbeats announces the target to the hosts until the incarnation ends.
func (inc *incarnation) sendHeartbeats() {
	if len(inc.emulator.opts.Announce) == 0 {
		<-inc.ctx.Done()
		return
	}
	transport := &http.Transport{
		DialContext:         inc.emulator.opts.Dial,
		MaxIdleConnsPerHost: 2,
		TLSClientConfig:     inc.emulator.opts.TLS,
	}
	defer transport.CloseIdleConnections()
	client := &http.Client{
		Transport: transport,
	}
	announceIndex := 0
	host := inc.emulator.opts.Announce[0]
	tick := time.NewTicker(inc.emulator.opts.Heartbeat)
	defer tick.Stop()
	for {
		started := time.Now()
		ackedBefore := inc.ackedVersion()
		for range len(inc.emulator.opts.Announce) + 1 {
			if !inc.waitUntilThawed() {
				return
			}
			redirect, err := inc.sendHeartbeat(client, host)
			if err == nil && !redirect.IsValid() {
				break
			}
			if errors.Is(err, errSuperseded) {
				continue
			}
			if redirect.IsValid() && redirect != host {
				host = redirect
				continue
			}
			announceIndex = (announceIndex + 1) % len(inc.emulator.opts.Announce)
			host = inc.emulator.opts.Announce[announceIndex]
		}
		// A new version is acknowledged at once. After an answer that was held back for the whole interval, the next
		// heartbeat is already due.
		if inc.ackedVersion() != ackedBefore || time.Since(started) >= inc.emulator.opts.Heartbeat {
			continue
		}
		select {
		case <-tick.C:
		case <-inc.urgent:
		case <-inc.ctx.Done():
			return
		}
	}
}

// ackedVersion returns the table version of the last grant, which the next heartbeat acknowledges.
func (inc *incarnation) ackedVersion() uint64 {
	inc.emulator.mu.Lock()
	defer inc.emulator.mu.Unlock()
	return inc.ackVersion
}

// triggerHeartbeat cancels a heartbeat whose answer is held back and has the next one sent at once.
func (inc *incarnation) triggerHeartbeat() {
	select {
	case inc.urgent <- struct{}{}:
	default:
	}
}

// withUrgentCancel returns a copy of ctx that triggerHeartbeat cancels, too, and a function that releases it.
func (inc *incarnation) withUrgentCancel(ctx context.Context) (context.Context, func()) {
	ctx, cancel := context.WithCancel(ctx)
	stop := make(chan struct{})
	go func() {
		select {
		case <-inc.urgent:
			cancel()
		case <-stop:
		}
	}()
	return ctx, func() {
		close(stop)
		cancel()
	}
}

// sendHeartbeat sends a heartbeat to one host and applies the grant that it answers with. It returns the address of the
// dispatching host if the host redirects the target there.
func (inc *incarnation) sendHeartbeat(client *http.Client, host netip.AddrPort) (netip.AddrPort, error) {
	hb := inc.nextHeartbeat()
	body, err := json.Marshal(hb)
	if err != nil {
		return netip.AddrPort{}, errors.Wrap(err, "heartbeat")
	}
	ctx, cancel := context.WithTimeout(inc.ctx, heartbeatTimeout+inc.emulator.opts.Heartbeat)
	defer cancel()
	requestCtx, stop := inc.withUrgentCancel(ctx)
	defer stop()
	sentAt := time.Now()
	scheme := "http"
	if inc.emulator.opts.TLS != nil {
		scheme = "https"
	}
	url := scheme + "://" + host.String() + "/v1/heartbeat"
	req, err := http.NewRequestWithContext(requestCtx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return netip.AddrPort{}, errors.Wrap(err, "heartbeat")
	}
	req.Header.Set("Authorization", "Bearer "+inc.emulator.opts.Token)
	req.Header.Set("Content-Type", "application/json")
	resp, err := client.Do(req)
	if err != nil && requestCtx.Err() != nil && ctx.Err() == nil {
		return netip.AddrPort{}, errSuperseded
	}
	if err != nil {
		return netip.AddrPort{}, errors.Wrap(err, "heartbeat")
	}
	defer resp.Body.Close()
	switch resp.StatusCode {
	case http.StatusOK:
		var g grantWire
		if err := json.NewDecoder(resp.Body).Decode(&g); err != nil {
			return netip.AddrPort{}, errors.Wrap(err, "decode the answer to a heartbeat")
		}
		if !inc.waitUntilThawed() {
			return netip.AddrPort{}, inc.ctx.Err()
		}
		return netip.AddrPort{}, inc.applyGrant(sentAt, hb.State, g)
	case http.StatusMisdirectedRequest:
		var redirect redirectWire
		if err := json.NewDecoder(resp.Body).Decode(&redirect); err != nil {
			return netip.AddrPort{}, errors.Wrap(err, "decode the answer to a heartbeat")
		}
		addr, err := netip.ParseAddrPort(redirect.Address)
		return addr, errors.Wrap(err, "parse the address of the dispatching host")
	}
	return netip.AddrPort{}, errors.Errorf("heartbeat answered with status %d", resp.StatusCode)
}

// nextHeartbeat returns the next heartbeat. From then on, the target no longer holds the slots that it states as
// released.
func (inc *incarnation) nextHeartbeat() heartbeatWire {
	e := inc.emulator
	connections := inc.ln.count()
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	for slot := range inc.releasing {
		if inc.inFlightBySlot[slot] == 0 && !inc.released[slot] {
			inc.released[slot] = true
			inc.endHolding(slot, now)
		}
	}
	hb := heartbeatWire{
		Name:        e.opts.Name,
		Service:     e.opts.Service,
		DataCentre:  e.opts.DataCentre,
		Incarnation: inc.id,
		Address:     e.addr.String(),
		State:       stateWarm,
		Slots:       e.opts.Slots,
		Connections: connections,
		InFlight:    inc.inFlight,
		AckVersion:  inc.ackVersion,
		Released:    []keyer.Slot{},
		ChecksEpoch: !e.opts.IgnoresEpoch,
		WaitMs:      e.opts.Heartbeat.Milliseconds(),
	}
	if e.opts.Advertise.IsValid() {
		hb.Address = e.opts.Advertise.String()
	}
	for slot := range inc.released {
		hb.Released = append(hb.Released, slot)
	}
	slices.Sort(hb.Released)
	if inc.coldLimit(now); inc.cold {
		hb.State = stateCold
	}
	if !e.drainingSince.IsZero() {
		hb.State = stateDraining
	}
	hb.Load, hb.LoadAgeMs = inc.reportedLoad(now)
	return hb
}

// reportedLoad samples the load, and returns the newest sample that is at least LoadAge old, the oldest one if none is,
// and the age in milliseconds that the heartbeat states for it. The caller holds emulator.mu.
func (inc *incarnation) reportedLoad(now time.Time) (float64, int64) {
	o := inc.emulator.opts
	inc.loadSamples = append(inc.loadSamples, loadSample{
		sampledAt: now,
		load:      float64(inc.inFlight) / float64(o.Slots),
	})
	for len(inc.loadSamples) > 1 && now.Sub(inc.loadSamples[1].sampledAt) >= o.LoadAge {
		inc.loadSamples = inc.loadSamples[1:]
	}
	s := inc.loadSamples[0]
	if o.HideLoadAge {
		return s.load, 0
	}
	return s.load, now.Sub(s.sampledAt).Milliseconds()
}

// applyGrant applies the grant that answers the heartbeat of the given state sent at sentAt.
func (inc *incarnation) applyGrant(sentAt time.Time, state string, g grantWire) error {
	e := inc.emulator
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.current != inc {
		return errors.New("the incarnation has ended")
	}
	if err := inc.fence.Accept(fencer.Epoch(g.Fence)); err != nil {
		return errors.Wrap(err, "check the fence of a grant")
	}
	now := time.Now()
	expired := !inc.lease.Valid(now)
	inc.lease.Renewed(sentAt, time.Duration(g.LeaseMs)*time.Millisecond)
	inc.ackVersion = g.Version
	if state != stateWarm {
		inc.coldReports++
	}
	releasing := make(map[keyer.Slot]bool, len(g.Releasing))
	for _, slot := range g.Releasing {
		releasing[slot] = true
	}
	owned := make(map[keyer.Slot]fencer.Epoch)
	for _, o := range g.Owned {
		if o.To < o.From || o.To-o.From >= maxRangeSlots {
			return errors.Errorf("grant has an invalid range of slots from %d to %d", o.From, o.To)
		}
		for slot := o.From; slot <= o.To; slot++ {
			owned[slot] = o.Epoch
		}
	}
	for slot, h := range inc.owned {
		if epoch, ok := owned[slot]; !ok || epoch != h.Epoch || expired {
			inc.endHolding(slot, now)
		}
	}
	for slot := range inc.released {
		if !releasing[slot] {
			delete(inc.released, slot)
		}
	}
	inc.releasing = releasing
	if !inc.lease.Valid(now) {
		return nil
	}
	for slot, epoch := range owned {
		if inc.released[slot] {
			continue
		}
		h, ok := inc.owned[slot]
		if !ok {
			h = &Holding{
				Target:      e.opts.Name,
				DataCentre:  e.opts.DataCentre,
				Service:     e.opts.Service,
				Incarnation: inc.id,
				Slot:        slot,
				Epoch:       epoch,
				From:        now,
			}
			inc.owned[slot] = h
		}
		h.Until = inc.lease.Until()
	}
	return nil
}
