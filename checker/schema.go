package checker

import (
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"

	"bramleyline.example/bramleyline/configurer"
	"bramleyline.example/bramleyline/keyer"
	"bramleyline.example/bramleyline/parser"
)

// The kinds of sections. The header of a data centre or service section also has a name, as in [service tally].
const (
	deploymentSection = "deployment"
	timingSection     = "timing"
	dataCentreKind    = "dataCentre"
	serviceKind       = "service"
)

// kindKeyed and kindShared are the values of the setting "kind" of a service.
const (
	kindKeyed  = "keyed"
	kindShared = "shared"
)

// maxNameBytes bounds the length of the names of services and data centres, which are used in paths, headers and
// counter names.
const maxNameBytes = 64

func deploymentRules() []rule[configurer.Config] {
	return []rule[configurer.Config]{
		nameRule("name", func(c *configurer.Config) *string { return &c.Deployment }).asCommon(),
		nameRule("region", func(c *configurer.Config) *string { return &c.Region }),
	}
}

func timingRules() []rule[configurer.Timing] {
	type timing = configurer.Timing
	return []rule[timing]{
		durationRule("heartbeat", func(t *timing) *time.Duration { return &t.Heartbeat },
			10*time.Millisecond, 10*time.Second),
		durationRule("dispatchLease", func(t *timing) *time.Duration { return &t.DispatchLease },
			50*time.Millisecond, time.Minute).asCommon(),
		durationRule("authorityLease", func(t *timing) *time.Duration { return &t.AuthorityLease },
			50*time.Millisecond, time.Minute).asCommon(),
		durationRule("electionTimeout", func(t *timing) *time.Duration { return &t.ElectionTimeout },
			50*time.Millisecond, time.Minute).asCommon(),
		durationRule("stopWait", func(t *timing) *time.Duration { return &t.StopWait },
			time.Second, time.Hour),
		durationRule("balancerWait", func(t *timing) *time.Duration { return &t.BalancerWait },
			0, time.Minute),
	}
}

func serviceRules() []rule[configurer.Service] {
	return slices.Concat(requestRules(), limitRules(), ownershipRules())
}

func requestRules() []rule[configurer.Service] {
	type service = configurer.Service
	return []rule[service]{
		{
			name:        "kind",
			validValues: "keyed or shared",
			common:      true,
			set:         setKind,
			show: func(s *service) string {
				if s.Keyed {
					return kindKeyed
				}
				return kindShared
			},
		},
		{
			name:        "key",
			validValues: "header:NAME, path:N or query:NAME",
			scope:       keyedOnly,
			common:      true,
			set:         setKey,
			show:        func(s *service) string { return s.KeySource },
		},
		numberRule("slots", func(s *service) *int { return &s.Slots }, 1, 1<<20).only(keyedOnly).asCommon(),
		{
			name:        "idempotentMethods",
			validValues: "HTTP methods, separated by commas",
			common:      true,
			set:         setMethods,
			show:        func(s *service) string { return strings.Join(s.IdempotentMethods, ", ") },
		},
		durationRule("deadline", func(s *service) *time.Duration { return &s.Deadline }, 10*time.Millisecond, 10*time.Minute),
		sizeRule("maxBody", func(s *service) int64 { return s.Limits.MaxBody },
			func(s *service, n int64) { s.Limits.MaxBody = n }, 1, 64<<20),
		sizeRule("maxHeader", func(s *service) int64 { return int64(s.Limits.MaxHeader) },
			func(s *service, n int64) { s.Limits.MaxHeader = int(n) }, 1<<10, 1<<20),
		decimalRule("retryBudget", func(s *service) *float64 { return &s.Retry.RetryBudget }, 0, 1),
		decimalRule("hedgeBudget", func(s *service) *float64 { return &s.Retry.HedgeBudget }, 0, 1).only(sharedOnly),
		durationRule("hedgeAfter", func(s *service) *time.Duration { return &s.Retry.HedgeAfter },
			time.Millisecond, time.Minute).only(sharedOnly),
		numberRule("crashLimit", func(s *service) *int { return &s.Suspect.CrashLimit }, 1, 16),
		durationRule("suspectTime", func(s *service) *time.Duration { return &s.Suspect.SuspectTime },
			time.Second, 24*time.Hour),
	}
}

