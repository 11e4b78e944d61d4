package presenter

import "time"

// Outcome is the result of a request for a change.
type Outcome string

// The outcomes of a change.
const (
	// Applied means that the change was accepted, by this request or by an earlier one that was the same.
	Applied Outcome = "applied"
	// Already means that the requested state was in effect before the request.
	Already Outcome = "already"
	// Invalid means that the configuration has findings, which the answer lists.
	Invalid Outcome = "invalid"
	// LostRace means that another configuration was accepted first, as the version after the expected one.
	LostRace Outcome = "lostRace"
	// NeedsForce means that the change was sent without force although it would remove a service, take away the last
	// targets of a service or leave no data centre in service.
	NeedsForce Outcome = "needsForce"
	// Refused means that the change was refused for the reason in the message.
	Refused Outcome = "refused"
	// NoLeader means that no control leader was reached, so that nothing was changed.
	NoLeader Outcome = "noLeader"
	// Unknown means that no answer came in time, so that the change may still be accepted. The same request can be
	// retried safely.
	Unknown Outcome = "unknown"
)

// Version is an accepted version of the configuration. Its texts, Base and Overlays, are set only in the answer to a
// request for that one version.
type Version struct {
	Version  uint64            `json:"version"`
	Digest   string            `json:"digest"`
	Operator string            `json:"operator"`
	At       time.Time         `json:"at,omitzero"`
	Base     string            `json:"base,omitempty"`
	Overlays map[string]string `json:"overlays,omitempty"`
}

// Apply is a request to put a new configuration in force.
type Apply struct {
	// Expect is the version that must be in force, on which the operator based the change. The new configuration
	// becomes version Expect+1.
	Expect   uint64            `json:"expect"`
	Base     string            `json:"base"`
	Overlays map[string]string `json:"overlays"`
	Operator string            `json:"operator"`
	Force    bool              `json:"force"`
}

// SetService is a request to take a data centre or a target out of service, or to restore it.
type SetService struct {
	// Exactly one of DataCentre and Target is set.
	DataCentre string `json:"dataCentre,omitempty"`
	Target     string `json:"target,omitempty"`
	// Out is true to take out of service, and false to restore.
	Out      bool   `json:"out"`
	Operator string `json:"operator"`
	Force    bool   `json:"force"`
	// Request is the ID of the request. A retry with the same ID does not apply the change again.
	Request string `json:"request"`
}

// Answer is the answer to a request for a change.
type Answer struct {
	Outcome Outcome `json:"outcome"`
	Message string  `json:"message"`
	// Version is the accepted configuration, or the winner of a lost race.
	Version *Version `json:"version,omitempty"`
	// Index is the log index of the change: a host whose Index in the status has reached it has applied the change.
	Index    uint64   `json:"index,omitempty"`
	Findings []string `json:"findings,omitempty"`
}
