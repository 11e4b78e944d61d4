package checker

import (
	"slices"
	"time"

	"bramleyline.example/bramleyline/configurer"
	"bramleyline.example/bramleyline/merger"
	"bramleyline.example/bramleyline/parser"
)

// maxKeyOutage is the longest time for which a key may be without service after the loss of its target, from
// docs/design.md.
const maxKeyOutage = 2 * time.Second

// buildConfig merges the base file with the overlay of one data centre into its configuration, and checks settings
// against each other.
func (p *pass) buildConfig(dc string, overlay *parser.File, digest string) {
	m := merger.Merge(p.base, overlay)
	p.report.Merged[dc] = m
	cfg := configurer.Config{
		Digest:      digest,
		Timing:      configurer.DefaultTiming(),
		DataCentres: slices.Clone(p.dataCentres),
	}
	applySettings(&m, deploymentSection, deploymentRules(), &cfg)
	p.require(&m, deploymentSection, "name")
	p.require(&m, deploymentSection, "region")
	applySettings(&m, timingSection, timingRules(), &cfg.Timing)
	p.checkTiming(&m, cfg.Timing)
	for _, name := range p.services {
		section := serviceKind + " " + name
		s := configurer.DefaultService(name)
		applySettings(&m, section, serviceRules(), &s)
		p.checkService(&m, section, cfg.Timing, &s)
		cfg.Services = append(cfg.Services, s)
	}
	p.report.Configs[dc] = &cfg
}

// applySettings copies the merged values of a section into settings. A value that cannot be parsed is skipped, which
// leaves the default: checkSettings has already reported it.
func applySettings[T any](m *merger.Merged, section string, rules []rule[T], settings *T) {
	for _, r := range rules {
		if v, ok := m.Value(section, r.name); ok {
			_ = r.set(settings, v.Text)
		}
	}
}

func (p *pass) require(m *merger.Merged, section, name string) {
	if _, ok := m.Value(section, name); !ok {
		p.addFinding(m.Base, p.lineOf(section), "section [%s] needs the setting %s", section, name)
	}
}

// lineOf returns the line of a section in the base file, or zero if the base file does not have the section.
func (p *pass) lineOf(section string) int {
	for _, s := range p.base.Sections {
		if s.Name == section {
			return s.Line
		}
	}
	return 0
}

// locate returns the file and line for a finding about some settings of a section: the first of names that the overlay
// sets, otherwise the first that the base file sets, otherwise the section in the base file.
func (p *pass) locate(m *merger.Merged, section string, names ...string) merger.Value {
	var found merger.Value
	for _, name := range names {
		v, ok := m.Value(section, name)
		if !ok {
			continue
		}
		// The overlay takes precedence: an operator who edits the settings of one data centre should look there.
		if found.File == "" || found.File == m.Base && v.File != m.Base {
			found = v
		}
	}
	if found.File == "" {
		found.File = m.Base
		found.Line = p.lineOf(section)
	}
	return found
}

func (p *pass) checkTiming(m *merger.Merged, t configurer.Timing) {
	if t.DispatchLease <= 2*t.Heartbeat {
		p.addFindingAt(p.locate(m, timingSection, "dispatchLease", "heartbeat"),
			"dispatchLease %s must be above twice heartbeat %s, or one lost heartbeat ends the lease",
			formatDuration(t.DispatchLease), formatDuration(t.Heartbeat))
	}
	if t.AuthorityLease < t.DispatchLease {
		p.addFindingAt(p.locate(m, timingSection, "authorityLease", "dispatchLease"),
			"authorityLease %s must be at least dispatchLease %s", formatDuration(t.AuthorityLease),
			formatDuration(t.DispatchLease))
	}
}

