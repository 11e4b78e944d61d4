package loadgenerator

import (
	"context"
	"net"
	"net/netip"
	"time"
)

// Options configure a Generator.
type Options struct {
	// Entries are the caller addresses of the entry hosts. Requests go to them in turn, as the platform's balancer
	// sends them.
	Entries []netip.AddrPort
	// Ready reports whether the balancer may send to an entry host. It is called for each host every ReadyInterval;
	// zero means 500 ms. Nil means that all hosts are ready.
	Ready         func(ctx context.Context, entry netip.AddrPort) bool
	ReadyInterval time.Duration
	// Rate is the mean number of requests per second, zero means 100; arrivals are a Poisson process. Duration and
	// Count bound the run; zero means 5 s and 200,000.
	Rate     float64
	Duration time.Duration
	Count    int
	// MaxInFlight bounds the requests in progress; zero means 4,000. A request beyond it is recorded as not sent.
	MaxInFlight int
	Seed        uint64
	Mix         []Traffic
	// Timeout is the timeout of one attempt; zero means 5 s.
	Timeout time.Duration
	// MaxRetries is the maximum number of retries of a request that ended with notRun, each after RetryWait; zero means
	// 100 ms. RetryUnknown also allows retries of requests whose outcome is unknown. All retries have the same
	// identity.
	MaxRetries   int
	RetryWait    time.Duration
	RetryUnknown bool
	// Dial replaces the dialer, for example by one with fault injection; nil means one with a timeout of 1 s.
	Dial func(ctx context.Context, network, addr string) (net.Conn, error)
}

// Traffic is the part of the requests that goes to one service.
type Traffic struct {
	Service string
	// Share is the share of this part in proportion to those of the other parts; zero means 1.
	Share float64
	// Key is the place of the key in a request: header:NAME, path:N or query:NAME; empty for a shared service.
	Key string
	// Keys is the number of different keys, zero means 1,000. Their popularity follows a Zipf law with the exponent
	// Zipf, which must be above one; zero means that all are equally popular.
	Keys int
	Zipf float64
	// HotKeys is the number of hot keys, which get the share HotShare of the requests. Other keys become hot every
	// HotMove; zero means that the hot keys stay the same.
	HotKeys  int
	HotShare float64
	HotMove  time.Duration
	// WriteShare is the share of non-idempotent requests (POST); the others are GET.
	WriteShare float64
	// BodyBytes is the size of the padding in the body of a POST, in bytes.
	BodyBytes int
	// PoisonEvery makes each PoisonEvery-th POST crash its target; zero means none.
	PoisonEvery int
}

func (o Options) withDefaults() Options {
	setDefault(&o.ReadyInterval, 500*time.Millisecond)
	setDefault(&o.Rate, 100)
	setDefault(&o.Duration, 5*time.Second)
	setDefault(&o.Count, 200_000)
	setDefault(&o.MaxInFlight, 4_000)
	setDefault(&o.Timeout, 5*time.Second)
	setDefault(&o.RetryWait, 100*time.Millisecond)
	if len(o.Mix) == 0 {
		o.Mix = []Traffic{{
			Service: "tally",
			Key:     "header:Bramleyline-Key",
		}}
	}
	mix := make([]Traffic, len(o.Mix))
	copy(mix, o.Mix)
	for i := range mix {
		setDefault(&mix[i].Share, 1)
		setDefault(&mix[i].Keys, 1000)
	}
	o.Mix = mix
	return o
}

func setDefault[T comparable](v *T, def T) {
	var zero T
	if *v == zero {
		*v = def
	}
}
