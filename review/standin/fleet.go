package main

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// The deployment: four zones with a core and a front machine each. The first three core machines are the seeds.
const (
	zones         = 4
	seeds         = 3
	memoryMB      = 284
	contactTime   = 3 * time.Second
	evacuateTime  = 5 * time.Second
	restartDelay  = 500 * time.Millisecond
	startTimeout  = 20 * time.Second
	pollInterval  = 50 * time.Millisecond
	portsOfAHost  = 5
	firstNodeAddr = 10
)

func zoneName(i int) string { return "zone-" + string(rune('a'+i%zones)) }

// settingsText is deploy/host.ini.tmpl with the values of a small deployment.
const settingsText = `[host]
name = %s
dataCentre = %s
roles = %s
dispatch = direct
dataFolder = %s
memory = %d
logFormat = logfmt

[listen]
caller = %s
ready = %s
control = %s
rpc = %s
metrics = %s

[direct]
seeds = %s
found = %t
hostLosses = 1
hold = 10000ms
drainTime = 2000ms
outTime = 5000ms
grace = 6s
retryShare = 0.2
retrySlack = 56
coldFactor = 1.5
coldSlack = 5
region = region-1
regions = zone-a=region-1,zone-b=region-1,zone-c=region-1,zone-d=region-1
`

// host is one process of the system.
type host struct {
	name    string
	zone    string
	ip      string
	control bool
	cmd     *exec.Cmd
	exited  chan struct{}
	started int
}

// fleet is all processes of the system, on loopback addresses.
type fleet struct {
	program  string
	folder   string
	rec      *record
	net      string
	ports    [portsOfAHost]int
	controls []*host
	entries  []*host
}

// newFleet chooses free loopback addresses and ports. It starts no process.
func newFleet(program string, rec *record) (*fleet, error) {
	folder, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	if program, err = filepath.Abs(program); err != nil {
		return nil, err
	}
	pid := os.Getpid()
	f := fleet{
		program: program,
		folder:  folder,
		rec:     rec,
		net:     fmt.Sprintf("127.%d.%d.", 1+pid/250%250, 1+pid%250),
	}
	for i := range f.ports {
		if f.ports[i], err = freePort(f.net + strconv.Itoa(firstNodeAddr)); err != nil {
			return nil, err
		}
	}
	for i := range zones {
		f.controls = append(f.controls, f.newHost("core", i, firstNodeAddr+i, true))
		f.entries = append(f.entries, f.newHost("front", i, firstNodeAddr+zones+i, false))
	}
	return &f, nil
}

func (f *fleet) newHost(class string, i, addr int, control bool) *host {
	return &host{
		name:    class + "-" + zoneName(i),
		zone:    zoneName(i),
		ip:      f.net + strconv.Itoa(addr),
		control: control,
	}
}

// freePort returns a port that is free at ip. All machines have the same ports, each at an address of its own.
func freePort(ip string) (int, error) {
	ln, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return 0, err
	}
	defer func() { _ = ln.Close() }()
	return ln.Addr().(*net.TCPAddr).Port, nil
}

func (f *fleet) addr(h *host, port int) string {
	return net.JoinHostPort(h.ip, strconv.Itoa(f.ports[port]))
}

// The ports of a host, as indexes of fleet.ports.
const (
	portFront = iota
	portReady
	portControl
	portRPC
	portMetrics
)

func (f *fleet) front(h *host) string   { return f.addr(h, portFront) }
func (f *fleet) control(h *host) string { return f.addr(h, portControl) }

// start starts the process of h with the command of the deploy file.
func (f *fleet) start(h *host) error {
	dir := filepath.Join(f.folder, h.name)
	data := ""
	role, caller, ready, control := "entry", f.addr(h, portFront), f.addr(h, portReady), ""
	if h.control {
		role, caller, ready, control = "control", "", "", f.addr(h, portControl)
		data = filepath.Join(dir, "data")
	}
	if err := os.MkdirAll(filepath.Join(dir, "data"), 0o700); err != nil {
		return err
	}
	var seedAddrs []string
	for _, c := range f.controls[:seeds] {
		seedAddrs = append(seedAddrs, f.addr(c, portControl))
	}
	file := filepath.Join(dir, "settings.ini")
	text := fmt.Sprintf(settingsText, h.name, h.zone, role, data, memoryMB, caller, ready, control, f.addr(h, portRPC),
		f.addr(h, portMetrics), strings.Join(seedAddrs, ","), h.started == 0)
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(dir, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	h.cmd = exec.Command(f.program, "serve", "-settings", file)
	h.cmd.Stdout, h.cmd.Stderr = log, log
	if err := h.cmd.Start(); err != nil {
		_ = log.Close()
		return err
	}
	cmd, exited := h.cmd, make(chan struct{})
	h.exited = exited
	h.started++
	go func() {
		// The error of Wait is the end by a signal, which the case itself sent.
		_ = cmd.Wait()
		_ = log.Close()
		close(exited)
	}()
	return nil
}

// startAll starts all processes, of which the system is made for the first time.
func (f *fleet) startAll() error {
	for _, h := range append(append([]*host(nil), f.controls...), f.entries...) {
		if err := f.start(h); err != nil {
			return err
		}
	}
	return nil
}

// signal sends s to the process of h.
func (f *fleet) signal(h *host, s syscall.Signal) {
	f.rec.printf("%s gets %v", h.name, s)
	_ = h.cmd.Process.Signal(s)
}

// close ends all processes and removes their folder.
func (f *fleet) close() {
	for _, h := range append(append([]*host(nil), f.controls...), f.entries...) {
		if h.cmd != nil {
			_ = h.cmd.Process.Signal(syscall.SIGCONT)
			_ = h.cmd.Process.Kill()
			<-h.exited
		}
	}
	_ = os.RemoveAll(f.folder)
}
