package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"

	qt "github.com/frankban/quicktest"

	"bramleyline.example/bramleyline/emulator"
	"bramleyline.example/bramleyline/injector"
	"bramleyline.example/bramleyline/presenter"
)

// The keys of the processes of a test.
const (
	systemKey   = "test-system-key-0000"
	targetKey   = "test-target-key-0000"
	operatorKey = "test-operator-key-00"
)

// baseText is the configuration of the tests. The hold is long, so that no key of a cut-off data centre may go
// elsewhere during a test.
const baseText = `[deployment]
name = proof
region = loopback

[timing]
balancerWait = 300ms
stopWait = 10s

[dataCentre north]
[dataCentre south]
[dataCentre west]

[service tally]
kind = keyed
key = path:1
slots = 48
cutOffHold = 10m

[service payroll]
kind = shared
`

var binary string

func TestMain(m *testing.M) {
	folder, err := os.MkdirTemp("", "bramleyline-test-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	binary = filepath.Join(folder, "bramleyline")
	if out, err := exec.Command("go", "build", "-o", binary, ".").CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "%s%v\n", out, err)
		os.Exit(1)
	}
	code := m.Run()
	_ = os.RemoveAll(folder)
	os.Exit(code)
}

// process is one host as a process of its own.
type process struct {
	name     string
	dc       string
	control  bool
	file     string
	caller   netip.AddrPort
	peer     netip.AddrPort
	rpc      netip.AddrPort
	announce netip.AddrPort
	operator netip.AddrPort
	cmd      *exec.Cmd
	exited   chan error
	log      *os.File
}

// deployment is a set of host processes with emulated targets in the test's process. All connections between hosts,
// and between hosts and targets, go through the links of a fault-injecting proxy.
type deployment struct {
	c       *qt.C
	folder  string
	network *injector.Injector
	hosts   []*process
	targets []*emulator.Emulator
	// version is the configuration version that was stored last.
	version int
}

// running bounds the deployments that run at a time; each has six processes.
var running = make(chan struct{}, 3)

// startDeployment starts two hosts and five targets in each of three data centres, and waits until each slot is served.
// Three hosts, one in each data centre, are voters.
func startDeployment(t testing.TB) *deployment {
	if testing.Short() {
		t.Skip("starts processes")
	}
	if p, ok := t.(interface{ Parallel() }); ok {
		p.Parallel()
	}
	running <- struct{}{}
	t.Cleanup(func() { <-running })
	c := qt.New(t)
	d := &deployment{
		c:       c,
		folder:  t.TempDir(),
		network: &injector.Injector{},
	}
	t.Cleanup(d.close)
	for _, dc := range []string{"north", "south", "west"} {
		for i := range 2 {
			d.hosts = append(d.hosts, &process{
				name:     fmt.Sprintf("%s-%d", dc, i+1),
				dc:       dc,
				control:  i == 0,
				caller:   freeAddr(c),
				peer:     freeAddr(c),
				rpc:      freeAddr(c),
				announce: freeAddr(c),
				operator: freeAddr(c),
			})
		}
	}
	for _, h := range d.hosts {
		d.writeSettings(h)
	}
	for _, h := range d.hosts {
		d.start(h)
	}
	d.apply(baseText)
	for _, dc := range []string{"north", "south", "west"} {
		for i := range 3 {
			d.addTarget("tally", dc, i+1)
		}
		for i := range 2 {
			d.addTarget("payroll", dc, i+1)
		}
	}
	d.awaitOwners()
	return d
}

// nextPort is below the range from which the system picks ports for links, so that no link takes a host's port.
var nextPort atomic.Uint32

// loopback is an address of this test process's own, so that two runs on one machine never meet.
func loopback() netip.Addr {
	pid := os.Getpid()
	return netip.AddrFrom4([4]byte{127, byte(1 + pid/250%250), byte(1 + pid%250), 1})
}

// freeAddr returns an address that nobody listens on. No process may be started meanwhile: until it has run its program
// it holds the listener that is closed here, and the address would be in use for a moment longer.
func freeAddr(c *qt.C) netip.AddrPort {
	syscall.ForkLock.RLock()
	defer syscall.ForkLock.RUnlock()
	nextPort.CompareAndSwap(0, 20000)
	for range 1000 {
		addr := netip.AddrPortFrom(loopback(), uint16(nextPort.Add(1)))
		ln, err := net.Listen("tcp", addr.String())
		if err == nil {
			c.Assert(ln.Close(), qt.IsNil)
			return addr
		}
	}
	c.Fatal("no free port")
	return netip.AddrPort{}
}

// writeSettings writes the settings of h. It reaches each other host through links of its own, so that a test can cut
// one direction between two hosts.
func (d *deployment) writeSettings(h *process) {
	var voters, others, translation []string
	for _, o := range d.hosts {
		entry := fmt.Sprintf("%s@%s", o.name, o.rpc)
		if o.control {
			voters = append(voters, entry)
		} else {
			others = append(others, entry)
		}
		if o == h {
			continue
		}
		for _, addr := range []netip.AddrPort{o.rpc, o.peer} {
			link, err := d.network.Open(h.name, o.name, netip.MustParseAddrPort("127.0.0.1:0"), addr)
			d.c.Assert(err, qt.IsNil)
			translation = append(translation, fmt.Sprintf("%s>%s", addr, link))
		}
	}
	roles := "entry"
	if h.control {
		roles = "entry, control\ndataFolder = " + filepath.Join(d.folder, h.name)
	}
	h.file = filepath.Join(d.folder, h.name+".ini")
	text := fmt.Sprintf(`[host]
name = %s
dataCentre = %s
roles = %s
logLevel = warn
logFormat = logfmt

[listen]
caller = %s
peer = %s
rpc = %s
announce = %s
operator = %s

[control]
voters = %s
hosts = %s

[network]
translation = %s

[keys]
system = %s
target = %s
operator = %s
`, h.name, h.dc, roles, h.caller, h.peer, h.rpc, h.announce, h.operator, strings.Join(voters, ", "),
		strings.Join(others, ", "), strings.Join(translation, ", "), systemKey, targetKey, operatorKey)
	d.c.Assert(os.WriteFile(h.file, []byte(text), 0o600), qt.IsNil)
}

