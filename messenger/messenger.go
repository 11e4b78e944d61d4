// Package messenger is an RPC client and server for calls between the system's own processes: net/rpc with mutual
// authentication, deadlines and optional TLS.
//
// net/rpc has neither deadlines nor cancellation, and a call on a connection that broke without a reset would wait
// forever. So every call ends with its context, and if nothing was read from the connection since the start of a call
// that timed out, the connection is closed.
package messenger

import (
	"context"
	"crypto/tls"
	"expvar"
	"net"
	"net/netip"
	"net/rpc"
	"sync"
	"time"

	"github.com/pkg/errors"
)

const (
	// dialTimeout bounds the set-up of a connection with TLS and authentication, which takes about 1 ms between data
	// centres.
	dialTimeout = 500 * time.Millisecond
	// idleTimeout bounds each read and write; a connection on which one takes longer is closed.
	idleTimeout = 30 * time.Second
	// redialBackoff is the time after a failed dial in which calls fail at once, so that callers do not dial an
	// unreachable host in a tight loop. It is also the pause after a failed Accept.
	redialBackoff = 50 * time.Millisecond
)

var (
	// ErrTimeout reports a call without an answer, because its context ended or its connection broke. The call may have
	// run.
	ErrTimeout = errors.New("call timed out")
	// ErrUnreachable reports that no connection could be made. The call did not run.
	ErrUnreachable = errors.New("host is unreachable")
	// ErrAuthentication reports a peer that does not have the system key.
	ErrAuthentication = errors.New("peer does not have the system key")
)

var counters = expvar.NewMap("messenger")

// Messenger is an RPC client that keeps one connection to each address. Its zero value works without TLS and with an
// empty key. It is safe for concurrent use.
type Messenger struct {
	// Key is the system key, with which both sides of a connection authenticate each other.
	Key []byte
	// TLS is the client's TLS configuration; nil means plain TCP.
	TLS *tls.Config
	// Dial opens the connections; nil means a plain net.Dialer. Tests and hosts behind address translation set it.
	Dial func(ctx context.Context, network, addr string) (net.Conn, error)
	// Written is called with the number of bytes after each write to a connection; it may be nil.
	Written func(n int)

	mu     sync.Mutex
	links  map[netip.AddrPort]*link
	closed bool
}

// link is the connection to one address. Calls open it when there is none.
type link struct {
	// dialing holds a value while a call opens the connection.
	dialing chan struct{}

	mu sync.Mutex
	// client and conn are nil while there is no connection.
	client *rpc.Client
	conn   *watchedConn
	// dialFailedAt is the time of the last failed dial.
	dialFailedAt time.Time
}

// CallLarge is Call for an answer that may take long to arrive, since it is large or the link is congested. If nothing is read from
// the connection for stallTimeout, stalled is called once and later calls open another connection. The call itself goes on until ctx
// ends: its answer may be queued on the link, and a new connection would have to pass the same queue. If it succeeds after all, its
// connection is used again.
func (m *Messenger) CallLarge(
	ctx context.Context, addr netip.AddrPort, stallTimeout time.Duration, stalled func(), method string, args, reply any,
) error {
	p, err := m.start(ctx, addr, method, args, reply)
	if err != nil {
		return err
	}
	active := p.started
	timer := time.NewTimer(stallTimeout)
	defer timer.Stop()
	detached := false
	for {
		select {
		case <-p.call.Done:
			err := p.result(addr, method)
			if err == nil && detached {
				// Another call may be dialling, for which the answer does not wait.
				go m.restore(p)
			}
			return err
		case <-timer.C:
			if last := p.conn.lastRead(); last.After(active) {
				active = last
			}
			if remaining := stallTimeout - time.Since(active); remaining > 0 {
				timer.Reset(remaining)
				continue
			}
			counters.Add("stalls", 1)
			p.link.detach(p.client)
			detached = true
			stalled()
		case <-ctx.Done():
			counters.Add("timeouts", 1)
			p.link.drop(p.client)
			return errors.Wrapf(ErrTimeout, "%s at %s", method, addr)
		}
	}
}

// Call calls method at addr and waits for the answer until ctx ends. Its errors are ErrUnreachable, ErrTimeout,
// ErrAuthentication and the error that the method returned, as a net/rpc ServerError.
func (m *Messenger) Call(ctx context.Context, addr netip.AddrPort, method string, args, reply any) error {
	p, err := m.start(ctx, addr, method, args, reply)
	if err != nil {
		return err
	}
	select {
	case <-p.call.Done:
		return p.result(addr, method)
	case <-ctx.Done():
		counters.Add("timeouts", 1)
		if p.conn.lastRead().Before(p.started) {
			p.link.drop(p.client)
		}
		return errors.Wrapf(ErrTimeout, "%s at %s", method, addr)
	}
}

// pending is a call in progress.
type pending struct {
	link    *link
	client  *rpc.Client
	conn    *watchedConn
	call    *rpc.Call
	started time.Time
}

