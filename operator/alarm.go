package operator

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"bramleyline.example/bramleyline/presenter"
)

// inForceBound is the time within which a new version must be in force on every reachable host, from docs/design.md.
const inForceBound = 3 * time.Second

// inSyncHosts is the size of an in-sync set that tolerates the loss of one host.
const inSyncHosts = 2

// Names of the alarms. docs/OPERATING.md says what to do about each.
const (
	alarmNoConfiguration = "noConfiguration"
	alarmUnreadable      = "configurationUnreadable"
	alarmNoLeader        = "noLeader"
	alarmHostUnreachable = "hostUnreachable"
	alarmHostBehind      = "hostBehind"
	alarmNoAuthority     = "noAuthority"
	alarmFewInSync       = "fewInSync"
	alarmDataCentreOut   = "dataCentreOut"
	alarmSlotsHeld       = "slotsHeld"
	alarmSlotsUnowned    = "slotsUnowned"
	alarmNoTargets       = "noTargets"
	alarmTargetLost      = "targetLost"
	alarmViolation       = "invariantViolated"
)

// alarms returns the conditions that need an operator's attention, sorted by name and message.
func alarms(s *presenter.Status) []presenter.Alarm {
	a := alarmList{}
	if s.Violations > 0 {
		a.add(alarmViolation, "%d violations of invariants since the hosts started", s.Violations)
	}
	if s.Leader == "" {
		a.add(alarmNoLeader, "host %s knows no control leader", s.AnsweredBy)
	}
	if s.Config.Version == 0 {
		a.add(alarmNoConfiguration, "no configuration was accepted yet")
	} else if s.Deployment == "" {
		a.add(alarmUnreadable, "host %s cannot read version %d; its program may be older than the one that accepted it",
			s.AnsweredBy, s.Config.Version)
	}
	a.addHostAlarms(s)
	a.addDataCentreAlarms(s)
	a.addServiceAlarms(s)
	for _, l := range s.Leases {
		if l.Kind == "hold" {
			a.add(alarmSlotsHeld, "slots of service %s are held for data centre %s for another %s", l.Service, l.DataCentre,
				time.Duration(l.RemainingMs)*time.Millisecond)
		}
	}
	for _, t := range s.Targets {
		if t.State == stateLost {
			a.add(alarmTargetLost, "target %s of service %s in %s: %s", t.Name, t.Service, t.DataCentre,
				cmp.Or(t.Reason, "its lease lapsed"))
		}
	}
	slices.SortFunc(a.list, func(x, y presenter.Alarm) int {
		return cmp.Or(strings.Compare(x.Name, y.Name), strings.Compare(x.Message, y.Message))
	})
	return a.list
}

type alarmList struct {
	list []presenter.Alarm
}

func (a *alarmList) add(name, format string, args ...any) {
	a.list = append(a.list, presenter.Alarm{
		Name:    name,
		Message: fmt.Sprintf(format, args...),
	})
}

func (a *alarmList) addHostAlarms(s *presenter.Status) {
	// Hosts may still be fetching a version that was accepted a moment ago. It is overdue on a host once it has been in
	// force for longer than inForceBound on another one.
	var newestAgeMs int64
	for _, h := range s.Hosts {
		if h.Reachable && h.Version == s.Config.Version {
			newestAgeMs = max(newestAgeMs, h.VersionAgeMs)
		}
	}
	for _, h := range s.Hosts {
		switch {
		case !h.Reachable:
			a.add(alarmHostUnreachable, "host %s in %s does not answer", h.Name, h.DataCentre)
		case h.Version < s.Config.Version && newestAgeMs > inForceBound.Milliseconds():
			a.add(alarmHostBehind, "host %s has version %d in force, not %d", h.Name, h.Version, s.Config.Version)
		}
	}
}

func (a *alarmList) addDataCentreAlarms(s *presenter.Status) {
	for _, dc := range s.DataCentres {
		hosts := 0
		for _, h := range s.Hosts {
			if h.DataCentre == dc.Name {
				hosts++
			}
		}
		if dc.Out {
			a.add(alarmDataCentreOut, "data centre %s is taken out by %s since %s", dc.Name, dc.ChangedBy,
				formatTime(dc.ChangedAt))
		}
		switch {
		case dc.Authority == "":
			a.add(alarmNoAuthority, "data centre %s has no authority", dc.Name)
		case len(dc.InSync) < min(inSyncHosts, hosts):
			a.add(alarmFewInSync, "data centre %s has %d of %d hosts in its in-sync set", dc.Name, len(dc.InSync), hosts)
		}
	}
}

func (a *alarmList) addServiceAlarms(s *presenter.Status) {
	for _, service := range s.Services {
		if service.Targets == 0 {
			a.add(alarmNoTargets, "service %s has no target that gets work", service.Name)
		}
		if service.Unowned > 0 && service.Targets > 0 {
			a.add(alarmSlotsUnowned, "%d of %d slots of service %s have no owner", service.Unowned, service.Slots,
				service.Name)
		}
	}
}
