package granter

import (
	"time"

	"bramleyline.example/bramleyline/applier"
	"bramleyline.example/bramleyline/configurer"
	"bramleyline.example/bramleyline/keyer"
)

// TickMsg drives the Granter: it carries the newest state and configuration that the host knows.
type TickMsg struct {
	State  *applier.State
	Config *configurer.Config
}

// LeaseMsg renews the authority lease, as the control leader answered a heartbeat that was sent at Asked.
type LeaseMsg struct {
	AuthorityIndex uint64
	Asked          time.Time
	TTL            time.Duration
	// Yield names the slots by service that the control leader wants released for another data centre.
	Yield map[string][]keyer.Slot
}

// ProposeMsg is the effect that asks for a command to be committed. It is repeated with the same command until a
// ProposedMsg with its result arrives.
type ProposeMsg struct {
	Command applier.Command
}

// ProposedMsg is the result of a ProposeMsg; a non-nil Err means that it is unknown whether the command was committed.
type ProposedMsg struct {
	RequestID string
	Result    applier.Result
	Err       error
}

// PromiseMsg is, as an effect, the question to a host of the in-sync set whether it promises not to take part in
// another authority, and as an input its answer.
type PromiseMsg struct {
	Host           string
	Incarnation    uint64
	DataCentre     string
	AuthorityIndex uint64
	// Asked is the time at which the question was made, and Hold how long the promise lasts. A Hold of zero releases it.
	Asked time.Time
	Hold  time.Duration
	// Granted is the answer.
	Granted bool
}
