package acceptor

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"bramleyline.example/bramleyline/reserver"
)

// Guards against uploads that take all memory of the host together. Those that do not fit are refused, with the time after which
// to return, and all others go on.
func TestUploadsAreBoundedTogether(t *testing.T) {
	c := qt.New(t)
	const limit, size, uploads = 1 << 20, 256 << 10, 16
	memory := reserver.Reserver{
		Limit: limit,
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	a := Acceptor{
		Memory: &memory,
		Handler: handlerFunc(func(_ context.Context, r *Request) *Answer {
			n := 0
			for _, part := range r.Body {
				n += len(part)
			}
			return &Answer{
				Status: http.StatusOK,
				Body:   []byte(strconv.Itoa(n)),
			}
		}),
	}
	a.Start(ln)
	dial := func() (net.Conn, *bufio.Reader) {
		conn, err := net.Dial("tcp", ln.Addr().String())
		c.Assert(err, qt.IsNil)
		c.Cleanup(func() { _ = conn.Close() })
		return conn, bufio.NewReader(conn)
	}
	var mu sync.Mutex
	statuses := make(map[int]int)
	var wg sync.WaitGroup
	for i := range uploads {
		conn, br := dial()
		wg.Go(func() {
			framing := fmt.Sprintf("Content-Length: %d", size)
			if i%2 == 1 {
				framing = "Transfer-Encoding: chunked"
			}
			_, _ = io.WriteString(conn, "POST /1 HTTP/1.1\r\nHost: x\r\n"+framing+"\r\n\r\n")
			part := strings.Repeat("x", size/16)
			for range 16 {
				if i%2 == 1 {
					part = fmt.Sprintf("%x\r\n%s\r\n", size/16, strings.Repeat("x", size/16))
				}
				if _, err := io.WriteString(conn, part); err != nil {
					break
				}
				time.Sleep(20 * time.Millisecond)
			}
			if i%2 == 1 {
				_, _ = io.WriteString(conn, "0\r\n\r\n")
			}
			resp, err := http.ReadResponse(br, nil)
			if !c.Check(err, qt.IsNil) {
				return
			}
			b, _ := io.ReadAll(resp.Body)
			mu.Lock()
			defer mu.Unlock()
			statuses[resp.StatusCode]++
			if resp.StatusCode == http.StatusOK {
				c.Check(string(b), qt.Equals, strconv.Itoa(size))
				return
			}
			wait, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
			c.Check(err == nil && wait >= 1 && wait <= 2, qt.IsTrue)
		})
	}
	// Requests without a body go on meanwhile.
	small, br := dial()
	for range 30 {
		_, err := io.WriteString(small, "GET /1 HTTP/1.1\r\nHost: x\r\n\r\n")
		c.Assert(err, qt.IsNil)
		_, body := readAnswer(c, br)
		c.Assert(body, qt.Equals, "0")
		c.Assert(memory.Held() <= limit, qt.IsTrue)
		time.Sleep(10 * time.Millisecond)
	}
	wg.Wait()
	c.Assert(statuses[http.StatusOK] > 0 && statuses[http.StatusServiceUnavailable] > 0, qt.IsTrue, qt.Commentf("%v", statuses))
	c.Assert(statuses[http.StatusOK]+statuses[http.StatusServiceUnavailable], qt.Equals, uploads)

	// A body of which half cannot fit is refused before it is sent.
	conn, br := dial()
	_, err = io.WriteString(conn, fmt.Sprintf("POST /1 HTTP/1.1\r\nHost: x\r\nExpect: 100-continue\r\nContent-Length: %d\r\n\r\n", 2*limit+2))
	c.Assert(err, qt.IsNil)
	resp, _ := readAnswer(c, br)
	c.Assert(resp.StatusCode, qt.Equals, http.StatusServiceUnavailable)
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	c.Assert(a.Finish(ctx), qt.IsNil)
	c.Assert(memory.Held(), qt.Equals, int64(0))
}
