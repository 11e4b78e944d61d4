package settingsreader

import (
	"fmt"
	"math"
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

// The defaults of section [direct], which are the limits of the users' present deployments.
const (
	defaultHold      = 10 * time.Second
	defaultDrainTime = 2 * time.Second
	defaultOutTime   = 5 * time.Second
	defaultGrace     = 6 * time.Second
)

// Direct are the settings of a host with direct dispatch: an entry host, which sends requests straight to targets, or a
// control host behind entry hosts.
type Direct struct {
	// Ready is the address for readiness checks of the balancer, Control for calls of operators and targets, and Metrics
	// for reading counters.
	Ready   netip.AddrPort
	Control netip.AddrPort
	Metrics netip.AddrPort
	// Region is the region of this host, and Regions that of each data centre by name. Requests are passed only to hosts of
	// the same region; without them, to any host.
	Region  string
	Regions map[string]string
	// Seeds are the Control addresses of some control hosts. Their rpc port is the same as that of this host.
	Seeds []netip.AddrPort
	// Bootstrap says that the whole system starts for the first time, so that the seeds form (found) the control group.
	Bootstrap bool
	// HostLosses is the number of control hosts that may fail at once while a majority is left.
	HostLosses int
	// Memory is the memory limit of the process in bytes; zero means no limit.
	Memory int64
	// Link is the capacity of the host's network link in each direction, in Mbit/s; zero means that it is not known.
	Link float64
	// Hold is the longest time for which a lease of keys may be granted.
	Hold time.Duration
	// DrainTime is the time after the acknowledgement of a drain in which the target may still get requests, OutTime the
	// same for the targets of a data centre that was taken out, and Grace the time from SIGTERM to the end of the process.
	DrainTime time.Duration
	OutTime   time.Duration
	Grace     time.Duration
	// RetryShare and RetrySlack are the retry budget of all hosts together: the retries as a share of the requests, and a
	// number of retries beyond it.
	RetryShare float64
	RetrySlack float64
	// ColdFactor and ColdSlack bound the requests per second of all hosts together to a cold target: its rate times
	// ColdFactor, plus ColdSlack.
	ColdFactor float64
	ColdSlack  float64
}

// knownDirectSettings returns the names of the settings of each section of a settings file with direct dispatch.
func knownDirectSettings() map[string][]string {
	return map[string][]string{
		"host":   {"name", "dataCentre", "roles", "dataFolder", "logLevel", "logFormat", "dispatch", "memory"},
		"listen": {"caller", "ready", "control", "rpc", "peer", "metrics"},
		"direct": {
			"seeds", "found", "hostLosses", "hold", "drainTime", "outTime", "grace", "retryShare", "retrySlack",
			"coldFactor", "coldSlack", "region", "regions", "link",
		},
		"keys":    {"system", "systemFile"},
		"network": {"translation"},
	}
}

// readDirect reads the settings of a host with direct dispatch. Their file is often generated from a template, so an
// empty value counts as missing.
func (r *reader) readDirect() {
	r.removeEmpty()
	r.checkNames(knownDirectSettings())
	r.readHost()
	if _, ok := r.value("keys", "system"); ok || r.hasKeyFile() {
		r.settings.Keys.System = r.readSecret("system")
	}
	r.readTranslation()
	entry, control := r.settings.Roles.Entry, r.settings.Roles.Control
	if entry && control {
		r.addFinding("host", "roles", "a host with direct dispatch has one role, entry or control")
	}
	r.settings.Listen.Caller = r.readListenAddr("caller", entry, true)
	r.settings.Listen.RPC = r.readListenAddr("rpc", true, false)
	r.settings.Direct = &Direct{
		Ready:      r.readListenAddr("ready", entry, true),
		Control:    r.readListenAddr("control", control, false),
		Metrics:    r.readListenAddr("metrics", false, true),
		Seeds:      r.readSeeds(),
		Bootstrap:  r.readChoice("direct", "found", "false", "true", "false") == "true",
		HostLosses: r.readCount("direct", "hostLosses", 1),
		Memory:     int64(r.readNumber("host", "memory", 0) * (1 << 20)),
		Link:       r.readNumber("direct", "link", 0),
		Hold:       r.readDuration("hold", defaultHold),
		DrainTime:  r.readDuration("drainTime", defaultDrainTime),
		OutTime:    r.readDuration("outTime", defaultOutTime),
		Grace:      r.readDuration("grace", defaultGrace),
		RetryShare: r.readNumber("direct", "retryShare", 0.2),
		RetrySlack: r.readNumber("direct", "retrySlack", 0),
		ColdFactor: r.readNumber("direct", "coldFactor", 1),
		ColdSlack:  r.readNumber("direct", "coldSlack", 0),
		Regions:    r.readRegions(),
	}
	r.settings.Direct.Region, _ = r.value("direct", "region")
	r.settings.Listen.Peer = r.readListenAddr("peer", false, false)
	if rpc := r.settings.Listen.RPC; entry && !r.settings.Listen.Peer.IsValid() && rpc.IsValid() && rpc.Port() < math.MaxUint16 {
		r.settings.Listen.Peer = netip.AddrPortFrom(rpc.Addr(), rpc.Port()+1)
	}
}

// readRegions reads the optional list of data centres with their regions.
func (r *reader) readRegions() map[string]string {
	regions := make(map[string]string)
	v, _ := r.value("direct", "regions")
	for _, part := range parser.List(v) {
		dataCentre, region, ok := strings.Cut(part, "=")
		if !ok || dataCentre == "" || region == "" {
			r.addFinding("direct", "regions", "regions: %q wants the form DATACENTRE=REGION", part)
			continue
		}
		regions[dataCentre] = region
	}
	return regions
}

func (r *reader) hasKeyFile() bool {
	_, ok := r.value("keys", "systemFile")
	return ok
}

// removeEmpty removes the settings with an empty value.
func (r *reader) removeEmpty() {
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

// readSeeds reads the required list of seeds.
func (r *reader) readSeeds() []netip.AddrPort {
	var seeds []netip.AddrPort
	v, _ := r.value("direct", "seeds")
	for _, part := range parser.List(v) {
		addr, err := netip.ParseAddrPort(part)
		if err != nil {
			r.addFinding("direct", "seeds", "seeds: %q wants the form IP:PORT", part)
			continue
		}
		seeds = append(seeds, addr)
	}
	if len(seeds) == 0 {
		r.addFinding("direct", "seeds", "section [direct] needs seeds = IP:PORT, ...")
	}
	return seeds
}

// readNumber reads a number that is not negative, or returns defaultValue if it is missing or wrong.
func (r *reader) readNumber(section, name string, defaultValue float64) float64 {
	v, ok := r.value(section, name)
	if !ok {
		return defaultValue
	}
	n, err := strconv.ParseFloat(v, 64)
	// ParseFloat reads NaN and infinities as well.
	if err != nil || !(n >= 0) || math.IsInf(n, 0) {
		r.addFinding(section, name, "%s = %s: wants a number from 0", name, v)
		return defaultValue
	}
	return n
}

// readCount reads a whole number that is not negative, or returns defaultValue if it is missing or wrong.
func (r *reader) readCount(section, name string, defaultValue int) int {
	v, ok := r.value(section, name)
	if !ok {
		return defaultValue
	}
	n, err := strconv.ParseUint(v, 10, 31)
	if err != nil {
		r.addFinding(section, name, "%s = %s: wants a whole number from 0", name, v)
		return defaultValue
	}
	return int(n)
}

// readDuration reads a positive duration of section [direct], or returns defaultValue if it is missing or wrong.
func (r *reader) readDuration(name string, defaultValue time.Duration) time.Duration {
	v, ok := r.value("direct", name)
	if !ok {
		return defaultValue
	}
	d, err := time.ParseDuration(v)
	if err != nil || d <= 0 {
		r.addFinding("direct", name, "%s = %s: wants a time such as 10s or 500ms", name, v)
		return defaultValue
	}
	return d
}

// sectionOrder is the order in which findings name the known sections.
var sectionOrder = []string{"host", "listen", "control", "direct", "keys", "tls", "network"}

// sectionNames lists the names of sections in a sentence.
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
