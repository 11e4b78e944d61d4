package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"syscall"
	"time"
)

const (
	// longFreeze is the length of the freeze, up to 7.6 s in the site file.
	longFreeze = 6 * time.Second
	// recoveryTime is recovery_s. The operator then reads for readTime, longer than contact_ms.
	recoveryTime = 15 * time.Second
	readTime     = 5 * time.Second
	logPoll      = 5 * time.Millisecond
	ackedVersion = "r7"
)

// playMembers plays: one core machine stands still, and the one that leads loses its disk meanwhile. When all are back, the
// configuration that was acknowledged must be read back.
func playMembers(ctx context.Context, f *fleet, trouble bool) (verdict, error) {
	if err := f.startAll(); err != nil {
		return verdict{}, err
	}
	o := newOperator(f)
	if err := o.configure(ctx); err != nil {
		return verdict{}, err
	}
	time.Sleep(2 * contactTime)
	if trouble {
		if err := f.loseLeader(); err != nil {
			return verdict{}, err
		}
	} else {
		time.Sleep(longFreeze)
	}
	time.Sleep(recoveryTime)
	reads, refused := 0, 0
	for end := time.Now().Add(readTime); time.Now().Before(end); time.Sleep(pollInterval) {
		h := f.controls[reads%len(f.controls)]
		reads++
		version, status := o.read(ctx, h)
		f.rec.printf("operator reads the configuration from %s: %d %s", h.name, status, version)
		switch {
		case status != http.StatusOK:
			refused++
		case version == ackedVersion:
			return verdict{
				text: fmt.Sprintf("CONFIG: %s is read back after %d reads", version, reads),
			}, nil
		default:
			return verdict{
				broken: true,
				text:   fmt.Sprintf("CONFIG: %s is read back, %s was acknowledged", version, ackedVersion),
			}, nil
		}
	}
	return verdict{
		broken: true,
		text: fmt.Sprintf("CONFIG: the configuration %s that was acknowledged doesn't come, in %d reads from %v on after all machines were back",
			ackedVersion, reads, recoveryTime),
	}, nil
}

// loseLeader freezes a core machine that votes and does not lead. When the leader has removed it from the group, the leader
// loses its disk. It returns when both are back.
func (f *fleet) loseLeader() error {
	leader, err := f.leader()
	if err != nil {
		return err
	}
	frozen := f.controls[0]
	if frozen == leader {
		frozen = f.controls[1]
	}
	before := f.logSize(leader)
	f.signal(frozen, syscall.SIGSTOP)
	thaw := time.Now().Add(longFreeze)
	removal := []byte("remove=host-" + frozen.ip)
	for !bytes.Contains(f.logFrom(leader, before), removal) {
		if time.Now().After(thaw) {
			f.signal(frozen, syscall.SIGCONT)
			return errors.New("the frozen machine was not removed")
		}
		time.Sleep(logPoll)
	}
	f.rec.printf("%s has removed %s", leader.name, frozen.name)
	f.signal(leader, syscall.SIGKILL)
	<-leader.exited
	if err := os.RemoveAll(filepath.Join(f.folder, leader.name, "data")); err != nil {
		return err
	}
	time.Sleep(restartDelay)
	f.rec.printf("%s starts with an empty disk", leader.name)
	if err := f.start(leader); err != nil {
		return err
	}
	time.Sleep(time.Until(thaw))
	f.signal(frozen, syscall.SIGCONT)
	return nil
}

// read reads the configuration from one node, and returns its version.
func (o *operator) read(ctx context.Context, h *host) (version string, status int) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+o.f.control(h)+"/config", nil)
	if err != nil {
		return "", 0
	}
	resp, err := o.client.Do(req)
	if err != nil {
		return "", 0
	}
	defer func() { _ = resp.Body.Close() }()
	var b struct {
		Version string `json:"version"`
	}
	if err := json.NewDecoder(resp.Body).Decode(&b); err != nil {
		return "", resp.StatusCode
	}
	return b.Version, resp.StatusCode
}

func (f *fleet) logSize(h *host) int { return len(f.logFrom(h, 0)) }

// logFrom returns what h has logged from an offset on.
func (f *fleet) logFrom(h *host, offset int) []byte {
	b, err := os.ReadFile(filepath.Join(f.folder, h.name, "log"))
	if err != nil || len(b) < offset {
		return nil
	}
	return b[offset:]
}

// leader returns the core machine that leads, by the last line of the logs that says so.
func (f *fleet) leader() (*host, error) {
	var found *host
	latest := ""
	for _, h := range f.controls {
		for line := range bytes.Lines(f.logFrom(h, 0)) {
			if !bytes.Contains(line, []byte("control leadership changed")) || !bytes.Contains(line, []byte("leading=true")) {
				continue
			}
			// Each line begins with its time.
			if at, _, _ := bytes.Cut(line, []byte(" ")); string(at) > latest {
				latest, found = string(at), h
			}
		}
	}
	if found == nil {
		return nil, errors.New("no core machine leads")
	}
	return found, nil
}