// checkService checks the settings of one service against each other and against the timing.
func (p *pass) checkService(m *merger.Merged, section string, t configurer.Timing, s *configurer.Service) {
	p.require(m, section, "kind")
	p.checkLimits(m, section, t, s)
	// Without a valid kind, the checks below would only report the same fault in other words.
	if kind, _ := m.Value(section, "kind"); kind.Text != kindKeyed && kind.Text != kindShared {
		return
	}
	p.checkScope(m, section, s)
	p.checkInForce(m, section, s)
	if !s.Keyed {
		return
	}
	p.require(m, section, "key")
	p.require(m, section, "slots")
	if s.Ownership.CutOffHold < t.AuthorityLease {
		p.addFindingAt(p.locate(m, section, "cutOffHold"), "cutOffHold %s must be at least authorityLease %s",
			formatDuration(s.Ownership.CutOffHold), formatDuration(t.AuthorityLease))
	}
	if s.Rebalance.ImbalanceLow >= s.Rebalance.ImbalanceHigh {
		p.addFindingAt(p.locate(m, section, "imbalanceLow", "imbalanceHigh"),
			"imbalanceLow %g must be below imbalanceHigh %g, or rebalancing never ends", s.Rebalance.ImbalanceLow,
			s.Rebalance.ImbalanceHigh)
	}
	if s.Rebalance.MoveBudget > s.Slots {
		p.addFindingAt(p.locate(m, section, "moveBudget", "slots"), "moveBudget %d must be at most slots %d",
			s.Rebalance.MoveBudget, s.Slots)
	}
	if s.Ownership.HandoverWait > s.Deadline {
		p.addFindingAt(p.locate(m, section, "handoverWait", "deadline"), "handoverWait %s must be at most deadline %s",
			formatDuration(s.Ownership.HandoverWait), formatDuration(s.Deadline))
	}
	if !s.Ownership.ChecksEpoch {
		p.addNote(p.locate(m, section, "checksEpoch"),
			"targets of %s do not check epochs: after the loss of a target its keys wait up to %s, which is "+
				"uncheckedWait %s longer than for targets that do", s.Name,
			formatDuration(maxKeyOutage+s.Ownership.UncheckedWait), formatDuration(s.Ownership.UncheckedWait))
	}
}

// checkScope reports settings that have no effect on a service of this kind: an operator who sets one believes that it
// works.
func (p *pass) checkScope(m *merger.Merged, section string, s *configurer.Service) {
	kind := sharedOnly
	if s.Keyed {
		kind = keyedOnly
	}
	for _, r := range serviceRules() {
		if v, ok := m.Value(section, r.name); ok && r.scope != anyKind && r.scope != kind {
			p.addFindingAt(v, "%s has no effect: service %s is %s, the setting is for %s services", r.name, s.Name, kind,
				r.scope)
		}
	}
}

func (p *pass) checkInForce(m *merger.Merged, section string, s *configurer.Service) {
	i := slices.IndexFunc(p.inForce, func(old configurer.Service) bool { return old.Name == s.Name })
	if i < 0 {
		return
	}
	old := p.inForce[i]
	if old.Keyed != s.Keyed {
		p.addFindingAt(p.locate(m, section, "kind"), "kind of service %s in force cannot change", s.Name)
		return
	}
	if s.Keyed && old.Slots != s.Slots {
		p.addFindingAt(p.locate(m, section, "slots"),
			"slots of service %s in force cannot change from %d to %d, because that moves nearly every key", s.Name,
			old.Slots, s.Slots)
	}
}

func (p *pass) checkLimits(m *merger.Merged, section string, t configurer.Timing, s *configurer.Service) {
	l := s.Limits
	if l.WarmCeiling > l.TargetSlots {
		p.addFindingAt(p.locate(m, section, "warmCeiling", "targetSlots"),
			"warmCeiling %d must be at most targetSlots %d, or a target never counts as warm", l.WarmCeiling, l.TargetSlots)
	}
	if l.ColdAllowance > l.WarmCeiling {
		p.addFindingAt(p.locate(m, section, "coldAllowance", "warmCeiling"),
			"coldAllowance %d must be at most warmCeiling %d", l.ColdAllowance, l.WarmCeiling)
	}
	if l.TargetConnections < l.TargetSlots {
		p.addFindingAt(p.locate(m, section, "targetConnections", "targetSlots"),
			"targetConnections %d must be at least targetSlots %d", l.TargetConnections, l.TargetSlots)
	}
	if l.ReportMaxAge < t.Heartbeat {
		p.addFindingAt(p.locate(m, section, "reportMaxAge"),
			"reportMaxAge %s must be at least heartbeat %s, or every report is "+
				"ignored", formatDuration(l.ReportMaxAge), formatDuration(t.Heartbeat))
	}
	if !s.Keyed && s.Retry.HedgeAfter >= s.Deadline {
		p.addFindingAt(p.locate(m, section, "hedgeAfter", "deadline"), "hedgeAfter %s must be below deadline %s",
			formatDuration(s.Retry.HedgeAfter), formatDuration(s.Deadline))
	}
	if t.StopWait < s.Deadline {
		p.addFindingAt(p.locate(m, section, "deadline"), "deadline %s must be at most stopWait %s, or a planned stop cuts "+
			"requests", formatDuration(s.Deadline), formatDuration(t.StopWait))
	}
}
