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

// Options set up an Emulator. The zero value is a target that listens on a free loopback port, announces itself to
// nobody, starts cold and checks epochs.
type Options struct {
	Name       string
	Service    string
	DataCentre string
	// Token is sent as the bearer token of each heartbeat.
	Token string
	// Listen takes requests; the zero value picks a free loopback port. Advertise is the address stated in heartbeats,
	// for a target behind a proxy; the zero value means the address listened on.
	Listen    netip.AddrPort
	Advertise netip.AddrPort
	// Control takes the control API; the zero value means none.
	Control netip.AddrPort
	// Announce are the announce addresses of the hosts of the data centre, tried in turn.
	Announce []netip.AddrPort
	// TLS is used for heartbeats; nil means plain HTTP.
	TLS *tls.Config
	// Dial replaces the dialer of heartbeats, to put a network in between.
	Dial func(ctx context.Context, network, addr string) (net.Conn, error)
	// Heartbeat is the interval between heartbeats; zero means 150 ms.
	Heartbeat time.Duration
	// Seed makes service times repeatable.
	Seed uint64

	// Slots is the number of requests in progress and Connections the number of connections; zero means 4 and 100.
	Slots       int
	Connections int
	// ServiceTime is the median of the service time, zero means 4 ms; the distribution is log-normal with Sigma, zero
	// means 0.4.
	ServiceTime time.Duration
	Sigma       float64
	// AnswerBytes is the size of the padding in an answer.
	AnswerBytes int
	// IgnoresEpoch makes a target that does not compare epochs. It still checks its lease when a request arrives, but
	// not again before the request takes effect.
	IgnoresEpoch bool

	// Warm skips the cold start of the first incarnation. A cold target handles ColdInFlight requests in progress, and one more for each ColdStep
	// requests that it finished; it is warm after ColdRequests requests or after ColdTime. One request too many makes
	// it crash. Zero means 1, 20 and 60, the defaults of a service's allowance, and a ColdTime without end.
	Warm         bool
	ColdInFlight int
	ColdStep     int
	ColdRequests int
	ColdTime     time.Duration
	// Restart is the time from a crash to the next incarnation; zero means 500 ms.
	Restart time.Duration

	// LoadAge is the age of the load in heartbeats. LoadMisleads states an age of zero whatever the true age is.
	LoadAge      time.Duration
	LoadMisleads bool
	// AcceptsDraining goes on accepting new work while draining.
	AcceptsDraining bool
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

// Bind defines the flags of the command target on fs.
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
	fs.DurationVar(&o.LoadAge, "loadAge", o.LoadAge, "age of the reported load")
	fs.BoolVar(&o.LoadMisleads, "loadMisleads", o.LoadMisleads, "state an age of zero for the load")
}
