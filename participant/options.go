package participant

import (
	"context"
	"net/netip"
	"time"

	"github.com/pkg/errors"

	"bramleyline.example/bramleyline/applier"
	"bramleyline.example/bramleyline/configurer"
	"bramleyline.example/bramleyline/messenger"
	"bramleyline.example/bramleyline/reporter"
)

// Options are the settings of a Participant. All but Leading and Traffic are required.
type Options struct {
	// Host identifies this process and its addresses.
	Host applier.Host
	// Voters maps the names of control hosts to their RPC addresses, which are used until the state has the hosts.
	Voters map[string]netip.AddrPort
	Source Source
	// Proposer commits commands.
	Proposer Proposer
	// Leading reports whether this host is the control leader and since when; nil on a host that is no control host.
	Leading   func(now time.Time) (since time.Time, ok bool)
	Messenger *messenger.Messenger
	// Config returns the configuration in force on this host, nil if there is none yet.
	Config func() *configurer.Config
	// Token is the bearer token with which targets authenticate their heartbeats.
	Token string
	// Traffic is the source of the traffic in reports; SetTraffic sets it later.
	Traffic reporter.Traffic
}

// Source provides the newest replicated state on this host.
type Source interface {
	// State returns the state, nil if there is none yet. It is immutable.
	State() *applier.State
	// Changed returns a channel that receives or is closed when the state has changed.
	Changed() <-chan struct{}
}

// Proposer commits commands in the replicated log.
type Proposer interface {
	// Propose returns the result of a committed command. After an error it is unknown whether it was committed.
	Propose(ctx context.Context, cmd applier.Command) (applier.Result, error)
}

// ErrClosed is the error of a message to a Participant that has stopped.
var ErrClosed = errors.New("participant is closed")
