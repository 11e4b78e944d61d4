package soaker

import (
	"fmt"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"bramleyline.example/bramleyline/injector"
)

const (
	// dataCentres is the number of data centres; hosts and targets take turns in them.
	dataCentres = 4
	// seeds is the number of control hosts that each host is told of.
	seeds = 3
	// The ports of all hosts; each host has an address of its own.
	callerPort  = 7801
	readyPort   = 7802
	controlPort = 7803
	rpcPort     = 7804
	// grace is the time from SIGTERM to SIGKILL.
	grace = 5 * time.Second
)

func dataCentreName(i int) string { return string(rune('a' + i%dataCentres)) }

func hostName(i int) string {
	if i < controlHosts {
		return fmt.Sprintf("%sc%d", dataCentreName(i), i)
	}
	return fmt.Sprintf("%se%d", dataCentreName(i), i-controlHosts)
}

func targetName(i int) string { return fmt.Sprintf("%st%d", dataCentreName(i), i) }

// host is one host as a process of its own.
type host struct {
	name    string
	control bool
	addr    netip.Addr
	folder  string
	// translation has the links to control hosts, as the settings name them.
	translation []string

	mu     sync.Mutex
	cmd    *exec.Cmd
	exited chan struct{}
	began  bool
}

// fleet is the processes of a run and the links between them.
type fleet struct {
	binary string
	folder string
	net    *injector.Injector
	hosts  []*host
	// entries and controls have the addresses of links from outside.
	entries  []string
	controls []string
}

// fleets counts the fleets of this process, each of which has a block of loopback addresses of its own.
var fleets atomic.Uint32

// newFleet prepares settings and links; no process runs yet.
func newFleet(binary, folder string, entries int) (*fleet, error) {
	f := fleet{
		binary: binary,
		folder: folder,
		net:    &injector.Injector{},
	}
	block := os.Getpid() + int(fleets.Add(1))
	for i := range controlHosts + entries {
		f.hosts = append(f.hosts, &host{
			name:    hostName(i),
			control: i < controlHosts,
			addr:    netip.AddrFrom4([4]byte{127, byte(1 + block/250%250), byte(1 + block%250), byte(1 + i)}),
			folder:  filepath.Join(folder, hostName(i)),
		})
	}
	for _, h := range f.hosts {
		if err := f.outside(h); err != nil {
			return nil, err
		}
		if err := f.connect(h); err != nil {
			return nil, err
		}
	}
	return &f, nil
}

func anyPort() netip.AddrPort { return netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), 0) }

// outside opens the links by which callers, targets and operators reach h.
func (f *fleet) outside(h *host) error {
	port, list := uint16(callerPort), &f.entries
	if h.control {
		port, list = controlPort, &f.controls
	}
	addr, err := f.net.Open("outside", h.name, anyPort(), netip.AddrPortFrom(h.addr, port))
	if err != nil {
		return errors.Wrap(err, "link from outside")
	}
	*list = append(*list, "http://"+addr.String())
	return nil
}

// connect opens the links by which h reaches the control hosts.
func (f *fleet) connect(h *host) error {
	for _, o := range f.hosts[:controlHosts] {
		if o == h {
			continue
		}
		rpc := netip.AddrPortFrom(o.addr, rpcPort)
		link, err := f.net.Open(h.name, o.name, anyPort(), rpc)
		if err != nil {
			return errors.Wrap(err, "link between hosts")
		}
		h.translation = append(h.translation, rpc.String()+">"+link.String())
	}
	return nil
}

// writeSettings writes the settings file of h. Only the first start finds a system that does not exist yet.
func (f *fleet) writeSettings(h *host) error {
	var seedAddrs []string
	for _, o := range f.hosts[:seeds] {
		seedAddrs = append(seedAddrs, netip.AddrPortFrom(o.addr, controlPort).String())
	}
	role, listen := "entry", fmt.Sprintf("caller = %s:%d\nready = %s:%d", h.addr, callerPort, h.addr, readyPort)
	if h.control {
		role = "control\ndataFolder = " + h.data()
		listen = fmt.Sprintf("control = %s:%d", h.addr, controlPort)
	}
	if err := os.MkdirAll(h.data(), 0o700); err != nil {
		return errors.Wrap(err, "data folder")
	}
	text := fmt.Sprintf(`[host]
name = %s
dataCentre = %s
roles = %s
dispatch = direct
logFormat = logfmt

[listen]
%s
rpc = %s:%d

[direct]
seeds = %s
found = %t
hostLosses = 1
drainTime = %s
grace = %s
retryShare = 0.2
retrySlack = 50

[network]
translation = %s
`, h.name, h.name[:1], role, listen, h.addr, rpcPort, strings.Join(seedAddrs, ", "), !h.began, drainTime, grace,
		strings.Join(h.translation, ", "))
	return errors.Wrap(os.WriteFile(h.file(), []byte(text), 0o600), "settings")
}

func (h *host) data() string { return filepath.Join(h.folder, "data") }

func (h *host) file() string { return filepath.Join(h.folder, "host.ini") }

// start runs the process of h, which appends to its log.
func (f *fleet) start(h *host) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	log, err := os.OpenFile(filepath.Join(f.folder, h.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return errors.Wrap(err, "log")
	}
	if err := f.writeSettings(h); err != nil {
		_ = log.Close()
		return err
	}
	cmd := exec.Command(f.binary, "serve", "-settings", h.file())
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		_ = log.Close()
		return errors.Wrap(err, "start "+h.name)
	}
	exited := make(chan struct{})
	go func() {
		// A process that was killed ends with an error; why it ended is in its log.
		_ = cmd.Wait()
		_ = log.Close()
		close(exited)
	}()
	h.cmd, h.exited = cmd, exited
	h.began = true
	return nil
}

// signal sends s to the process of h, if it runs.
func (h *host) signal(s syscall.Signal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.cmd != nil {
		// A process that has just ended cannot be signalled.
		_ = h.cmd.Process.Signal(s)
	}
}

// stop sends s and waits for the end, which SIGKILL brings after the grace time.
func (h *host) stop(s syscall.Signal) {
	h.mu.Lock()
	exited := h.exited
	h.mu.Unlock()
	if exited == nil {
		return
	}
	h.signal(syscall.SIGCONT)
	h.signal(s)
	select {
	case <-exited:
		return
	case <-time.After(grace):
	}
	h.signal(syscall.SIGKILL)
	<-exited
}

// close ends all processes, each by its own id, and the links.
func (f *fleet) close() {
	var wg sync.WaitGroup
	for _, h := range f.hosts {
		wg.Go(func() { h.stop(syscall.SIGKILL) })
	}
	wg.Wait()
	_ = f.net.Close()
}

func (f *fleet) find(name string) *host {
	for _, h := range f.hosts {
		if h.name == name {
			return h
		}
	}
	return nil
}
