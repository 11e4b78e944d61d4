// Package messenger carries messages between the system's own processes: net/rpc with authentication, deadlines and
// optional TLS.
//
// net/rpc has neither deadlines nor cancellation, and a call on a connection that was cut silently would wait for ever.
// So every call takes its deadline from the context, and a connection from which nothing was read while a call timed
// out is closed.
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
	// dialTimeout bounds the set-up of a connection, which costs about 1 ms between data centres.
	dialTimeout = 500 * time.Millisecond
	// idleTimeout closes a connection on which nothing was read or written.
	idleTimeout = 30 * time.Second
	// redialWait keeps callers from dialling an unreachable host in a tight loop.
	redialWait = 50 * time.Millisecond
)

var (
	// ErrTimeout reports a call without an answer by its deadline. The call may have run.
	ErrTimeout = errors.New("call timed out")
	// ErrUnreachable reports that no connection could be made. The call did not run.
	ErrUnreachable = errors.New("host is unreachable")
	// ErrAuthentication reports a peer without the system's key.
	ErrAuthentication = errors.New("peer does not have the system key")
)

var counters = expvar.NewMap("messenger")

// Messenger makes calls to other processes, over one connection to each address. Its zero value works without TLS and
// with an empty key. It is safe for concurrent use.
type Messenger struct {
	// Key authenticates both sides of a connection.
	Key []byte
	// TLS is the client's configuration; nil means plain TCP.
	TLS *tls.Config
	// Dial makes the connections; nil means a plain net.Dialer. Tests and hosts behind address translation set it.
	Dial func(ctx context.Context, network, addr string) (net.Conn, error)

	mu     sync.Mutex
	links  map[netip.AddrPort]*link
	closed bool
}

// link is the connection to one address.
type link struct {
	mu       sync.Mutex
	client   *rpc.Client
	conn     *watchedConn
	failedAt time.Time
}

// CallLarge is Call for an answer that may take long to arrive: it also ends, with ErrTimeout, when nothing was read from
// the connection for stall.
func (m *Messenger) CallLarge(ctx context.Context, addr netip.AddrPort, stall time.Duration, method string, args, reply any) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go m.cancelStalled(ctx, cancel, addr, stall)
	return m.Call(ctx, addr, method, args, reply)
}

// cancelStalled cancels a call when nothing was read from addr for stall. It wakes up only when that may be so.
func (m *Messenger) cancelStalled(ctx context.Context, cancel context.CancelFunc, addr netip.AddrPort, stall time.Duration) {
	since := time.Now()
	timer := time.NewTimer(stall)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
		if last := m.lastRead(addr); last.After(since) {
			since = last
		}
		rest := stall - time.Since(since)
		if rest <= 0 {
			cancel()
			return
		}
		timer.Reset(rest)
	}
}

// lastRead returns when anything was read from the connection to addr, the zero time if there is none.
func (m *Messenger) lastRead(addr netip.AddrPort) time.Time {
	m.mu.Lock()
	l, ok := m.links[addr]
	m.mu.Unlock()
	if !ok {
		return time.Time{}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conn == nil {
		return time.Time{}
	}
	return l.conn.lastRead()
}

// Call runs method at addr and waits for its answer until ctx ends. Its errors are ErrUnreachable, ErrTimeout,
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

func (l *link) connect(ctx context.Context, m *Messenger, addr netip.AddrPort) (*rpc.Client, *watchedConn, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.client != nil {
		return l.client, l.conn, nil
	}
	if time.Since(l.failedAt) < redialWait {
		return nil, nil, errors.Wrapf(ErrUnreachable, "%s failed less than %s ago", addr, redialWait)
	}
	conn, err := m.dial(ctx, addr)
	if err != nil {
		l.failedAt = time.Now()
		return nil, nil, err
	}
	l.conn = conn
	l.client = rpc.NewClient(conn)
	return l.client, l.conn, nil
}

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
	return newWatchedConn(conn), nil
}
