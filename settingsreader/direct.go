package settingsreader

import (
	"fmt"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"bramleyline.example/bramleyline/parser"
)

// The values of dispatch in section [host].
const (
	dispatchDelegated = "delegated"
	dispatchDirect    = "direct"
)

// The defaults of section [direct]. They are the bounds of the users' deployments of today.
const (
	defaultHold      = 10 * time.Second
	defaultDrainTime = 2 * time.Second
	defaultOutTime   = 5 * time.Second
	defaultGrace     = 6 * time.Second
)

// Direct are the settings of a host that sends straight to targets, and of the control hosts behind it.
type Direct struct {
	// Ready answers the balancer, Control takes operators' and targets' calls, Metrics serves counters.
	Ready   netip.AddrPort
	Control netip.AddrPort
	Metrics netip.AddrPort
	// Seeds are the Control addresses of some control hosts. Their rpc port is that of this host.
	Seeds []netip.AddrPort
	// Found says that the whole system starts for the first time, so the seeds form the control group.
	Found bool
	// HostLosses is the number of control hosts that may be lost at once.
	HostLosses int
	// Memory bounds the memory of the process in bytes, zero for no bound.
	Memory int64
	// Hold is the longest time for which keys may be granted.
	Hold time.Duration
	// DrainTime is the time after the acknowledgement in which a leaving target may still get work, OutTime that for the
	// targets of a data centre that was taken out, Grace the time from SIGTERM to the end of the process.
	DrainTime time.Duration
	OutTime   time.Duration
	Grace     time.Duration
	// RetryShare and RetrySlack bound the repeats of all hosts together: a share of the requests and a number beyond it.
	RetryShare float64
	RetrySlack float64
	// ColdFactor and ColdSlack bound the requests of all hosts to a cold target in a second: its rate times the factor and
	// a number beyond it.
	ColdFactor float64
	ColdSlack  float64
}

func knownDirect() map[string][]string {
	return map[string][]string{
		"host":   {"name", "dataCentre", "roles", "dataFolder", "logLevel", "logFormat", "dispatch", "memory"},
		"listen": {"caller", "ready", "control", "rpc", "metrics"},
		"direct": {
			"seeds", "found", "hostLosses", "hold", "drainTime", "outTime", "grace", "retryShare", "retrySlack",
			"coldFactor", "coldSlack",
		},
		"keys":    {"system", "systemFile"},
		"network": {"translation"},
	}
}

// direct reads the settings of a host with direct dispatch. Its file is often made from a template, so an empty value
// counts as missing.
func (r *reader) direct() {
	r.dropEmpty()
	r.checkNames(knownDirect())
	r.host()
	if _, ok := r.value("keys", "system"); ok || r.hasKeyFile() {
		r.settings.Keys.System = r.secret("system")
	}
	r.translation()
	entry, control := r.settings.Roles.Entry, r.settings.Roles.Control
	if entry && control {
		r.find("host", "roles", "a host with direct dispatch has one role, entry or control")
	}
	r.settings.Listen.Caller = r.listenAddr("caller", entry, true)
	r.settings.Listen.RPC = r.listenAddr("rpc", true, false)
	r.settings.Direct = &Direct{
		Ready:      r.listenAddr("ready", entry, true),
		Control:    r.listenAddr("control", control, false),
		Metrics:    r.listenAddr("metrics", false, true),
		Seeds:      r.seeds(),
		Found:      r.choice("direct", "found", "false", "true", "false") == "true",
		HostLosses: int(r.number("direct", "hostLosses", 1)),
		Memory:     int64(r.number("host", "memory", 0) * (1 << 20)),
		Hold:       r.duration("hold", defaultHold),
		DrainTime:  r.duration("drainTime", defaultDrainTime),
		OutTime:    r.duration("outTime", defaultOutTime),
		Grace:      r.duration("grace", defaultGrace),
		RetryShare: r.number("direct", "retryShare", 0.2),
		RetrySlack: r.number("direct", "retrySlack", 0),
		ColdFactor: r.number("direct", "coldFactor", 1),
		ColdSlack:  r.number("direct", "coldSlack", 0),
	}
}

func (r *reader) hasKeyFile() bool {
	_, ok := r.value("keys", "systemFile")
	return ok
}

func (r *reader) dropEmpty() {
	for i := range r.file.Sections {
		s := &r.file.Sections[i]
		var kept []parser.Setting
		for _, setting := range s.Settings {
			if setting.Value != "" {
				kept = append(kept, setting)
			}
		}
		s.Settings = kept
	}
}

func (r *reader) seeds() []netip.AddrPort {
	var seeds []netip.AddrPort
	v, _ := r.value("direct", "seeds")
	for _, part := range parser.List(v) {
		addr, err := netip.ParseAddrPort(part)
		if err != nil {
			r.find("direct", "seeds", "seeds: %q wants the form IP:PORT", part)
			continue
		}
		seeds = append(seeds, addr)
	}
	if len(seeds) == 0 {
		r.find("direct", "seeds", "section [direct] needs seeds = IP:PORT, ...")
	}
	return seeds
}

func (r *reader) number(section, name string, otherwise float64) float64 {
	v, ok := r.value(section, name)
	if !ok {
		return otherwise
	}
	n, err := strconv.ParseFloat(v, 64)
	if err != nil || n < 0 {
		r.find(section, name, "%s = %s: wants a number from 0", name, v)
		return otherwise
	}
	return n
}

func (r *reader) duration(name string, otherwise time.Duration) time.Duration {
	v, ok := r.value("direct", name)
	if !ok {
		return otherwise
	}
	d, err := time.ParseDuration(v)
	if err != nil || d <= 0 {
		r.find("direct", name, "%s = %s: wants a time such as 10s or 500ms", name, v)
		return otherwise
	}
	return d
}

// sectionOrder is the order in which findings name the known sections.
var sectionOrder = []string{"host", "listen", "control", "direct", "keys", "tls", "network"}

func sectionNames(sections map[string][]string) string {
	var names []string
	for _, name := range sectionOrder {
		if _, ok := sections[name]; ok {
			names = append(names, fmt.Sprintf("[%s]", name))
		}
	}
	last := len(names) - 1
	return strings.Join(names[:last], ", ") + " and " + names[last]
}