// start begins a call at addr, over the connection of its link.
func (m *Messenger) start(ctx context.Context, addr netip.AddrPort, method string, args, reply any) (*pending, error) {
	l, err := m.link(addr)
	if err != nil {
		return nil, err
	}
	client, conn, err := l.connect(ctx, m, addr)
	if err != nil {
		counters.Add("dialErrors", 1)
		return nil, err
	}
	started := time.Now()
	counters.Add("calls", 1)
	return &pending{
		link:    l,
		client:  client,
		conn:    conn,
		call:    client.Go(method, args, reply, make(chan *rpc.Call, 1)),
		started: started,
	}, nil
}

// result returns the error of a call that is done. It closes the connection unless the method itself has returned the error.
func (p *pending) result(addr netip.AddrPort, method string) error {
	if p.call.Error == nil {
		return nil
	}
	if _, ok := p.call.Error.(rpc.ServerError); ok {
		return p.call.Error
	}
	p.link.drop(p.client)
	return errors.Wrapf(ErrTimeout, "%s at %s: %v", method, addr, p.call.Error)
}

// Close closes all connections. Calls in progress fail.
func (m *Messenger) Close() error {
	m.mu.Lock()
	m.closed = true
	links := m.links
	m.links = nil
	m.mu.Unlock()
	for _, l := range links {
		l.mu.Lock()
		client := l.client
		l.mu.Unlock()
		l.drop(client)
	}
	return nil
}

func (m *Messenger) isClosed() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.closed
}

// link returns the link to addr, and makes one if there is none.
func (m *Messenger) link(addr netip.AddrPort) (*link, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.closed {
		return nil, errors.Wrap(ErrUnreachable, "messenger is closed")
	}
	if m.links == nil {
		m.links = make(map[netip.AddrPort]*link)
	}
	l, ok := m.links[addr]
	if !ok {
		l = &link{
			dialing: make(chan struct{}, 1),
		}
		m.links[addr] = l
	}
	return l, nil
}

// connect returns the connection of l, and opens one if there is none. While another call opens one, it waits for that until ctx ends.
func (l *link) connect(ctx context.Context, m *Messenger, addr netip.AddrPort) (*rpc.Client, *watchedConn, error) {
	client, conn, _ := l.current()
	if client != nil {
		return client, conn, nil
	}
	select {
	case l.dialing <- struct{}{}:
		defer func() { <-l.dialing }()
	case <-ctx.Done():
		return nil, nil, errors.Wrapf(ErrUnreachable, "dial of %s takes long", addr)
	}
	client, conn, dialFailedAt := l.current()
	if client != nil {
		return client, conn, nil
	}
	if time.Since(dialFailedAt) < redialBackoff {
		return nil, nil, errors.Wrapf(ErrUnreachable, "dial of %s failed less than %s ago", addr, redialBackoff)
	}
	conn, err := m.dial(ctx, addr)
	l.mu.Lock()
	defer l.mu.Unlock()
	if err != nil {
		l.dialFailedAt = time.Now()
		return nil, nil, err
	}
	switch {
	case m.isClosed():
		_ = conn.Close()
		return nil, nil, errors.Wrap(ErrUnreachable, "messenger is closed")
	case l.client != nil:
		// A detached connection was restored meanwhile.
		_ = conn.Close()
	default:
		l.client, l.conn = rpc.NewClient(conn), conn
	}
	return l.client, l.conn, nil
}

// current returns the connection, nil if there is none, and the time of the last failed dial.
func (l *link) current() (*rpc.Client, *watchedConn, time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.client, l.conn, l.dialFailedAt
}

// drop closes client, so that the next call opens a new connection.
func (l *link) drop(client *rpc.Client) {
	if client == nil {
		return
	}
	l.mu.Lock()
	if l.client == client {
		l.client = nil
		l.conn = nil
	}
	l.mu.Unlock()
	_ = client.Close()
}

// detach leaves client open but makes the next call open a new connection.
func (l *link) detach(client *rpc.Client) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.client == client {
		l.client, l.conn = nil, nil
	}
}

// restore makes the connection of p, which was detached, that for the next calls, unless there is another one or m is closed. It is
// closed then.
func (m *Messenger) restore(p *pending) {
	p.link.mu.Lock()
	defer p.link.mu.Unlock()
	if m.isClosed() || p.link.client != nil {
		_ = p.client.Close()
		return
	}
	p.link.client, p.link.conn = p.client, p.conn
}

// dial opens and authenticates a connection to addr.
func (m *Messenger) dial(ctx context.Context, addr netip.AddrPort) (*watchedConn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	dial := m.Dial
	if dial == nil {
		d := net.Dialer{}
		dial = d.DialContext
	}
	conn, err := dial(ctx, "tcp", addr.String())
	if err != nil {
		return nil, errors.Wrapf(ErrUnreachable, "%s: %v", addr, err)
	}
	if m.TLS != nil {
		conn = tls.Client(conn, m.TLS)
	}
	deadline, _ := ctx.Deadline()
	_ = conn.SetDeadline(deadline)
	if err := authenticateClient(conn, m.Key); err != nil {
		_ = conn.Close()
		return nil, errors.Wrapf(err, "%s", addr)
	}
	_ = conn.SetDeadline(time.Time{})
	watched := newWatchedConn(conn)
	watched.written = m.Written
	return watched, nil
}
