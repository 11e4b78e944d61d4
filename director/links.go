package director

import (
	"context"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/pkg/errors"

	"bramleyline.example/bramleyline/acceptor"
	"bramleyline.example/bramleyline/detector"
	"bramleyline.example/bramleyline/matcher"
	"bramleyline.example/bramleyline/receiver"
	"bramleyline.example/bramleyline/relayer"
	"bramleyline.example/bramleyline/sender"
	"bramleyline.example/bramleyline/settingsreader"
	"bramleyline.example/bramleyline/signer"
)

const (
	// localSample is the number of targets of this host's data centre in a sample: a host whose data centre is cut off still
	// reaches these.
	localSample = 2
	// relayHeaderBytes is what the headers between hosts add to those of a caller, and relayIdleTime is longer than a host
	// keeps an idle connection to another one.
	relayHeaderBytes = 1 << 10
	relayIdleTime    = time.Minute
)

// entryLinks are the parts of an entry host that notice the loss of its links to targets and pass requests to other hosts
// meanwhile, and that serve the requests of others.
type entryLinks struct {
	entry    *entry
	detector *detector.Detector
	relayer  *relayer.Relayer
	sender   *sender.Sender
	acceptor *acceptor.Acceptor
	// listening says that the settings name an address for the requests of other hosts.
	listening bool
	// handler serves a request of another host.
	handler func(context.Context, *acceptor.Request) *acceptor.Answer

	mu      sync.Mutex
	hostsAt uint64
	hosts   []relayer.Host
}

func newEntryLinks(e *entry) *entryLinks {
	s := e.d.settings
	l := &entryLinks{
		entry:  e,
		sender: sender.New(nil, sender.WithMemory(&e.memory.answers), sender.WithLink(e.d.link)),
	}
	sign := signer.New(s.Keys.System)
	l.relayer = relayer.New(relayer.Options{
		Hosts:      l.otherHosts,
		DataCentre: s.DataCentre,
		Sender:     l.sender,
		Signer:     sign,
		Log:        e.d.log,
	})
	l.detector = detector.New(detector.Options{
		Sample:   l.sample,
		Dial:     e.d.dialTarget,
		OnChange: l.changed,
		Log:      e.d.log,
	})
	l.acceptor = &acceptor.Acceptor{
		Handler: &receiver.Receiver{
			Signer: sign,
			Ready:  l.ready,
			Serve: func(ctx context.Context, r *acceptor.Request) *acceptor.Answer {
				return l.handler(ctx, r)
			},
		},
		Limits: l.limits,
		Memory: &e.memory.bodies,
		Link:   e.d.link,
	}
	return l
}

// listen begins to serve the requests of other hosts, if the settings name an address for them.
func (l *entryLinks) listen() error {
	addr := l.entry.d.settings.Listen.Peer
	if !addr.IsValid() {
		return nil
	}
	ln, err := net.Listen("tcp", addr.String())
	if err != nil {
		return errors.Wrap(err, "peer address")
	}
	l.acceptor.Start(ln)
	l.listening = true
	return nil
}

// ready reports whether this host can serve the requests of others.
func (l *entryLinks) ready() bool {
	v, _ := l.entry.currentView()
	return v != nil && v.Table != nil && !l.entry.d.stopping.Load() && !l.detector.Lost()
}

// limits returns the limits of callers, which other hosts have checked, with room for the headers between hosts.
func (l *entryLinks) limits() matcher.Limits {
	m := l.entry.currentLimits()
	if m.HeaderBytes > 0 {
		m.HeaderBytes += relayHeaderBytes
	}
	m.IdleTimeout = relayIdleTime
	return m
}

// changed begins to pass requests on when links are lost, and ends it when they have returned. Connections that were idle
// through the loss may be dead, and the failures in it are not those of targets.
func (l *entryLinks) changed(lost bool) {
	l.entry.sender.CloseIdle()
	if lost {
		l.relayer.Start()
		return
	}
	l.relayer.Stop()
	l.entry.selector.ForgetFailures()
}

// sample returns up to n targets that do not drain, localSample of them of this host's data centre if it has as many.
func (l *entryLinks) sample(n int) []netip.AddrPort {
	v, _ := l.entry.currentView()
	local, remote := v.Addrs(l.entry.d.settings.DataCentre)
	rand.Shuffle(len(local), func(i, j int) { local[i], local[j] = local[j], local[i] })
	rand.Shuffle(len(remote), func(i, j int) { remote[i], remote[j] = remote[j], remote[i] })
	fromLocal := min(len(local), max(localSample, n-len(remote)), n)
	fromRemote := min(len(remote), n-fromLocal)
	return append(local[:fromLocal:fromLocal], remote[:fromRemote]...)
}

// otherHosts returns the entry hosts of this host's region, without this host.
func (l *entryLinks) otherHosts() []relayer.Host {
	st := l.entry.d.source.State()
	s := l.entry.d.settings
	l.mu.Lock()
	defer l.mu.Unlock()
	if st.HostsIndex != l.hostsAt || l.hosts == nil {
		l.hostsAt, l.hosts = st.HostsIndex, nil
		for name, h := range st.Hosts {
			if h.Control || name == s.Name || !h.Peer.IsValid() || !sameRegion(s.Direct, h.DataCentre) {
				continue
			}
			l.hosts = append(l.hosts, relayer.Host{
				Name:       name,
				Addr:       h.Peer,
				DataCentre: h.DataCentre,
			})
		}
	}
	return append([]relayer.Host(nil), l.hosts...)
}

// sameRegion reports whether bodies may go to a data centre: it is in the region of this host, or no regions are set.
func sameRegion(s *settingsreader.Direct, dataCentre string) bool {
	return len(s.Regions) == 0 || s.Regions[dataCentre] == s.Region
}

// stop waits until the requests of other hosts are answered.
func (l *entryLinks) stop(ctx context.Context) {
	if l.listening {
		_ = l.acceptor.Finish(ctx)
	}
	l.detector.Close()
	l.relayer.Close()
	l.sender.Close()
}
