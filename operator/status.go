package operator

import (
	"cmp"
	"context"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"

	"github.com/go-chi/chi/v5"

	"bramleyline.example/bramleyline/applier"
	"bramleyline.example/bramleyline/configurer"
	"bramleyline.example/bramleyline/presenter"
)

func (o *Operator) status(w http.ResponseWriter, r *http.Request) {
	writeJSON(w, http.StatusOK, o.recentStatus(r.Context()))
}

func (o *Operator) history(w http.ResponseWriter, _ *http.Request) {
	st := o.state()
	versions := make([]presenter.Version, 0, len(st.History))
	for i := range st.History {
		versions = append(versions, *wireVersion(&st.History[i], false))
	}
	if n := len(st.History); st.Config.Version != 0 && (n == 0 || st.History[n-1].Version != st.Config.Version) {
		versions = append(versions, *wireVersion(&st.Config, false))
	}
	writeJSON(w, http.StatusOK, versions)
}

func (o *Operator) showVersion(w http.ResponseWriter, r *http.Request) {
	text := chi.URLParam(r, "version")
	st := o.state()
	n, err := strconv.ParseUint(text, 10, 64)
	if text == "current" {
		n, err = st.Config.Version, nil
	}
	v, ok := findVersion(st, n)
	switch {
	case err != nil:
		writeAnswer(w, http.StatusBadRequest, refused("%q is no version number", text))
	case !ok:
		writeAnswer(w, http.StatusNotFound, refused("there is no version %d; history lists them", n))
	default:
		writeJSON(w, http.StatusOK, wireVersion(&v, true))
	}
}

func wireVersion(v *applier.StoredConfig, withTexts bool) *presenter.Version {
	wire := presenter.Version{
		Version:  v.Version,
		Digest:   v.Digest,
		Operator: v.Operator,
		At:       v.At,
	}
	if withTexts {
		wire.Base = v.Base
		wire.Overlays = v.Overlays
	}
	return &wire
}

// collectStatus combines the replicated state with the reports of all hosts.
func (o *Operator) collectStatus(ctx context.Context) *presenter.Status {
	st := o.state()
	facts := o.facts(ctx)
	cfg := o.configInForce(st)
	s := presenter.Status{
		AnsweredBy: o.Host,
		Config:     *wireVersion(&st.Config, false),
		Index:      st.Index,
		Leader:     facts.Leader,
		Violations: facts.Violations,
		Hosts:      hostRows(st, &facts),
		Targets:    targetRows(st, &facts),
	}
	if cfg != nil {
		s.Deployment = cfg.Deployment
		s.Region = cfg.Region
		s.Services = serviceRows(st, &facts, cfg)
	}
	s.DataCentres = dataCentreRows(st, &facts, cfg)
	for _, l := range facts.Leases {
		s.Leases = append(s.Leases, presenter.Lease{
			Kind:        l.Kind,
			Holder:      l.Holder,
			DataCentre:  l.DataCentre,
			Service:     l.Service,
			RemainingMs: l.Remaining.Milliseconds(),
		})
	}
	slices.SortFunc(s.Leases, func(a, b presenter.Lease) int {
		return cmp.Or(strings.Compare(a.Kind, b.Kind), strings.Compare(a.DataCentre, b.DataCentre),
			strings.Compare(a.Service, b.Service), strings.Compare(a.Holder, b.Holder))
	})
	s.Alarms = alarms(&s)
	return &s
}

func dataCentreRows(st *applier.State, facts *Facts, cfg *configurer.Config) []presenter.DataCentre {
	names := slices.Collect(maps.Keys(st.DataCentres))
	if cfg != nil {
		names = append(names, cfg.DataCentres...)
	}
	slices.Sort(names)
	names = slices.Compact(names)
	rows := make([]presenter.DataCentre, 0, len(names))
	for _, name := range names {
		dc := st.DataCentres[name]
		row := presenter.DataCentre{
			Name:      name,
			Out:       dc.Out,
			ChangedBy: dc.Changed.Operator,
			ChangedAt: dc.Changed.At,
			Authority: dc.Authority,
			InSync:    slices.Sorted(maps.Keys(dc.InSync)),
		}
		for _, t := range facts.Targets {
			if t.DataCentre == name && t.State != stateLost {
				row.Targets++
			}
		}
		rows = append(rows, row)
	}
	return rows
}

