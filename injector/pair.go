package injector

import (
	"bytes"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// chunkBytes is the size of a read, and queueLength the number of chunks under way in one direction: together they
// bound the memory of a connection.
const (
	chunkBytes  = 16 << 10
	queueLength = 64
)

// pair is one proxied connection.
type pair struct {
	link   *link
	client *net.TCPConn
	server *net.TCPConn
	done   chan struct{}
	once   sync.Once
}

// chunk is a piece of data under way; nil data stands for the end of the stream.
type chunk struct {
	data []byte
	at   time.Time
	// reset says that the stream ended with a reset.
	reset bool
}

// run passes bytes in both directions until the connection ends.
func (p *pair) run() {
	var wg sync.WaitGroup
	wg.Add(2)
	go func() {
		defer wg.Done()
		p.pass(p.client, p.server, &p.link.forward)
	}()
	go func() {
		defer wg.Done()
		p.pass(p.server, p.client, &p.link.back)
	}()
	wg.Wait()
	p.once.Do(func() {
		close(p.done)
		_ = p.client.Close()
		_ = p.server.Close()
	})
}

// abort resets both sides.
func (p *pair) abort() {
	p.once.Do(func() {
		close(p.done)
		abort(p.client)
		abort(p.server)
	})
}

// pass reads from one side and delivers to the other after the delay.
func (p *pair) pass(from, to *net.TCPConn, fault *atomic.Pointer[Fault]) {
	queue := make(chan chunk, queueLength)
	go func() {
		defer close(queue)
		buf := make([]byte, chunkBytes)
		for {
			n, err := from.Read(buf)
			c := chunk{
				data: bytes.Clone(buf[:n]),
				at:   time.Now(),
			}
			if n > 0 && !p.enqueue(queue, c) {
				return
			}
			if err != nil {
				p.enqueue(queue, chunk{
					at:    c.at,
					reset: err != io.EOF,
				})
				return
			}
		}
	}()
	d := delivery{
		p:     p,
		to:    to,
		fault: fault,
	}
	for c := range queue {
		if !d.deliver(c) {
			p.abort()
			break
		}
	}
	for range queue {
		// The reader ends once its connection is closed.
	}
}

func (p *pair) enqueue(queue chan<- chunk, c chunk) bool {
	select {
	case queue <- c:
		return true
	case <-p.done:
		return false
	}
}

// delivery is the receiving end of one direction of a connection.
type delivery struct {
	p     *pair
	to    *net.TCPConn
	fault *atomic.Pointer[Fault]
	// lost says that a cut dropped bytes of this direction.
	lost bool
	// passed counts the bytes since truncated was first seen.
	truncated *Fault
	passed    int64
}

// deliver hands one chunk over, as the fault of the direction says. It returns false if the connection has to be reset.
func (d *delivery) deliver(c chunk) bool {
	if !d.wait(c.at.Add(d.fault.Load().Delay)) {
		return false
	}
	f := d.fault.Load()
	for f.Hold && !f.Cut {
		change := d.p.link.waitChange()
		if f = d.fault.Load(); !f.Hold {
			break
		}
		select {
		case <-change:
		case <-d.p.done:
			return false
		}
		f = d.fault.Load()
	}
	if f.Cut {
		d.lost = true
		return true
	}
	if d.lost {
		return false
	}
	if c.data == nil {
		if c.reset {
			return false
		}
		_ = d.to.CloseWrite()
		return true
	}
	if f.BytesPerSecond > 0 {
		pause := time.Duration(float64(len(c.data)) / float64(f.BytesPerSecond) * float64(time.Second))
		if !d.wait(time.Now().Add(pause)) {
			return false
		}
	}
	return d.write(f, c.data)
}

func (d *delivery) write(f *Fault, data []byte) bool {
	if f.TruncateAfter == 0 {
		_, err := d.to.Write(data)
		return err == nil
	}
	if d.truncated != f {
		d.truncated = f
		d.passed = 0
	}
	room := f.TruncateAfter - d.passed
	if int64(len(data)) < room {
		d.passed += int64(len(data))
		_, err := d.to.Write(data)
		return err == nil
	}
	_, _ = d.to.Write(data[:room])
	// An orderly close is the harder case: only the length of the message shows that the rest is missing.
	_ = d.to.CloseWrite()
	_ = d.wait(time.Now().Add(time.Millisecond))
	return false
}

func (d *delivery) wait(until time.Time) bool {
	wait := time.Until(until)
	if wait <= 0 {
		select {
		case <-d.p.done:
			return false
		default:
			return true
		}
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-d.p.done:
		return false
	}
}