func limitRules() []rule[configurer.Service] {
	type service = configurer.Service
	return []rule[service]{
		numberRule("targetSlots", func(s *service) *int { return &s.Limits.TargetSlots }, 1, 10000),
		numberRule("targetConnections", func(s *service) *int { return &s.Limits.TargetConnections }, 1, 10000),
		numberRule("queueLimit", func(s *service) *int { return &s.Limits.QueueLimit }, 1, 100000),
		numberRule("coldAllowance", func(s *service) *int { return &s.Limits.ColdAllowance }, 1, 10000),
		numberRule("warmStep", func(s *service) *int { return &s.Limits.WarmStep }, 1, 100000),
		numberRule("warmCeiling", func(s *service) *int { return &s.Limits.WarmCeiling }, 1, 10000),
		numberRule("weight", func(s *service) *int { return &s.Limits.Weight }, 1, 1000),
		durationRule("reportMaxAge", func(s *service) *time.Duration { return &s.Limits.ReportMaxAge },
			10*time.Millisecond, time.Hour),
	}
}

func ownershipRules() []rule[configurer.Service] {
	type service = configurer.Service
	return []rule[service]{
		durationRule("cutOffHold", func(s *service) *time.Duration { return &s.Ownership.CutOffHold },
			time.Second, 7*24*time.Hour).only(keyedOnly).asCommon(),
		boolRule("checksEpoch", func(s *service) *bool { return &s.Ownership.ChecksEpoch }),
		durationRule("uncheckedWait", func(s *service) *time.Duration { return &s.Ownership.UncheckedWait },
			10*time.Millisecond, 10*time.Minute).only(keyedOnly),
		durationRule("handoverWait", func(s *service) *time.Duration { return &s.Ownership.HandoverWait },
			time.Millisecond, time.Minute).only(keyedOnly),
		numberRule("moveBudget", func(s *service) *int { return &s.Rebalance.MoveBudget }, 1, 1<<20).only(keyedOnly),
		durationRule("moveWindow", func(s *service) *time.Duration { return &s.Rebalance.MoveWindow },
			time.Second, 24*time.Hour).only(keyedOnly),
		decimalRule("imbalanceHigh", func(s *service) *float64 { return &s.Rebalance.ImbalanceHigh }, 1, 100).
			only(keyedOnly),
		decimalRule("imbalanceLow", func(s *service) *float64 { return &s.Rebalance.ImbalanceLow }, 1, 100).
			only(keyedOnly),
		decimalRule("churnWeight", func(s *service) *float64 { return &s.Rebalance.ChurnWeight }, 0, 1).only(keyedOnly),
	}
}

func nameRule[T any](name string, field func(*T) *string) rule[T] {
	return rule[T]{
		name:        name,
		validValues: "name of letters, digits and hyphens",
		set: func(settings *T, text string) error {
			if !validName(text) {
				return errors.New("wants a name of letters, digits and hyphens")
			}
			*field(settings) = text
			return nil
		},
		show: func(settings *T) string { return *field(settings) },
	}
}

func validName(name string) bool {
	if name == "" || len(name) > maxNameBytes {
		return false
	}
	return !strings.ContainsFunc(name, func(r rune) bool {
		return !('a' <= r && r <= 'z' || 'A' <= r && r <= 'Z' || '0' <= r && r <= '9' || r == '-')
	})
}

func setKind(s *configurer.Service, text string) error {
	if text != kindKeyed && text != kindShared {
		return errors.New("wants keyed or shared")
	}
	s.Keyed = text == kindKeyed
	return nil
}

func setKey(s *configurer.Service, text string) error {
	if _, err := keyer.New(text, 1); err != nil {
		return errors.New("wants header:NAME, path:N or query:NAME")
	}
	s.KeySource = text
	return nil
}

func setMethods(s *configurer.Service, text string) error {
	known := []string{
		http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace, http.MethodPut, http.MethodDelete,
		http.MethodPost, http.MethodPatch,
	}
	methods := parser.List(text)
	for i, m := range methods {
		if !slices.Contains(known, m) {
			return errors.Errorf("%q is no HTTP method, wants some of %s", m, strings.Join(known, ", "))
		}
		if slices.Contains(methods[:i], m) {
			return errors.Errorf("method %s is repeated", m)
		}
	}
	s.IdempotentMethods = methods
	return nil
}
