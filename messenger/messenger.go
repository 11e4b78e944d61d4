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
	l, err := m.link(addr)
	if err != nil {
		return err
	}
	client, conn, err := l.connect(ctx, m, addr)
	if err != nil {
		counters.Add("dialErrors", 1)
		return err
	}
	active := time.Now()
	call := client.Go(method, args, reply, make(chan *rpc.Call, 1))
	counters.Add("calls", 1)
	timer := time.NewTimer(stallTimeout)
	defer timer.Stop()
	detached := false
	for {
		select {
		case <-call.Done:
			if call.Error == nil {
				if detached {
					// Another call may be dialling, for which the answer does not wait.
					go m.restore(l, client, conn)
				}
				return nil
			}
			if _, ok := call.Error.(rpc.ServerError); !ok {
				l.drop(client)
				return errors.Wrapf(ErrTimeout, "%s at %s: %v", method, addr, call.Error)
			}
			return call.Error
		case <-timer.C:
			if last := conn.lastRead(); last.After(active) {
				active = last
			}
			if remaining := stallTimeout - time.Since(active); remaining > 0 {
				timer.Reset(remaining)
				continue
			}
			counters.Add("stalls", 1)
			l.detach(client)
			detached = true
			stalled()
		case <-ctx.Done():
			counters.Add("timeouts", 1)
			l.drop(client)
			return errors.Wrapf(ErrTimeout, "%s at %s", method, addr)
		}
	}
}

// Call calls method at addr and waits for the answer until ctx ends. Its errors are ErrUnreachable, ErrTimeout,
// ErrAuthentication and the error that the method returned, as a net/rpc ServerError.
func (m *Messenger) Call(ctx context.Context, addr netip.AddrPort, method string, args, reply any) error {
	l, err := m.link(addr)
	if err != nil {
		return err
	}
	client, conn, err := l.connect(ctx, m, addr)
	if err != nil {
		counters.Add("dialErrors", 1)
		return err
	}
	started := time.Now()
	call := client.Go(method, args, reply, make(chan *rpc.Call, 1))
	counters.Add("calls", 1)
	select {
	case <-call.Done:
		if call.Error == nil {
			return nil
		}
		if _, ok := call.Error.(rpc.ServerError); !ok {
			l.drop(client)
			return errors.Wrapf(ErrTimeout, "%s at %s: %v", method, addr, call.Error)
		}
		return call.Error
	case <-ctx.Done():
		counters.Add("timeouts", 1)
		if conn.lastRead().Before(started) {
			l.drop(client)
		}
		return errors.Wrapf(ErrTimeout, "%s at %s", method, addr)
	}
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
		l = &link{}
		m.links[addr] = l
	}
	return l, nil
}

// connect returns the connection of l, and opens one if there is none.
func (l *link) connect(ctx context.Context, m *Messenger, addr netip.AddrPort) (*rpc.Client, *watchedConn, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.client != nil {
		return l.client, l.conn, nil
	}
	if time.Since(l.dialFailedAt) < redialBackoff {
		return nil, nil, errors.Wrapf(ErrUnreachable, "dial of %s failed less than %s ago", addr, redialBackoff)
	}
	conn, err := m.dial(ctx, addr)
	if err != nil {
		l.dialFailedAt = time.Now()
		return nil, nil, err
	}
	l.conn = conn
	l.client = rpc.NewClient(conn)
	return l.client, l.conn, nil
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

// restore makes client, which was detached, the connection for the next calls of l, unless there is another one or m is closed. client
// is closed then.
func (m *Messenger) restore(l *link, client *rpc.Client, conn *watchedConn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	m.mu.Lock()
	closed := m.closed
	m.mu.Unlock()
	if closed || l.client != nil {
		_ = client.Close()
		return
	}
	l.client, l.conn = client, conn
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
