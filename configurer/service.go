package configurer

import (
	"slices"
	"time"
)

// Service is the configuration of one service.
type Service struct {
	Name string
	// Keyed tells a service whose keys have one owner each from a shared one, whose requests any target may run.
	Keyed bool
	// KeySource says where the key of a request is: header:NAME, path:N or query:NAME.
	KeySource string
	// Slots is the number of hash slots of a keyed service. It never changes once the service is in use.
	Slots int
	// IdempotentMethods are the HTTP methods whose requests may run more than once.
	IdempotentMethods []string
	// Deadline bounds a request whose caller states no deadline.
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

// Limits bounds the work of one target and the requests of one service.
type Limits struct {
	// TargetSlots is the number of requests that a target runs at a time.
	TargetSlots int
	// TargetConnections is the number of connections that a target accepts.
	TargetConnections int
	// QueueLimit is the number of requests that wait for one target.
	QueueLimit int
	// ColdAllowance is the number of requests in progress at a target that has just started.
	ColdAllowance int
	// WarmStep is the number of successes in a row after which a cold target gets one more.
	WarmStep int
	// WarmCeiling is the number of requests in progress at which a target counts as warm.
	WarmCeiling int
	// MaxBody and MaxHeader are in bytes.
	MaxBody   int64
	MaxHeader int
	// Weight is the share of a host's room that this service gets when services compete.
	Weight int
	// ReportMaxAge is the age from which a load report is ignored.
	ReportMaxAge time.Duration
}

// Retry holds the budgets for attempts beyond the first.
type Retry struct {
	// RetryBudget and HedgeBudget are shares of first attempts, from zero to one.
	RetryBudget float64
	HedgeBudget float64
	// HedgeAfter is the wait before a hedged attempt of an idempotent request of a shared service.
	HedgeAfter time.Duration
}

// Ownership holds what decides when a key may get another owner.
type Ownership struct {
	// CutOffHold is how long a data centre that is cut off keeps its slots.
	CutOffHold time.Duration
	// ChecksEpoch says that the targets reject requests and grants with an old epoch.
	ChecksEpoch bool
	// UncheckedWait is the additional wait before a slot of a target that does not check epochs gets a new owner.
	UncheckedWait time.Duration
	// HandoverWait bounds how long requests wait while their slot is handed over.
	HandoverWait time.Duration
}

// Rebalance weighs imbalance against churn.
type Rebalance struct {
	// MoveBudget is the number of slots that may move in MoveWindow.
	MoveBudget int
	MoveWindow time.Duration
	// ImbalanceHigh starts and ImbalanceLow ends rebalancing; both are the greatest load of a target over the mean.
	ImbalanceHigh float64
	ImbalanceLow  float64
	// ChurnWeight is the gain in imbalance that one moved slot has to bring.
	ChurnWeight float64
}

// Suspect bounds the damage of a request that crashes the targets that run it.
type Suspect struct {
	// CrashLimit is the number of targets that may be lost to one request.
	CrashLimit int
	// SuspectTime is how long the request is refused afterwards.
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
