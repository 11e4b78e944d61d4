// Package notifier spreads "state changed" events inside one process, over watermill's in-memory publisher.
//
// Events say that something changed; they never carry the state itself, and nothing in the path of a request waits for
// them. A subscriber that is too slow loses events, which a counter shows.
package notifier

import "time"

// Kind says what changed.
type Kind string

// Kinds of events.
const (
	ConfigurationInForce Kind = "configurationInForce"
	AuthorityChanged     Kind = "authorityChanged"
	ReadinessChanged     Kind = "readinessChanged"
	LeaderChanged        Kind = "leaderChanged"
)

// EventMsg is one change of state.
type EventMsg struct {
	Kind    Kind
	Subject string
	Detail  string
	At      time.Time
}
