package operator

import (
	"context"
	"fmt"
	"slices"

	"bramleyline.example/bramleyline/applier"
	"bramleyline.example/bramleyline/checker"
)

// lost is the state of a target whose lease lapsed.
const lost = "lost"

// losses says which services a new configuration leaves without data centres or targets.
func (o *Operator) losses(st *applier.State, facts *Facts, report *checker.Report) []string {
	names := report.DataCentres()
	cfg := report.Configs[names[0]]
	old := o.configOf(st)
	var losses []string
	if old != nil {
		for _, s := range old.Services {
			if _, ok := cfg.Service(s.Name); !ok {
				losses = append(losses, fmt.Sprintf("service %s is removed: it has %d targets", s.Name,
					countTargets(st, facts, s.Name, old.DataCentres)))
			}
		}
	}
	if !slices.ContainsFunc(names, func(dc string) bool { return !st.DataCentres[dc].Out }) {
		losses = append(losses, "no data centre of the configuration is in service")
	}
	for _, s := range cfg.Services {
		if old == nil {
			continue
		}
		before := countTargets(st, facts, s.Name, old.DataCentres)
		if after := countTargets(st, facts, s.Name, names); before > 0 && after == 0 {
			losses = append(losses, fmt.Sprintf("service %s is left without targets: its %d targets are in data centres "+
				"that are removed", s.Name, before))
		}
	}
	return losses
}

// takeoutLosses says what a takeout leaves without data centres or targets.
func (o *Operator) takeoutLosses(ctx context.Context, st *applier.State, dataCentre, target string) []string {
	cfg := o.configOf(st)
	if cfg == nil {
		return nil
	}
	rest := slices.DeleteFunc(slices.Clone(cfg.DataCentres), func(dc string) bool {
		return dc == dataCentre || st.DataCentres[dc].Out
	})
	if dataCentre != "" && len(rest) == 0 {
		return []string{"data centre " + dataCentre + " is the last one in service"}
	}
	facts := o.facts(ctx)
	remaining := facts
	remaining.Targets = slices.DeleteFunc(slices.Clone(facts.Targets), func(t TargetFacts) bool { return t.Name == target })
	var losses []string
	for _, s := range cfg.Services {
		before := countTargets(st, &facts, s.Name, cfg.DataCentres)
		if after := countTargets(st, &remaining, s.Name, rest); before > 0 && after == 0 {
			losses = append(losses, "service "+s.Name+" is left without targets")
		}
	}
	return losses
}

// countTargets counts the targets of a service that get work in some data centres.
func countTargets(st *applier.State, facts *Facts, service string, dataCentres []string) int {
	n := 0
	for _, t := range facts.Targets {
		_, out := st.TargetsOut[t.Name]
		if t.Service == service && t.State != lost && !out && !st.DataCentres[t.DataCentre].Out &&
			slices.Contains(dataCentres, t.DataCentre) {
			n++
		}
	}
	return n
}