func hostRows(st *applier.State, facts *Facts) []presenter.Host {
	rows := make(map[string]presenter.Host, len(st.Hosts))
	for name, h := range st.Hosts {
		rows[name] = presenter.Host{
			Name:       name,
			DataCentre: h.DataCentre,
		}
	}
	for _, h := range facts.Hosts {
		rows[h.Name] = presenter.Host{
			Name:         h.Name,
			DataCentre:   h.DataCentre,
			Reachable:    h.Reachable,
			Version:      h.ConfigVersion,
			VersionAgeMs: h.ConfigAge.Milliseconds(),
			Index:        h.Index,
			HeardAgoMs:   h.HeardAgo.Milliseconds(),
		}
	}
	sorted := make([]presenter.Host, 0, len(rows))
	for _, name := range slices.Sorted(maps.Keys(rows)) {
		row := rows[name]
		switch {
		case slices.Contains(st.Voters, name):
			row.Role = "voter"
		case slices.Contains(st.Learners, name):
			row.Role = "learner"
		default:
			row.Role = "entry"
		}
		sorted = append(sorted, row)
	}
	return sorted
}

func targetRows(st *applier.State, facts *Facts) []presenter.Target {
	slots := make(map[string]int)
	for _, table := range st.Slots {
		for _, entry := range table.All() {
			slots[entry.Target]++
		}
	}
	rows := make([]presenter.Target, 0, len(facts.Targets))
	known := make(map[string]bool, len(facts.Targets))
	for i := range facts.Targets {
		row := targetRow(st, &facts.Targets[i])
		known[row.Name] = true
		row.Slots = slots[row.Name]
		rows = append(rows, row)
	}
	for name := range st.TargetsOut {
		if !known[name] {
			row := presenter.Target{
				Name:  name,
				Slots: slots[name],
			}
			addTakeout(st, &row)
			rows = append(rows, row)
		}
	}
	slices.SortFunc(rows, func(a, b presenter.Target) int {
		return cmp.Or(strings.Compare(a.DataCentre, b.DataCentre), strings.Compare(a.Service, b.Service),
			strings.Compare(a.Name, b.Name))
	})
	return rows
}

// targetRow returns the row of t without its number of slots, which targetRows adds.
func targetRow(st *applier.State, t *TargetFacts) presenter.Target {
	row := presenter.Target{
		Name:       t.Name,
		Service:    t.Service,
		DataCentre: t.DataCentre,
		Host:       t.Host,
		State:      t.State,
		Reason:     t.Reason,
		HeardAgoMs: t.HeardAgo.Milliseconds(),
		InFlight:   t.InFlight,
	}
	addTakeout(st, &row)
	return row
}

// addTakeout replaces the reported state of a target that operators have taken out of service, by itself or with its
// data centre. A target that is lost stays lost if only its data centre is out.
func addTakeout(st *applier.State, row *presenter.Target) {
	if change, out := st.TargetsOut[row.Name]; out {
		row.State = "out"
		row.Reason = "taken out by an operator"
		row.ChangedBy = change.Operator
		row.ChangedAt = change.At
		return
	}
	if dc := st.DataCentres[row.DataCentre]; dc.Out && row.State != stateLost {
		row.State = "out"
		row.Reason = "its data centre is taken out"
	}
}

func serviceRows(st *applier.State, facts *Facts, cfg *configurer.Config) []presenter.Service {
	rows := make([]presenter.Service, 0, len(cfg.Services))
	for i := range cfg.Services {
		s := &cfg.Services[i]
		row := presenter.Service{
			Name:    s.Name,
			Kind:    "shared",
			Targets: countTargets(st, facts, s.Name, cfg.DataCentres),
		}
		if s.Keyed {
			row.Kind = "keyed"
			row.Slots = s.Slots
			row.Unowned = s.Slots
			row.Delegated = make(map[string]int)
		}
		if table := st.Slots[s.Name]; s.Keyed {
			for range table.HotKeys() {
				row.HotKeys++
			}
			for _, entry := range table.All() {
				if entry.Target != "" {
					row.Unowned--
				}
				if entry.DataCentre != "" {
					row.Delegated[entry.DataCentre]++
				}
			}
		}
		rows = append(rows, row)
	}
	return rows
}
