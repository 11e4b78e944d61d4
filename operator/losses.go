package operator

import (
	"context"
	"fmt"
	"slices"

	"bramleyline.example/bramleyline/applier"
	"bramleyline.example/bramleyline/checker"
)

// stateLost is the state of a target whose lease has expired.
const stateLost = "lost"

// configLosses returns what a new configuration takes away: services that it removes, the last data centre in service,
// and the last targets of a service.
func (o *Operator) configLosses(st *applier.State, facts *Facts, report *checker.Report) []string {
	names := report.DataCentres()
	cfg := report.Configs[names[0]]
	old := o.configInForce(st)
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

// takeoutLosses returns what the takeout of a data centre or target takes away: the last data centre in service, or the
// last targets of a service.
func (o *Operator) takeoutLosses(ctx context.Context, st *applier.State, dataCentre, target string) []string {
	cfg := o.configInForce(st)
	if cfg == nil {
		return nil
	}
	inService := slices.DeleteFunc(slices.Clone(cfg.DataCentres), func(dc string) bool {
		return dc == dataCentre || st.DataCentres[dc].Out
	})
	if dataCentre != "" && len(inService) == 0 {
		return []string{"data centre " + dataCentre + " is the last one in service"}
	}
	facts := o.facts(ctx)
	remaining := facts
	remaining.Targets = slices.DeleteFunc(slices.Clone(facts.Targets), func(t TargetFacts) bool { return t.Name == target })
	var losses []string
	for _, s := range cfg.Services {
		before := countTargets(st, &facts, s.Name, cfg.DataCentres)
		if after := countTargets(st, &remaining, s.Name, inService); before > 0 && after == 0 {
			losses = append(losses, "service "+s.Name+" is left without targets")
		}
	}
	return losses
}

// countTargets counts the targets of a service in the given data centres that may get requests: those that are neither
// lost nor out of service.
func countTargets(st *applier.State, facts *Facts, service string, dataCentres []string) int {
	n := 0
	for _, t := range facts.Targets {
		_, out := st.TargetsOut[t.Name]
		if t.Service == service && t.State != stateLost && !out && !st.DataCentres[t.DataCentre].Out &&
			slices.Contains(dataCentres, t.DataCentre) {
			n++
		}
	}
	return n
}
