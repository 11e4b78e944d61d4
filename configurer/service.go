package configurer

import (
	"slices"
	"time"
)

// Service is the configuration of one service.
type Service struct {
	Name string
	// Keyed is true for a keyed service, whose keys have one owner each, and false for a shared service, whose requests
	// any target may run.
	Keyed bool
	// KeySource is the place of the key in a request: header:NAME, path:N or query:NAME.
	KeySource string
	// Slots is the number of hash slots of a keyed service. It never changes once the service is in use.
	Slots int
	// IdempotentMethods are the HTTP methods whose requests may run more than once.
	IdempotentMethods []string
	// Deadline is the timeout of a request whose caller states no deadline.
	Deadline time.Duration

	Limits    Limits
	Retry     Retry
	Ownership Ownership
	Rebalance Rebalance
	Suspect   Suspect
}

// Idempotent reports whether a request with this method may run more than once.
func (s *Service) Idempotent(method string) bool {
	return slices.Contains(s.IdempotentMethods, method)
}

// Limits bounds the load of one target and the requests of one service.
type Limits struct {
	// TargetSlots is the maximum number of requests in progress at a target.
	TargetSlots int
	// TargetConnections is the maximum number of connections that a target accepts.
	TargetConnections int
	// QueueLimit is the maximum number of requests that wait for one target.
	QueueLimit int
	// ColdAllowance is the maximum number of requests in progress at a cold target, such as one that has just started.
	ColdAllowance int
	// WarmStep is the number of successes in a row after which a cold target may have one more request in progress.
	WarmStep int
	// WarmCeiling is the allowed number of requests in progress at which a target becomes warm.
	WarmCeiling int
	// MaxBody and MaxHeader are in bytes.
	MaxBody   int64
	MaxHeader int
	// Weight is the relative share of the service in the requests that a host holds, waiting or in progress, when
	// services compete: its Weight over the sum of the weights of all services.
	Weight int
	// ReportMaxAge is the age from which a load report is ignored as stale.
	ReportMaxAge time.Duration
}

// Retry holds the budgets for attempts beyond the first.
type Retry struct {
	// RetryBudget and HedgeBudget bound retries and hedged attempts as shares of first attempts, from zero to one.
	RetryBudget float64
	HedgeBudget float64
	// HedgeAfter is the minimum wait before a hedged attempt of an idempotent request of a shared service.
	HedgeAfter time.Duration
}

// Ownership holds the settings that determine when a key may get another owner.
type Ownership struct {
	// CutOffHold is the time for which a data centre that is cut off from the control leader keeps its slots.
	CutOffHold time.Duration
	// ChecksEpoch is true if the targets reject requests and grants with an old epoch.
	ChecksEpoch bool
	// UncheckedWait is the additional wait before a slot of a target that does not check epochs gets a new owner.
	UncheckedWait time.Duration
	// HandoverWait bounds the time for which requests wait during a hand-over of their slot.
	HandoverWait time.Duration
}

// Rebalance holds the settings that weigh the imbalance between targets against the cost of moving slots.
type Rebalance struct {
	// MoveBudget is the maximum number of slots that move within MoveWindow.
	MoveBudget int
	MoveWindow time.Duration
	// Rebalancing starts above ImbalanceHigh and ends at ImbalanceLow (hysteresis). Both are ratios of the greatest
	// load of a target to the mean load.
	ImbalanceHigh float64
	ImbalanceLow  float64
	// ChurnWeight is the least reduction of that ratio for which a slot is moved.
	ChurnWeight float64
}

// Suspect bounds the damage by a request that crashes the targets that run it.
type Suspect struct {
	// CrashLimit is the number of targets that may be lost to one request before it is refused.
	CrashLimit int
	// SuspectTime is the time for which the request is refused after the last loss.
	SuspectTime time.Duration
}

// DefaultService returns a service with the default of each setting.
func DefaultService(name string) Service {
	return Service{
		Name:              name,
		KeySource:         "header:Bramleyline-Key",
		Slots:             1024,
		IdempotentMethods: []string{"GET", "HEAD", "OPTIONS"},
		Deadline:          2 * time.Second,
		Limits: Limits{
			TargetSlots:       4,
			TargetConnections: 100,
			QueueLimit:        64,
			ColdAllowance:     1,
			WarmStep:          20,
			WarmCeiling:       4,
			MaxBody:           1 << 20,
			MaxHeader:         16 << 10,
			Weight:            1,
			ReportMaxAge:      time.Second,
		},
		Retry: Retry{
			RetryBudget: 0.1,
			HedgeBudget: 0.05,
			HedgeAfter:  20 * time.Millisecond,
		},
		Ownership: Ownership{
			CutOffHold:    10 * time.Minute,
			ChecksEpoch:   true,
			UncheckedWait: 2 * time.Second,
			HandoverWait:  500 * time.Millisecond,
		},
		Rebalance: Rebalance{
			MoveBudget:    16,
			MoveWindow:    time.Minute,
			ImbalanceHigh: 1.5,
			ImbalanceLow:  1.2,
			ChurnWeight:   0.01,
		},
		Suspect: Suspect{
			CrashLimit:  2,
			SuspectTime: 10 * time.Minute,
		},
	}
}
