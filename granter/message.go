package granter

import (
	"time"

	"bramleyline.example/bramleyline/applier"
	"bramleyline.example/bramleyline/configurer"
	"bramleyline.example/bramleyline/keyer"
)

// TickMsg runs the periodic work of the Granter with the newest replicated state and configuration of the host.
type TickMsg struct {
	State  *applier.State
	Config *configurer.Config
}

// LeaseMsg renews the authority lease, after the control leader answered a heartbeat that was sent at Asked.
type LeaseMsg struct {
	AuthorityIndex uint64
	Asked          time.Time
	// TTL is the length of the lease, counted from Asked.
	TTL time.Duration
	// Yield lists, by service, the slots to release for another data centre, as the control leader requested.
	Yield map[string][]keyer.Slot
}

// ProposeMsg is the effect that requests the commit of a command. It is emitted again with the same command until a
// ProposedMsg with a result arrives.
type ProposeMsg struct {
	Command applier.Command
}

// ProposedMsg is the result of a ProposeMsg; a non-nil Err means an unknown outcome: the command may have been
// committed.
type ProposedMsg struct {
	RequestID string
	Result    applier.Result
	Err       error
}

// PromiseMsg is, as an effect, a request to a host of the in-sync set to promise that it takes part in no other
// authority, and as an input the host's answer.
type PromiseMsg struct {
	Host           string
	Incarnation    uint64
	DataCentre     string
	AuthorityIndex uint64
	// Asked is the time of the request, and Hold how long the promise lasts. A Hold of zero releases the promise.
	Asked time.Time
	Hold  time.Duration
	// Granted is true in the answer if the host made the promise.
	Granted bool
}
