package injector

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/go-chi/chi/v5"
)

type ruleWire struct {
	From           string  `json:"from"`
	To             string  `json:"to"`
	Isolate        string  `json:"isolate"`
	DelayMs        float64 `json:"delayMs"`
	Cut            bool    `json:"cut"`
	Hold           bool    `json:"hold"`
	Refuse         bool    `json:"refuse"`
	BytesPerSecond int     `json:"bytesPerSecond"`
	TruncateAfter  int64   `json:"truncateAfter"`
}

type linkWire struct {
	From     string `json:"from"`
	To       string `json:"to"`
	Address  string `json:"address"`
	Upstream string `json:"upstream"`
}

// Handler returns the handler of the control API: POST /v1/rules with a rule as a JSON object (from and to, or isolate,
// and the fault), POST /v1/heal, POST /v1/reset?from=&to= and GET /v1/links.
func (i *Injector) Handler() http.Handler {
	r := chi.NewRouter()
	r.Post("/v1/rules", i.postRule)
	r.Post("/v1/heal", func(http.ResponseWriter, *http.Request) {
		i.Heal()
	})
	r.Post("/v1/reset", func(w http.ResponseWriter, r *http.Request) {
		n, err := i.Reset(r.URL.Query().Get("from"), r.URL.Query().Get("to"))
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		_, _ = w.Write([]byte(strconv.Itoa(n)))
	})
	r.Get("/v1/links", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(i.linkWires())
	})
	return r
}

func (i *Injector) postRule(w http.ResponseWriter, r *http.Request) {
	var rule ruleWire
	dec := json.NewDecoder(r.Body)
	// Without an error for a misspelt member, the sender would take its fault to be in force.
	dec.DisallowUnknownFields()
	if err := dec.Decode(&rule); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	f := Fault{
		Delay:          time.Duration(rule.DelayMs * float64(time.Millisecond)),
		Cut:            rule.Cut,
		Hold:           rule.Hold,
		Refuse:         rule.Refuse,
		BytesPerSecond: rule.BytesPerSecond,
		TruncateAfter:  rule.TruncateAfter,
	}
	var err error
	if rule.Isolate != "" {
		err = i.Isolate(rule.Isolate, f)
	} else {
		err = i.Set(rule.From, rule.To, f)
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
	}
}

func (i *Injector) linkWires() []linkWire {
	i.mu.Lock()
	defer i.mu.Unlock()
	wires := []linkWire{}
	for _, l := range i.links {
		wires = append(wires, linkWire{
			From:     l.from,
			To:       l.to,
			Address:  l.addr.String(),
			Upstream: l.upstream.String(),
		})
	}
	return wires
}
