package emulator

import (
	"context"
	"crypto/tls"
	"flag"
	"net"
	"net/netip"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// Options configure an Emulator. The zero value is a target that listens on a free loopback port, sends no heartbeats,
// starts cold and checks epochs.
type Options struct {
	Name       string
	Service    string
	DataCentre string
	// Token is sent as the bearer token of each heartbeat.
	Token string
	// Listen is the address for requests; the zero value picks a free loopback port. Advertise is the address stated in
	// heartbeats, for a target behind a proxy; the zero value means the address listened on.
	Listen    netip.AddrPort
	Advertise netip.AddrPort
	// Control is the address of the control API; the zero value means that there is none.
	Control netip.AddrPort
	// Announce are the addresses on which the hosts of the data centre accept heartbeats, tried in turn.
	Announce []netip.AddrPort
	// TLS is the TLS configuration for heartbeats; nil means plain HTTP.
	TLS *tls.Config
	// Dial replaces the dialer of heartbeats, for example by one with fault injection; nil means the default dialer.
	Dial func(ctx context.Context, network, addr string) (net.Conn, error)
	// Heartbeat is the interval between heartbeats; zero means 150 ms.
	Heartbeat time.Duration
	// Seed is the seed of the service times, which makes them reproducible.
	Seed uint64

	// Slots is the maximum number of requests in progress and Connections that of connections; zero means 4 and 100.
	Slots       int
	Connections int
	// ServiceTime is the median service time, zero means 4 ms. Service times are log-normally distributed, and Sigma is
	// the standard deviation of their logarithm; zero means 0.4.
	ServiceTime time.Duration
	Sigma       float64
	// AnswerBytes is the size of the padding in an answer, in bytes.
	AnswerBytes int
	// IgnoresEpoch makes the target not compare epochs. It still checks its lease when a request arrives, but not again
	// before the request takes effect.
	IgnoresEpoch bool

	// Warm skips the cold start of the first incarnation. A cold target can handle ColdInFlight requests in progress,
	// and one more for each ColdStep requests that it finished; it is warm after ColdRequests requests or after
	// ColdTime. One request too many crashes it. Zero means 1, 20 and 60, the defaults of a service's allowance, and no
	// end by time.
	Warm         bool
	ColdInFlight int
	ColdStep     int
	ColdRequests int
	ColdTime     time.Duration
	// Restart is the time from a crash to the next incarnation; zero means 500 ms.
	Restart time.Duration

	// LoadAge is the minimum age of the load that a heartbeat reports. HideLoadAge makes heartbeats state an age of
	// zero whatever the true age is.
	LoadAge     time.Duration
	HideLoadAge bool
	// Limit is the number of requests per second that answers state as the target's limit, as the text of the header; empty
	// for none. The target itself does not enforce it.
	Limit string
	// AcceptsWhileDraining makes the target accept new requests while it is draining.
	AcceptsWhileDraining bool
}

func (o Options) withDefaults() Options {
	loopback := netip.AddrFrom4([4]byte{127, 0, 0, 1})
	if !o.Listen.IsValid() {
		o.Listen = netip.AddrPortFrom(loopback, 0)
	}
	if o.Name == "" {
		o.Name = "target"
	}
	setDefault(&o.Heartbeat, 150*time.Millisecond)
	setDefault(&o.Slots, 4)
	setDefault(&o.Connections, 100)
	setDefault(&o.ServiceTime, 4*time.Millisecond)
	setDefault(&o.Sigma, 0.4)
	setDefault(&o.ColdInFlight, 1)
	setDefault(&o.ColdStep, 20)
	setDefault(&o.ColdRequests, 60)
	setDefault(&o.Restart, 500*time.Millisecond)
	return o
}

func setDefault[T comparable](v *T, def T) {
	var zero T
	if *v == zero {
		*v = def
	}
}

// Bind defines the flags of the target command on fs.
func (o *Options) Bind(fs *flag.FlagSet) {
	fs.StringVar(&o.Name, "name", o.Name, "name of the target")
	fs.StringVar(&o.Service, "service", o.Service, "service of the target")
	fs.StringVar(&o.DataCentre, "dc", o.DataCentre, "data centre of the target")
	fs.StringVar(&o.Token, "token", o.Token, "bearer token of heartbeats")
	fs.TextVar(&o.Listen, "listen", o.Listen, "address for requests")
	fs.TextVar(&o.Advertise, "advertise", o.Advertise, "address stated in heartbeats")
	fs.TextVar(&o.Control, "control", o.Control, "address of the control API")
	fs.Func("announce", "announce addresses of the hosts, separated by commas", func(s string) error {
		for part := range strings.SplitSeq(s, ",") {
			addr, err := netip.ParseAddrPort(strings.TrimSpace(part))
			if err != nil {
				return errors.Wrap(err, "announce address")
			}
			o.Announce = append(o.Announce, addr)
		}
		return nil
	})
	fs.Uint64Var(&o.Seed, "seed", o.Seed, "seed of the service times")
	fs.DurationVar(&o.ServiceTime, "serviceTime", o.ServiceTime, "median service time")
	fs.IntVar(&o.Slots, "slots", o.Slots, "requests in progress")
	fs.IntVar(&o.Connections, "connections", o.Connections, "connections accepted")
	fs.BoolVar(&o.Warm, "warm", o.Warm, "skip the cold start")
	fs.BoolVar(&o.IgnoresEpoch, "ignoresEpoch", o.IgnoresEpoch, "do not compare epochs")
	fs.StringVar(&o.Limit, "limit", o.Limit, "requests per second that answers state as the limit")
	fs.DurationVar(&o.LoadAge, "loadAge", o.LoadAge, "age of the reported load")
	fs.BoolVar(&o.HideLoadAge, "loadMisleads", o.HideLoadAge, "state an age of zero for the load")
}
