// Package notifier is a publish/subscribe event bus inside one process, on watermill's in-memory GoChannel.
//
// Events report that a state changed; they never carry the state itself, and nothing in the path of a request waits for
// them. If events are published faster than the bus takes them, they are dropped, which a counter shows. The events
// that a slow subscriber has not taken yet stay in memory, and may reach it in another order.
package notifier

import "time"

// Kind is the kind of state that changed.
type Kind string

// Kinds of events.
const (
	ConfigurationInForce Kind = "configurationInForce"
	AuthorityChanged     Kind = "authorityChanged"
	ReadinessChanged     Kind = "readinessChanged"
	LeaderChanged        Kind = "leaderChanged"
)

// EventMsg reports one change of state. Subject is the host that it concerns, such as the new leader, and Detail a text
// for the log.
type EventMsg struct {
	Kind    Kind
	Subject string
	Detail  string
	At      time.Time
}
