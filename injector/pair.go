package injector

import (
	"bytes"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// chunkBytes is the greatest size of a read, and queueLength the greatest number of queued chunks in one direction.
// Together they bound the memory of a connection.
const (
	chunkBytes  = 16 << 10
	queueLength = 64
)

// pair is one proxied connection: that of the client to the link, and that of the link to the server.
type pair struct {
	link   *link
	client *net.TCPConn
	server *net.TCPConn
	// done is closed when the connection ends.
	done chan struct{}
	once sync.Once
}

// chunk is a piece of data in transit, read at readAt; nil data stands for the end of the stream.
type chunk struct {
	data   []byte
	readAt time.Time
	// reset says that the stream ended with a reset.
	reset bool
}

// run passes bytes in both directions until the connection ends.
func (p *pair) run() {
	var wg sync.WaitGroup
	wg.Add(2)
	go func() {
		defer wg.Done()
		p.relay(p.client, p.server, &p.link.forward)
	}()
	go func() {
		defer wg.Done()
		p.relay(p.server, p.client, &p.link.backward)
	}()
	wg.Wait()
	p.once.Do(func() {
		close(p.done)
		_ = p.client.Close()
		_ = p.server.Close()
	})
}

// abort resets the connections of both sides.
func (p *pair) abort() {
	p.once.Do(func() {
		close(p.done)
		abort(p.client)
		abort(p.server)
	})
}

// relay copies the bytes of one direction and applies its fault to them, until the connection ends.
func (p *pair) relay(from, to *net.TCPConn, fault *atomic.Pointer[Fault]) {
	queue := make(chan chunk, queueLength)
	go func() {
		defer close(queue)
		buf := make([]byte, chunkBytes)
		for {
			n, err := from.Read(buf)
			c := chunk{
				data:   bytes.Clone(buf[:n]),
				readAt: time.Now(),
			}
			if n > 0 && !p.enqueue(queue, c) {
				return
			}
			if err != nil {
				p.enqueue(queue, chunk{
					readAt: c.readAt,
					reset:  err != io.EOF,
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
		// Drains the queue until the reader ends, which it does once its connection is closed.
	}
}

// enqueue queues c. It returns false if the connection has ended.
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
	// truncation is the fault whose TruncateAfter is in force, written the number of bytes written since it was first
	// seen.
	truncation *Fault
	written    int64
}

// deliver applies the fault of the direction to one chunk and writes the chunk. It returns false if the connection has
// to be reset.
func (d *delivery) deliver(c chunk) bool {
	if !d.waitUntil(c.readAt.Add(d.fault.Load().Delay)) {
		return false
	}
	f := d.fault.Load()
	for f.Hold && !f.Cut {
		change := d.p.link.nextChange()
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
		if !d.waitUntil(time.Now().Add(pause)) {
			return false
		}
	}
	return d.write(f, c.data)
}

// write writes data up to the limit of f.TruncateAfter. It returns false if the connection has to be reset.
func (d *delivery) write(f *Fault, data []byte) bool {
	if f.TruncateAfter == 0 {
		_, err := d.to.Write(data)
		return err == nil
	}
	if d.truncation != f {
		d.truncation = f
		d.written = 0
	}
	remaining := f.TruncateAfter - d.written
	if int64(len(data)) < remaining {
		d.written += int64(len(data))
		_, err := d.to.Write(data)
		return err == nil
	}
	_, _ = d.to.Write(data[:remaining])
	// An orderly close is the harder case: only the length of the message shows that the rest is missing.
	_ = d.to.CloseWrite()
	_ = d.waitUntil(time.Now().Add(time.Millisecond))
	return false
}

// waitUntil sleeps until the given time. It returns false if the connection has ended.
func (d *delivery) waitUntil(until time.Time) bool {
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
