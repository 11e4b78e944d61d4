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

// The keys with which hosts, targets and operators authenticate themselves in a test.
const (
	systemKey   = "test-system-key-0000"
	targetKey   = "test-target-key-0000"
	operatorKey = "test-operator-key-00"
)

// baseText is the base file of the tests' configuration. cutOffHold is so long that no key of a data centre that is cut
// off moves to another data centre during a test.
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

// binaryPath is the path of the program that TestMain builds.
var binaryPath string

func TestMain(m *testing.M) {
	folder, err := os.MkdirTemp("", "bramleyline-test-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	binaryPath = filepath.Join(folder, "bramleyline")
	if out, err := exec.Command("go", "build", "-o", binaryPath, ".").CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "%s%v\n", out, err)
		os.Exit(1)
	}
	code := m.Run()
	_ = os.RemoveAll(folder)
	os.Exit(code)
}

// process is a host that runs in a process of its own.
type process struct {
	name         string
	dc           string
	control      bool
	settingsFile string
	// caller, peer, rpc, announce and operator are the addresses on which the host listens.
	caller   netip.AddrPort
	peer     netip.AddrPort
	rpc      netip.AddrPort
	announce netip.AddrPort
	operator netip.AddrPort
	cmd      *exec.Cmd
	// exited receives the result of cmd.Wait and is then closed.
	exited  chan error
	logFile *os.File
}

// deployment is a set of host processes with emulated targets in the test's process. All connections between hosts, and
// from hosts to targets, go through the links of a fault-injecting proxy. Targets connect to hosts directly.
type deployment struct {
	c       *qt.C
	folder  string
	network *injector.Injector
	hosts   []*process
	targets []*emulator.Emulator
	// version is the version of the configuration that was stored last.
	version int
}

// runningDeployments is a semaphore that bounds the deployments that run at the same time; each has six processes.
var runningDeployments = make(chan struct{}, 3)

// startDeployment starts two hosts and five targets in each of three data centres, and waits until each slot is owned.
// Three hosts, one in each data centre, are voters.
func startDeployment(t testing.TB) *deployment {
	if testing.Short() {
		t.Skip("starts processes")
	}
	if p, ok := t.(interface{ Parallel() }); ok {
		p.Parallel()
	}
	runningDeployments <- struct{}{}
	t.Cleanup(func() { <-runningDeployments })
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

// lastPort is the port that freeAddr tried last. Ports are counted up from 20000, below the ephemeral range from which
// the system picks the ports of links, so that no link takes a host's port.
var lastPort atomic.Uint32

// loopbackAddr returns the loopback address of this test process, which depends on its process ID, so that two runs on
// one machine use different addresses.
func loopbackAddr() netip.Addr {
	pid := os.Getpid()
	return netip.AddrFrom4([4]byte{127, byte(1 + pid/250%250), byte(1 + pid%250), 1})
}

// freeAddr returns an address on which no process listens. It holds syscall.ForkLock, so that no process is started
// meanwhile: between fork and exec, a child process holds a copy of the listener that is closed here, and the address
// would stay in use for a moment longer.
func freeAddr(c *qt.C) netip.AddrPort {
	syscall.ForkLock.RLock()
	defer syscall.ForkLock.RUnlock()
	lastPort.CompareAndSwap(0, 20000)
	for range 1000 {
		addr := netip.AddrPortFrom(loopbackAddr(), uint16(lastPort.Add(1)))
		ln, err := net.Listen("tcp", addr.String())
		if err == nil {
			c.Assert(ln.Close(), qt.IsNil)
			return addr
		}
	}
	c.Fatal("no free port")
	return netip.AddrPort{}
}

// writeSettings writes the settings file of h, which reaches each other host through links of its own, so that a test
// can cut one direction between two hosts.
func (d *deployment) writeSettings(h *process) {
	var voters, nonVoters, translation []string
	for _, o := range d.hosts {
		member := fmt.Sprintf("%s@%s", o.name, o.rpc)
		if o.control {
			voters = append(voters, member)
		} else {
			nonVoters = append(nonVoters, member)
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
	h.settingsFile = filepath.Join(d.folder, h.name+".ini")
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
		strings.Join(nonVoters, ", "), strings.Join(translation, ", "), systemKey, targetKey, operatorKey)
	d.c.Assert(os.WriteFile(h.settingsFile, []byte(text), 0o600), qt.IsNil)
}

func (d *deployment) start(h *process) {
	logFile, err := os.OpenFile(filepath.Join(d.folder, h.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	d.c.Assert(err, qt.IsNil)
	h.logFile = logFile
	h.cmd = exec.Command(binaryPath, "serve", "-settings", h.settingsFile)
	h.cmd.Stderr = logFile
	h.cmd.Stdout = logFile
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

// kill ends the process of h without a graceful shutdown, as a crash does, and waits for its end.
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
		_ = h.logFile.Close()
		if d.c.Failed() {
			text, _ := os.ReadFile(filepath.Join(d.folder, h.name+".log"))
			d.c.Logf("log of %s:\n%s", h.name, text)
		}
	}
	_ = d.network.Close()
}

// command runs an operator command with the addresses of all hosts, and returns its output and exit code.
func (d *deployment) command(args ...string) (string, int) {
	keyFile := filepath.Join(d.folder, "operator.key")
	d.c.Assert(os.WriteFile(keyFile, []byte(operatorKey), 0o600), qt.IsNil)
	var addrs []string
	for _, h := range d.hosts {
		addrs = append(addrs, h.operator.String())
	}
	cmd := exec.Command(binaryPath, args...)
	cmd.Env = append(os.Environ(), "BRAMLEYLINE_HOST="+strings.Join(addrs, ","), "BRAMLEYLINE_KEYFILE="+keyFile,
		"BRAMLEYLINE_OPERATOR=test")
	out, _ := cmd.CombinedOutput()
	return string(out), cmd.ProcessState.ExitCode()
}

// apply stores text as the base file of the next configuration version, and retries until the control group has a
// leader.
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

// addTarget starts an emulated target that hosts reach through a link.
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

// status returns the status that the first host that answers reports, the zero Status if none answers.
func (d *deployment) status() presenter.Status {
	var st presenter.Status
	out, _ := d.command("status", "-json")
	_ = json.Unmarshal([]byte(out), &st)
	return st
}

// awaitOwners waits until each service has a target and each slot an owner.
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