func (d *deployment) start(h *process) {
	log, err := os.OpenFile(filepath.Join(d.folder, h.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	d.c.Assert(err, qt.IsNil)
	h.log = log
	h.cmd = exec.Command(binary, "serve", "-settings", h.file)
	h.cmd.Stderr = log
	h.cmd.Stdout = log
	d.c.Assert(h.cmd.Start(), qt.IsNil)
	h.exited = make(chan error, 1)
	go func(cmd *exec.Cmd, exited chan error) {
		exited <- cmd.Wait()
		close(exited)
	}(h.cmd, h.exited)
}

func (d *deployment) signal(h *process, s syscall.Signal) {
	d.c.Assert(h.cmd.Process.Signal(s), qt.IsNil)
}

// kill ends a host as a crash does.
func (d *deployment) kill(h *process) {
	d.signal(h, syscall.SIGKILL)
	<-h.exited
}

func (d *deployment) close() {
	for _, e := range d.targets {
		_ = e.Close()
	}
	for _, h := range d.hosts {
		if h.cmd == nil {
			continue
		}
		_ = h.cmd.Process.Signal(syscall.SIGCONT)
		_ = h.cmd.Process.Kill()
		<-h.exited
		_ = h.log.Close()
		if d.c.Failed() {
			text, _ := os.ReadFile(filepath.Join(d.folder, h.name+".log"))
			d.c.Logf("log of %s:\n%s", h.name, text)
		}
	}
	_ = d.network.Close()
}

// command runs an operator's command against all hosts and returns its output and exit code.
func (d *deployment) command(args ...string) (string, int) {
	keyFile := filepath.Join(d.folder, "operator.key")
	d.c.Assert(os.WriteFile(keyFile, []byte(operatorKey), 0o600), qt.IsNil)
	var addrs []string
	for _, h := range d.hosts {
		addrs = append(addrs, h.operator.String())
	}
	cmd := exec.Command(binary, args...)
	cmd.Env = append(os.Environ(), "BRAMLEYLINE_HOST="+strings.Join(addrs, ","), "BRAMLEYLINE_KEYFILE="+keyFile,
		"BRAMLEYLINE_OPERATOR=test")
	out, _ := cmd.CombinedOutput()
	return string(out), cmd.ProcessState.ExitCode()
}

// apply stores a base file as the next version, and tries again until the control group has a leader.
func (d *deployment) apply(text string) {
	file := filepath.Join(d.folder, "base.ini")
	d.c.Assert(os.WriteFile(file, []byte(text), 0o600), qt.IsNil)
	var out string
	ok := eventually(func() bool {
		var code int
		out, code = d.command("apply", "-expect", fmt.Sprint(d.version), file)
		return code == 0
	})
	d.c.Assert(ok, qt.IsTrue, qt.Commentf("%s", out))
	d.version++
}

// addTarget starts an emulated target whose connections go through links.
func (d *deployment) addTarget(service, dc string, n int) *emulator.Emulator {
	name := fmt.Sprintf("%s-%s-%d", service, dc, n)
	listen := freeAddr(d.c)
	var announce []netip.AddrPort
	advertise, err := d.network.Open(dc+"-host", name, netip.MustParseAddrPort("127.0.0.1:0"), listen)
	d.c.Assert(err, qt.IsNil)
	for _, h := range d.hosts {
		if h.dc == dc {
			announce = append(announce, h.announce)
		}
	}
	e := emulator.New(emulator.Options{
		Name:       name,
		Service:    service,
		DataCentre: dc,
		Token:      targetKey,
		Listen:     listen,
		Advertise:  advertise,
		Announce:   announce,
		Seed:       uint64(len(d.targets) + 1),
		Warm:       true,
	})
	d.c.Assert(e.Start(), qt.IsNil)
	d.targets = append(d.targets, e)
	return e
}

func (d *deployment) target(name string) *emulator.Emulator {
	for _, e := range d.targets {
		if e.Name() == name {
			return e
		}
	}
	d.c.Fatalf("no target %s", name)
	return nil
}

func (d *deployment) host(name string) *process {
	for _, h := range d.hosts {
		if h.name == name {
			return h
		}
	}
	d.c.Fatalf("no host %s", name)
	return nil
}

func (d *deployment) dataCentre(name string) []*process {
	var hosts []*process
	for _, h := range d.hosts {
		if h.dc == name {
			hosts = append(hosts, h)
		}
	}
	return hosts
}

// status returns the status as the first host that answers knows it.
func (d *deployment) status() presenter.Status {
	var st presenter.Status
	out, _ := d.command("status", "-json")
	_ = json.Unmarshal([]byte(out), &st)
	return st
}

// awaitOwners waits until each slot has an owner.
func (d *deployment) awaitOwners() {
	var st presenter.Status
	ok := eventually(func() bool {
		st = d.status()
		for _, s := range st.Services {
			if s.Unowned > 0 || s.Targets == 0 {
				return false
			}
		}
		return len(st.Services) > 0
	})
	d.c.Assert(ok, qt.IsTrue, qt.Commentf("%+v", st))
}
