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
	// dataCentres is the number of data centres. Hosts and targets are assigned to them round robin.
	dataCentres = 4
	// seedHosts is the number of control hosts in the setting seeds of each host.
	seedHosts = 3
	// All hosts use the same ports, each at a loopback address of its own.
	callerPort  = 7801
	readyPort   = 7802
	controlPort = 7803
	rpcPort     = 7804
	// targetPort is the port of the first target; all targets share an address.
	targetPort = 7900
	// grace is the time from SIGTERM to SIGKILL, and the setting grace of each host.
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

// host is one host of the system, which runs as a process of its own.
type host struct {
	name    string
	control bool
	addr    netip.Addr
	folder  string
	// translation is the setting translation: pairs of the rpc address of a control host and the address of the link
	// that is dialled instead.
	translation []string

	mu  sync.Mutex
	cmd *exec.Cmd
	// exited is closed when the process has ended.
	exited        chan struct{}
	startedBefore bool
}

// fleet is the host processes of a run and the links to and between them.
type fleet struct {
	binary  string
	folder  string
	network *injector.Injector
	hosts   []*host
	// entries and controls are the base URLs of entry hosts and control hosts, through the links from outside.
	entries  []string
	controls []string
	// links is the address of all links.
	links netip.Addr
	// targets holds the addresses of the targets by their numbers.
	targets []targetAddrs
}

// targetAddrs are the address on which all incarnations of a target listen, and that of the link that they announce.
type targetAddrs struct {
	listen    netip.AddrPort
	announced netip.AddrPort
}

// fleetCount is the number of fleets that this process has made. It gives each fleet its own block of loopback
// addresses.
var fleetCount atomic.Uint32

// newFleet opens the links of all hosts. It starts no process.
func newFleet(binary, folder string, entries, targets int) (*fleet, error) {
	f := fleet{
		binary:  binary,
		folder:  folder,
		network: &injector.Injector{},
	}
	block := os.Getpid() + int(fleetCount.Add(1))
	f.links = netip.AddrFrom4([4]byte{127, byte(1 + block/250%250), byte(1 + block%250), 253})
	for i := range controlHosts + entries {
		f.hosts = append(f.hosts, &host{
			name:    hostName(i),
			control: i < controlHosts,
			addr:    netip.AddrFrom4([4]byte{127, byte(1 + block/250%250), byte(1 + block%250), byte(1 + i)}),
			folder:  filepath.Join(folder, hostName(i)),
		})
	}
	for _, h := range f.hosts {
		if err := f.openExternalLink(h); err != nil {
			return nil, err
		}
		if err := f.openControlLinks(h); err != nil {
			return nil, err
		}
	}
	for i := range targets {
		if err := f.openTargetLinks(i, netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, byte(1 + block/250%250), byte(1 + block%250), 254}),
			targetPort+uint16(i))); err != nil {
			return nil, err
		}
	}
	return &f, nil
}

// openTargetLinks opens the link to target i that it announces, and those by which the entry hosts reach it instead, each
// of which may fail by itself.
func (f *fleet) openTargetLinks(i int, listen netip.AddrPort) error {
	name := targetName(i)
	announced, err := f.network.Open("hosts", name, f.anyPort(), listen)
	if err != nil {
		return errors.Wrap(err, "link to target")
	}
	f.targets = append(f.targets, targetAddrs{
		listen:    listen,
		announced: announced,
	})
	for _, h := range f.hosts[controlHosts:] {
		link, err := f.network.Open(h.name, name, f.anyPort(), listen)
		if err != nil {
			return errors.Wrap(err, "link to target")
		}
		h.translation = append(h.translation, announced.String()+">"+link.String())
	}
	return nil
}

// anyPort returns an address of this fleet with a port that is free. A link that refuses connections closes its listener, so
// that the port could go to any other program if the address were not the fleet's own.
func (f *fleet) anyPort() netip.AddrPort { return netip.AddrPortFrom(f.links, 0) }

