package emulator

import (
	"context"
	"encoding/json"
	"net/http"
	"net/netip"
	"time"

	"github.com/pkg/errors"

	"bramleyline.example/bramleyline/fencer"
	"bramleyline.example/bramleyline/keyer"
)

// Times in the wire types are Unix times in nanoseconds, zero for none: the wall clock is the only common clock of the
// processes on one machine that Go reads portably.
type runWire struct {
	Target        string       `json:"target"`
	DataCentre    string       `json:"dataCentre"`
	Service       string       `json:"service"`
	Incarnation   uint64       `json:"incarnation"`
	Request       string       `json:"request"`
	Identity      string       `json:"identity"`
	Attempt       int          `json:"attempt"`
	Method        string       `json:"method"`
	Key           string       `json:"key"`
	Keyed         bool         `json:"keyed"`
	Slot          keyer.Slot   `json:"slot"`
	Epoch         fencer.Epoch `json:"epoch"`
	Started       int64        `json:"started"`
	Ended         int64        `json:"ended"`
	Result        Result       `json:"result"`
	Reason        string       `json:"reason"`
	LeaseUntil    int64        `json:"leaseUntil"`
	InFlight      int          `json:"inFlight"`
	ColdLimit     int          `json:"coldLimit"`
	DrainingSince int64        `json:"drainingSince"`
}

type holdingWire struct {
	Target      string       `json:"target"`
	DataCentre  string       `json:"dataCentre"`
	Service     string       `json:"service"`
	Incarnation uint64       `json:"incarnation"`
	Slot        keyer.Slot   `json:"slot"`
	Epoch       fencer.Epoch `json:"epoch"`
	From        int64        `json:"from"`
	Until       int64        `json:"until"`
}

func toRunWires(runs []Run) []runWire {
	wires := make([]runWire, len(runs))
	for i, r := range runs {
		wires[i] = runWire{
			Target:        r.Target,
			DataCentre:    r.DataCentre,
			Service:       r.Service,
			Incarnation:   r.Incarnation,
			Request:       r.Request,
			Identity:      r.Identity,
			Attempt:       r.Attempt,
			Method:        r.Method,
			Key:           r.Key,
			Keyed:         r.Keyed,
			Slot:          r.Slot,
			Epoch:         r.Epoch,
			Started:       toNano(r.Started),
			Ended:         toNano(r.Ended),
			Result:        r.Result,
			Reason:        r.Reason,
			LeaseUntil:    toNano(r.LeaseUntil),
			InFlight:      r.InFlight,
			ColdLimit:     r.ColdLimit,
			DrainingSince: toNano(r.DrainingSince),
		}
	}
	return wires
}

func toHoldingWires(holdings []Holding) []holdingWire {
	wires := make([]holdingWire, len(holdings))
	for i, h := range holdings {
		wires[i] = holdingWire{
			Target:      h.Target,
			DataCentre:  h.DataCentre,
			Service:     h.Service,
			Incarnation: h.Incarnation,
			Slot:        h.Slot,
			Epoch:       h.Epoch,
			From:        toNano(h.From),
			Until:       toNano(h.Until),
		}
	}
	return wires
}

// FetchRuns fetches the runs of the target whose control API is at addr.
func FetchRuns(ctx context.Context, addr netip.AddrPort) ([]Run, error) {
	var wires []runWire
	if err := fetch(ctx, addr, "/v1/runs", &wires); err != nil {
		return nil, err
	}
	runs := make([]Run, len(wires))
	for i, w := range wires {
		runs[i] = Run{
			Target:        w.Target,
			DataCentre:    w.DataCentre,
			Service:       w.Service,
			Incarnation:   w.Incarnation,
			Request:       w.Request,
			Identity:      w.Identity,
			Attempt:       w.Attempt,
			Method:        w.Method,
			Key:           w.Key,
			Keyed:         w.Keyed,
			Slot:          w.Slot,
			Epoch:         w.Epoch,
			Started:       fromNano(w.Started),
			Ended:         fromNano(w.Ended),
			Result:        w.Result,
			Reason:        w.Reason,
			LeaseUntil:    fromNano(w.LeaseUntil),
			InFlight:      w.InFlight,
			ColdLimit:     w.ColdLimit,
			DrainingSince: fromNano(w.DrainingSince),
		}
	}
	return runs, nil
}

// FetchHoldings fetches the holdings of the target whose control API is at addr.
func FetchHoldings(ctx context.Context, addr netip.AddrPort) ([]Holding, error) {
	var wires []holdingWire
	if err := fetch(ctx, addr, "/v1/holdings", &wires); err != nil {
		return nil, err
	}
	holdings := make([]Holding, len(wires))
	for i, w := range wires {
		holdings[i] = Holding{
			Target:      w.Target,
			DataCentre:  w.DataCentre,
			Service:     w.Service,
			Incarnation: w.Incarnation,
			Slot:        w.Slot,
			Epoch:       w.Epoch,
			From:        fromNano(w.From),
			Until:       fromNano(w.Until),
		}
	}
	return holdings, nil
}

func fetch(ctx context.Context, addr netip.AddrPort, path string, v any) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr.String()+path, nil)
	if err != nil {
		return errors.Wrap(err, "call the control API")
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return errors.Wrap(err, "call the control API")
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return errors.Errorf("control API answered with status %d", resp.StatusCode)
	}
	return errors.Wrap(json.NewDecoder(resp.Body).Decode(v), "decode the answer of the control API")
}

func toNano(t time.Time) int64 {
	if t.IsZero() {
		return 0
	}
	return t.UnixNano()
}

func fromNano(n int64) time.Time {
	if n == 0 {
		return time.Time{}
	}
	return time.Unix(0, n)
}
