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

// Options are what a Participant needs. All but Leading and Traffic are required.
type Options struct {
	// Host is the record of this process.
	Host applier.Host
	// Voters maps the names of control hosts to their rpc addresses; it is used until the state names the hosts.
	Voters map[string]netip.AddrPort
	Source Source
	// Proposer commits commands.
	Proposer Proposer
	// Leading reports whether this host is the control leader and since when; nil on a host that is no control host.
	Leading   func(now time.Time) (since time.Time, ok bool)
	Messenger *messenger.Messenger
	// Config returns the configuration in force on this host, nil if there is none yet.
	Config func() *configurer.Config
	// Token is the secret of the targets.
	Token   string
	Traffic reporter.Traffic
}

// Source gives the newest replicated state that this host knows.
type Source interface {
	State() *applier.State
	// Changed returns a channel that receives or is closed when the state has changed.
	Changed() <-chan struct{}
}

// Proposer commits a command in the log.
type Proposer interface {
	Propose(ctx context.Context, cmd applier.Command) (applier.Result, error)
}

// ErrClosed reports a message to a Participant that has stopped.
var ErrClosed = errors.New("participant is closed")
