package operator

import (
	"slices"
	"strings"

	"bramleyline.example/bramleyline/applier"
	"bramleyline.example/bramleyline/checker"
)

// shortenedSettings returns the settings that the new configuration shortens, of those that bound how long a data
// centre keeps serving without the control leader.
func (o *Operator) shortenedSettings(st *applier.State, report *checker.Report) []string {
	old, next := o.configInForce(st), report.FirstConfig()
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

// outdatedHosts returns the hosts that may still use an older version than the one in force: those that do not answer
// and those that report an older version.
func outdatedHosts(st *applier.State, facts *Facts) []string {
	var names []string
	for _, h := range hostRows(st, facts) {
		if !h.Reachable || h.Version < st.Config.Version {
			names = append(names, h.Name)
		}
	}
	slices.Sort(names)
	return names
}

// refuseShorterHold reports whether shorter settings must be refused, and why: while a host may be cut off, they are
// refused even with force. Such a host keeps granting for the longer time of its own version, so the control leader
// must not give its slots to others after the new, shorter time.
func refuseShorterHold(settings, hosts []string) (string, bool) {
	if len(settings) == 0 || len(hosts) == 0 {
		return "", false
	}
	return strings.Join(settings, ", ") + " cannot be shortened while hosts may go on by the longer time: " +
		strings.Join(hosts, ", "), true
}
