package presenter

import "time"

// Outcome says what a request for a change did.
type Outcome string

// The outcomes of a change.
const (
	// Applied says that the change was accepted, now or by an earlier request that is the same.
	Applied Outcome = "applied"
	// Already says that what was asked for was in effect before.
	Already Outcome = "already"
	// Invalid says that the configuration has findings.
	Invalid Outcome = "invalid"
	// LostRace says that another configuration was accepted under the expected number.
	LostRace Outcome = "lostRace"
	// NeedsForce says that the change takes service away and was sent without force.
	NeedsForce Outcome = "needsForce"
	// Refused says that the change was refused for the reason in the message.
	Refused Outcome = "refused"
	// NoLeader says that no control leader was reached, so that nothing was changed.
	NoLeader Outcome = "noLeader"
	// Unknown says that no answer came in time; the same request can be sent again.
	Unknown Outcome = "unknown"
)

// Version is an accepted configuration. Lists leave out the texts.
type Version struct {
	Version  uint64            `json:"version"`
	Digest   string            `json:"digest"`
	Operator string            `json:"operator"`
	At       time.Time         `json:"at,omitzero"`
	Base     string            `json:"base,omitempty"`
	Overlays map[string]string `json:"overlays,omitempty"`
}

// Apply asks for a new configuration.
type Apply struct {
	// Expect is the version in force that the operator saw; the new one gets the next number.
	Expect   uint64            `json:"expect"`
	Base     string            `json:"base"`
	Overlays map[string]string `json:"overlays"`
	Operator string            `json:"operator"`
	Force    bool              `json:"force"`
}

// SetService takes a data centre or a target out of service, or restores it.
type SetService struct {
	// Exactly one of DataCentre and Target is set.
	DataCentre string `json:"dataCentre,omitempty"`
	Target     string `json:"target,omitempty"`
	Out        bool   `json:"out"`
	Operator   string `json:"operator"`
	Force      bool   `json:"force"`
	// Request identifies the command, so that sending it again changes nothing.
	Request string `json:"request"`
}

// Answer is the answer to a change.
type Answer struct {
	Outcome Outcome `json:"outcome"`
	Message string  `json:"message"`
	// Version is the accepted configuration, or the winner of a lost race.
	Version *Version `json:"version,omitempty"`
	// Index is the log index of the change, for waiting until hosts know it.
	Index    uint64   `json:"index,omitempty"`
	Findings []string `json:"findings,omitempty"`
}
