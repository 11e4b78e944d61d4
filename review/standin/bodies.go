package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// bodyBytes is the size of an upload, a quarter of the max_body_bytes of the configuration.
	bodyBytes = 16 << 20
	// uploadRate is the number of bytes that a client sends in a second, so that all together stay below half of the link of
	// the machine, 1,000 Mbit/s.
	uploadRate = 2 << 20
	uploadTime = bodyBytes / uploadRate * time.Second
	chunkBytes = 64 << 10
	// calmUploads is the number of uploads at the same time on a calm day, burstUploads 1.7 times as many.
	calmUploads  = 16
	burstUploads = 27
	burstTime    = 3 * time.Second
	uploadWait   = 18 * time.Second
	keptClients  = 24
	workTime     = 400 * time.Millisecond
	// retryPause is the pause of a client after a connection that failed.
	retryPause = 100 * time.Millisecond
	// lostBound is the number of losses on kept connections that the rule allows.
	lostBound = 3
	kilobyte  = 1 << 10
)

// slowBody is a body of zeros that is sent at uploadRate.
type slowBody struct {
	began time.Time
	sent  int
}

func (s *slowBody) Read(b []byte) (int, error) {
	if s.sent == bodyBytes {
		return 0, io.EOF
	}
	n := min(len(b), chunkBytes, bodyBytes-s.sent)
	clear(b[:n])
	s.sent += n
	time.Sleep(time.Until(s.began.Add(time.Duration(s.sent) * time.Second / uploadRate)))
	return n, nil
}

// playBodies plays: some clients send small requests over kept connections, others upload long bodies, all to one front
// machine. In the burst, more clients upload at the same time. Like the platform, it kills a process that uses more than
// memory_mb.
func playBodies(ctx context.Context, f *fleet, trouble bool) (verdict, error) {
	var mu sync.Mutex
	ran := make(map[string]bool)
	for i := range 2 * zones {
		u := &upstream{
			f:       f,
			id:      "i-" + strconv.Itoa(i),
			service: plainService,
			zone:    zoneName(i),
			addr:    net.JoinHostPort(f.net+"200", "0"),
			work:    workTime,
			onRun: func(u *upstream, id string) {
				mu.Lock()
				defer mu.Unlock()
				ran[id] = true
				f.rec.printf("%s runs %s", u.id, id)
			},
		}
		if err := u.start(); err != nil {
			return verdict{}, err
		}
		defer u.crash()
	}
	if err := f.startAll(); err != nil {
		return verdict{}, err
	}
	o := newOperator(f)
	if err := o.configure(ctx); err != nil {
		return verdict{}, err
	}
	h := f.entries[0]
	w := memoryWatch{
		f: f,
		h: h,
	}
	watched, stopWatch := context.WithCancel(ctx)
	var watching sync.WaitGroup
	watching.Go(func() { w.run(watched) })
	defer watching.Wait()
	defer stopWatch()
	time.Sleep(contactTime)

	clients, stop := context.WithCancel(ctx)
	defer stop()
	var kept, uploads sync.WaitGroup
	lost := 0
	for range keptClients {
		kept.Go(func() {
			client := &http.Client{
				Transport: &http.Transport{},
			}
			// n counts the requests on the connection that is kept.
			for n := 0; clients.Err() == nil; n++ {
				id, status, err := send(ctx, client, f.front(h), http.MethodPost, "/store/x", "", 10*time.Second)
				f.rec.printf("client sent %s: %d %v", id, status, err)
				if err == nil {
					continue
				}
				mu.Lock()
				if n > 0 && ran[id] {
					lost++
				}
				mu.Unlock()
				n = -1
				time.Sleep(retryPause)
			}
		})
	}
	// upload sends one body after the other until the time until.
	upload := func(until time.Time) {
		uploads.Go(func() {
			client := &http.Client{
				Transport: &http.Transport{},
			}
			for time.Now().Before(until) {
				body := &slowBody{
					began: time.Now(),
				}
				id, status, err := sendLength(ctx, client, f.front(h), "/store/body", body, bodyBytes)
				f.rec.printf("client uploaded %d of %d bytes as %s: %d %v", body.sent, bodyBytes, id, status, err)
				if err != nil {
					time.Sleep(retryPause)
				}
			}
		})
	}
	end := time.Now().Add(2 * uploadTime)
	for range calmUploads {
		upload(end)
		time.Sleep(uploadTime / calmUploads)
	}
	time.Sleep(burstTime)
	if trouble {
		f.rec.printf("burst: %d uploads at the same time instead of %d", burstUploads, calmUploads)
		for range burstUploads - calmUploads {
			upload(time.Now().Add(burstTime))
		}
	}
	uploads.Wait()
	stop()
	kept.Wait()
	mu.Lock()
	defer mu.Unlock()
	return verdict{
		broken: lost > lostBound,
		text: fmt.Sprintf("LOST: %d requests of kept connections ran and got no answer; peak memory %d MB of %d, ends for lack of memory %d",
			lost, w.peak.Load()/kilobyte, memoryMB, w.kills.Load()),
	}, nil
}

// memoryWatch does what the platform does about the memory of one process.
type memoryWatch struct {
	f     *fleet
	h     *host
	peak  atomic.Int64
	kills atomic.Int64
}

// run kills the process when it uses more than its memory, and starts it again after a short delay.
func (w *memoryWatch) run(ctx context.Context) {
	for ctx.Err() == nil {
		used := residentKB(w.h.cmd.Process.Pid)
		w.peak.Store(max(used, w.peak.Load()))
		if used > memoryMB*kilobyte {
			w.f.rec.printf("%s uses %d MB of %d and is killed", w.h.name, used/kilobyte, memoryMB)
			w.kills.Add(1)
			w.f.signal(w.h, syscall.SIGKILL)
			<-w.h.exited
			time.Sleep(restartDelay)
			if err := w.f.start(w.h); err != nil {
				w.f.rec.printf("%s does not start again: %v", w.h.name, err)
				return
			}
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// residentKB returns the resident memory of a process that is not a file's.
func residentKB(pid int) int64 {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.SplitSeq(string(b), "\n") {
		if rest, ok := strings.CutPrefix(line, "RssAnon:"); ok {
			n, _ := strconv.ParseInt(strings.Fields(rest)[0], 10, 64)
			return n
		}
	}
	return 0
}
