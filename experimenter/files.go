package experimenter

import (
	"encoding/json"
	"os"
	"path/filepath"

	"github.com/pkg/errors"

	"bramleyline.example/bramleyline/auditor"
	"bramleyline.example/bramleyline/loadgenerator"
)

type resultWire struct {
	Policy        string                 `json:"policy"`
	Deployment    string                 `json:"deployment"`
	Scenario      string                 `json:"scenario"`
	Seed          uint64                 `json:"seed"`
	ForMs         int64                  `json:"forMs"`
	Steps         []string               `json:"steps"`
	Imbalance     map[string]float64     `json:"imbalance"`
	KeyMoves      int                    `json:"keyMoves"`
	SlotMoves     int                    `json:"slotMoves"`
	SlotsHeld     int                    `json:"slotsHeld"`
	Unavailable   unavailableWire        `json:"unavailable"`
	Outcomes      map[string]outcomeWire `json:"outcomes"`
	Refused       map[string]int         `json:"refused"`
	Crashes       int                    `json:"crashes"`
	CallerRetries int                    `json:"callerRepeats"`
	Asserted      int64                  `json:"asserted"`
	Findings      []findingWire          `json:"findings"`
}

type unavailableWire struct {
	TotalMs float64 `json:"totalMs"`
	WorstMs float64 `json:"worstMs"`
	Keys    int     `json:"keys"`
	// Late counts keys without service for more than 2 s.
	Late int `json:"late"`
}

type outcomeWire struct {
	Requests int            `json:"requests"`
	Served   int            `json:"served"`
	Attempts int            `json:"attempts"`
	NotSent  int            `json:"notSent"`
	Told     map[string]int `json:"told"`
	P50Ms    float64        `json:"p50Ms"`
	P99Ms    float64        `json:"p99Ms"`
	P999Ms   float64        `json:"p999Ms"`
	MaxMs    float64        `json:"maxMs"`
}

type findingWire struct {
	Invariant string   `json:"invariant"`
	Message   string   `json:"message"`
	Evidence  []string `json:"evidence"`
}

// writeFiles writes results.json and the plots to folder.
func writeFiles(folder string, results []Result) error {
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return errors.Wrap(err, "create the folder of the results")
	}
	wires := []resultWire{}
	for _, r := range results {
		wires = append(wires, toResultWire(r))
	}
	b, err := json.MarshalIndent(wires, "", "  ")
	if err != nil {
		return errors.Wrap(err, "encode the results")
	}
	if err := os.WriteFile(filepath.Join(folder, "results.json"), append(b, '\n'), 0o644); err != nil {
		return errors.Wrap(err, "write the results")
	}
	return plotAll(folder, results)
}

func toResultWire(r Result) resultWire {
	n := r.Report.Numbers
	w := resultWire{
		Policy:     r.Policy,
		Deployment: r.Options.Deployment,
		Scenario:   r.Options.Scenario,
		Seed:       r.Options.Seed,
		ForMs:      r.Options.For.Milliseconds(),
		Steps:      r.Steps,
		Imbalance:  n.Imbalance,
		KeyMoves:   n.KeyMoves,
		SlotMoves:  n.SlotMoves,
		SlotsHeld:  n.SlotsHeld,
		Unavailable: unavailableWire{
			TotalMs: toMillis(n.Unavailable),
			WorstMs: toMillis(n.WorstUnavailable),
			Keys:    n.KeysUnavailable,
			Late:    n.KeysLate,
		},
		Outcomes:      make(map[string]outcomeWire),
		Refused:       n.Rejected,
		Crashes:       n.Crashes,
		CallerRetries: n.CallerRetries,
		Asserted:      r.Asserted,
		Findings:      toFindingWires(r.Report.Findings),
	}
	for service, s := range n.Outcomes {
		if service == "" {
			service = "all"
		}
		w.Outcomes[service] = toOutcomeWire(s)
	}
	return w
}

func toOutcomeWire(s loadgenerator.Summary) outcomeWire {
	return outcomeWire{
		Requests: s.Requests,
		Served:   s.Served,
		Attempts: s.Attempts,
		NotSent:  s.NotSent,
		Told:     s.Outcomes,
		P50Ms:    toMillis(s.P50),
		P99Ms:    toMillis(s.P99),
		P999Ms:   toMillis(s.P999),
		MaxMs:    toMillis(s.Max),
	}
}

func toFindingWires(findings []auditor.Finding) []findingWire {
	wires := []findingWire{}
	for _, f := range findings {
		wires = append(wires, findingWire{
			Invariant: f.Invariant,
			Message:   f.Message,
			Evidence:  f.Evidence,
		})
	}
	return wires
}
