package operator

import (
	"slices"
	"strings"

	"bramleyline.example/bramleyline/applier"
	"bramleyline.example/bramleyline/checker"
)

// shortened returns the settings that bound how long a data centre goes on without the control leader and that the new
// configuration shortens.
func (o *Operator) shortened(st *applier.State, report *checker.Report) []string {
	old, next := o.configOf(st), report.Any()
	if old == nil {
		return nil
	}
	var names []string
	if next.Timing.DispatchLease < old.Timing.DispatchLease {
		names = append(names, "dispatchLease")
	}
	for _, s := range next.Services {
		if before, ok := old.Service(s.Name); ok && s.Keyed && s.Ownership.CutOffHold < before.Ownership.CutOffHold {
			names = append(names, "cutOffHold of "+s.Name)
		}
	}
	return names
}

// unaware returns the hosts that may not have the configuration in force: those that do not answer and those that
// report an older version.
func unaware(st *applier.State, facts *Facts) []string {
	var names []string
	for _, h := range hostRows(st, facts) {
		if !h.Reachable || h.Version < st.Config.Version {
			names = append(names, h.Name)
		}
	}
	slices.Sort(names)
	return names
}

// refuseShorterHold refuses shorter settings while a host may be cut off. Such a host goes on granting for the time that
// it knows, so the control leader must not give its slots to others after the new, shorter one. Force does not change
// that.
func refuseShorterHold(settings, hosts []string) (string, bool) {
	if len(settings) == 0 || len(hosts) == 0 {
		return "", false
	}
	return strings.Join(settings, ", ") + " cannot be shortened while hosts may go on by the longer time: " +
		strings.Join(hosts, ", "), true
}