// openExternalLink opens the link by which callers reach an entry host, or targets and operators a control host.
func (f *fleet) openExternalLink(h *host) error {
	port, list := uint16(callerPort), &f.entries
	if h.control {
		port, list = controlPort, &f.controls
	}
	addr, err := f.network.Open("outside", h.name, f.anyPort(), netip.AddrPortFrom(h.addr, port))
	if err != nil {
		return errors.Wrap(err, "link from outside")
	}
	*list = append(*list, "http://"+addr.String())
	return nil
}

// openControlLinks opens the links by which h reaches the other control hosts.
func (f *fleet) openControlLinks(h *host) error {
	for _, o := range f.hosts[:controlHosts] {
		if o == h {
			continue
		}
		rpc := netip.AddrPortFrom(o.addr, rpcPort)
		link, err := f.network.Open(h.name, o.name, f.anyPort(), rpc)
		if err != nil {
			return errors.Wrap(err, "link between hosts")
		}
		h.translation = append(h.translation, rpc.String()+">"+link.String())
	}
	return nil
}

// writeSettings writes the settings file of h. The setting found is true only for the first start of h, at which the
// system does not exist yet.
func (f *fleet) writeSettings(h *host) error {
	var seedAddrs []string
	for _, o := range f.hosts[:seedHosts] {
		seedAddrs = append(seedAddrs, netip.AddrPortFrom(o.addr, controlPort).String())
	}
	role, listen := "entry", fmt.Sprintf("caller = %s:%d\nready = %s:%d", h.addr, callerPort, h.addr, readyPort)
	if h.control {
		role = "control\ndataFolder = " + h.dataFolder()
		listen = fmt.Sprintf("control = %s:%d", h.addr, controlPort)
	}
	if err := os.MkdirAll(h.dataFolder(), 0o700); err != nil {
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
`, h.name, h.name[:1], role, listen, h.addr, rpcPort, strings.Join(seedAddrs, ", "), !h.startedBefore, drainTime, grace,
		strings.Join(h.translation, ", "))
	return errors.Wrap(os.WriteFile(h.settingsFile(), []byte(text), 0o600), "settings")
}

func (h *host) dataFolder() string { return filepath.Join(h.folder, "data") }

func (h *host) settingsFile() string { return filepath.Join(h.folder, "host.ini") }

// start starts the process of h. Its output is appended to the log file of h.
func (f *fleet) start(h *host) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	logFile, err := os.OpenFile(filepath.Join(f.folder, h.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return errors.Wrap(err, "log")
	}
	if err := f.writeSettings(h); err != nil {
		_ = logFile.Close()
		return err
	}
	cmd := exec.Command(f.binary, "serve", "-settings", h.settingsFile())
	cmd.Stdout, cmd.Stderr = logFile, logFile
	if err := cmd.Start(); err != nil {
		_ = logFile.Close()
		return errors.Wrap(err, "start "+h.name)
	}
	exited := make(chan struct{})
	go func() {
		// Wait returns an error for a process that was killed. The log file shows why a process ended.
		_ = cmd.Wait()
		_ = logFile.Close()
		close(exited)
	}()
	h.cmd, h.exited = cmd, exited
	h.startedBefore = true
	return nil
}

// signal sends s to the process of h, if it runs.
func (h *host) signal(s syscall.Signal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.cmd != nil {
		// Signal returns an error for a process that has just ended.
		_ = h.cmd.Process.Signal(s)
	}
}

// stop sends s to the process of h, which it resumes first if it is paused, and waits until the process has ended. It
// kills a process that still runs after the grace period.
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

// close kills all processes, each by its own process ID, and closes the links.
func (f *fleet) close() {
	var wg sync.WaitGroup
	for _, h := range f.hosts {
		wg.Go(func() { h.stop(syscall.SIGKILL) })
	}
	wg.Wait()
	_ = f.network.Close()
}

func (f *fleet) find(name string) *host {
	for _, h := range f.hosts {
		if h.name == name {
			return h
		}
	}
	return nil
}
