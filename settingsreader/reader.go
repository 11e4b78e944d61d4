package settingsreader

import (
	"io/fs"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"github.com/pkg/errors"

	"bramleyline.example/bramleyline/parser"
)

// The defaults of section [host].
const (
	defaultRoles     = "entry"
	defaultLogLevel  = "info"
	defaultLogFormat = "text"
)

// minKeyBytes keeps operators from leaving a placeholder as a secret.
const minKeyBytes = 16

// known has the settings of each section of a host settings file.
func known() map[string][]string {
	return map[string][]string{
		"host":    {"name", "dataCentre", "roles", "dataFolder", "logLevel", "logFormat", "dispatch"},
		"listen":  {"caller", "peer", "rpc", "announce", "operator"},
		"control": {"voters", "hosts"},
		"keys":    {"system", "systemFile", "target", "targetFile", "operator", "operatorFile"},
		"tls":     {"certificate", "key", "authority"},
		"network": {"translation"},
	}
}

// Read reads the settings file of a host. Relative paths in it start at its own folder. The settings are usable only
// if there are no findings; findings never show a secret.
func Read(file string) (Settings, []parser.Finding) {
	text, err := os.ReadFile(file)
	if err != nil {
		return Settings{}, []parser.Finding{{
			File:    file,
			Message: "cannot be read: " + plain(err),
		}}
	}
	r := reader{
		folder: filepath.Dir(file),
	}
	r.settings.File = file
	r.file, r.findings = parser.Parse(parser.Source{
		Name: file,
		Text: string(text),
	})
	if r.or("host", "dispatch", dispatchDelegated) == dispatchDirect {
		r.direct()
		return r.settings, parser.SortFindings(r.findings)
	}
	r.checkNames(known())
	r.host()
	r.listen()
	r.control()
	r.translation()
	r.settings.Keys.System = r.secret("system")
	r.settings.Keys.Target = r.secret("target")
	r.settings.Keys.Operator = r.secret("operator")
	r.tls()
	return r.settings, parser.SortFindings(r.findings)
}

// plain leaves out the operation and the path, which the finding names already.
func plain(err error) string {
	var pathErr *fs.PathError
	if errors.As(err, &pathErr) {
		return pathErr.Err.Error()
	}
	return err.Error()
}

func (r *reader) host() {
	s := &r.settings
	s.Name = r.name("host", "name")
	s.DataCentre = r.name("host", "dataCentre")
	for _, role := range parser.List(r.or("host", "roles", defaultRoles)) {
		switch role {
		case "entry":
			s.Roles.Entry = true
		case "control":
			s.Roles.Control = true
		default:
			r.find("host", "roles", "%q is no role, wants entry, control or both", role)
		}
	}
	if !s.Roles.Entry && !s.Roles.Control {
		r.find("host", "roles", "roles wants entry, control or both")
	}
	if folder, ok := r.value("host", "dataFolder"); ok && folder != "" {
		s.DataFolder = r.path(folder)
	}
	if s.Roles.Control && s.DataFolder == "" {
		r.find("host", "dataFolder", "role control needs dataFolder, which holds the log")
	}
	s.LogLevel = r.choice("host", "logLevel", defaultLogLevel, "debug", "info", "warn", "error")
	s.LogFormat = r.choice("host", "logFormat", defaultLogFormat, "text", "json", "logfmt")
}

func (r *reader) listen() {
	l := &r.settings.Listen
	entry := r.settings.Roles.Entry
	l.Caller = r.listenAddr("caller", entry, true)
	l.Peer = r.listenAddr("peer", entry, false)
	l.RPC = r.listenAddr("rpc", true, false)
	l.Announce = r.listenAddr("announce", entry, false)
	l.Operator = r.listenAddr("operator", true, true)
	seen := make(map[netip.AddrPort]string)
	for _, name := range known()["listen"] {
		v, ok := r.value("listen", name)
		addr, err := netip.ParseAddrPort(v)
		if !ok || err != nil || addr.Port() == 0 {
			continue
		}
		if first, ok := seen[addr]; ok {
			r.find("listen", name, "%s and %s have the same address %s", first, name, addr)
		}
		seen[addr] = name
	}
}

// listenAddr reads one address. Other processes are told all but the callers' and operators' addresses, so these must
// be the host's own ones.
func (r *reader) listenAddr(name string, required, wildcard bool) netip.AddrPort {
	v, ok := r.value("listen", name)
	if !ok {
		if required {
			r.find("listen", name, "section [listen] needs %s = IP:PORT", name)
		}
		return netip.AddrPort{}
	}
	addr, err := netip.ParseAddrPort(v)
	if err != nil {
		r.find("listen", name, "%s = %s: wants IP:PORT, such as 127.0.0.1:7101", name, v)
		return netip.AddrPort{}
	}
	if addr.Addr().IsUnspecified() && !wildcard {
		r.find("listen", name, "%s = %s: other processes connect here, name the host's own address", name, v)
	}
	return addr
}

func (r *reader) control() {
	s := &r.settings
	s.Voters = r.members("voters")
	s.Hosts = r.members("hosts")
	if len(s.Voters) == 0 {
		r.find("control", "voters", "section [control] needs voters = NAME@IP:PORT, ...")
		return
	}
	addr, voter := s.Voters[s.Name]
	if voter && !s.Roles.Control {
		r.find("control", "voters", "this host %s is a voter, but its roles have no control", s.Name)
	}
	if voter && s.Listen.RPC.Port() != 0 && addr != s.Listen.RPC {
		r.find("control", "voters", "this host %s has address %s here, but rpc = %s", s.Name, addr, s.Listen.RPC)
	}
}

// translation reads pairs of an announced and a reachable address.
func (r *reader) translation() {
	v, _ := r.value("network", "translation")
	for _, part := range parser.List(v) {
		from, to, _ := strings.Cut(part, ">")
		announced, err := netip.ParseAddrPort(from)
		reachable, err2 := netip.ParseAddrPort(to)
		if err != nil || err2 != nil {
			r.find("network", "translation", "translation: %q wants the form IP:PORT>IP:PORT", part)
			continue
		}
		if r.settings.Translation == nil {
			r.settings.Translation = make(map[netip.AddrPort]netip.AddrPort)
		}
		r.settings.Translation[announced] = reachable
	}
}

func (r *reader) members(name string) map[string]netip.AddrPort {
	members := make(map[string]netip.AddrPort)
	v, _ := r.value("control", name)
	for _, part := range parser.List(v) {
		host, text, _ := strings.Cut(part, "@")
		addr, err := netip.ParseAddrPort(text)
		switch {
		case host == "" || err != nil || addr.Port() == 0:
			r.find("control", name, "%s: %q wants the form NAME@IP:PORT", name, part)
			continue
		case members[host].IsValid():
			r.find("control", name, "%s: host %s is repeated", name, host)
			continue
		}
		for other, a := range members {
			if a == addr {
				names := []string{other, host}
				slices.Sort(names)
				r.find("control", name, "%s: hosts %s and %s have the same address %s", name, names[0], names[1], addr)
			}
		}
		members[host] = addr
	}
	return members
}

// secret reads a key from the file itself or from the file that NAMEFile names.
func (r *reader) secret(name string) string {
	v, inline := r.value("keys", name)
	file, other := r.value("keys", name+"File")
	switch {
	case inline && other:
		r.find("keys", name, "%s and %sFile are both set, wants one of them", name, name)
		return ""
	case !inline && !other:
		r.find("keys", name, "section [keys] needs %s or %sFile", name, name)
		return ""
	case other:
		text, err := os.ReadFile(r.path(file))
		if err != nil {
			r.find("keys", name+"File", "%sFile %s cannot be read: %s", name, file, plain(err))
			return ""
		}
		v = strings.TrimSpace(string(text))
	}
	if len(v) < minKeyBytes {
		place := name
		if other {
			place += "File"
		}
		r.find("keys", place, "key %s has fewer than %d bytes", name, minKeyBytes)
	}
	return v
}

func (r *reader) tls() {
	t := &r.settings.TLS
	fields := []struct {
		name string
		to   *string
	}{
		{name: "certificate", to: &t.Certificate},
		{name: "key", to: &t.Key},
		{name: "authority", to: &t.Authority},
	}
	set := 0
	for _, f := range fields {
		v, ok := r.value("tls", f.name)
		if !ok || v == "" {
			continue
		}
		set++
		*f.to = r.path(v)
		if _, err := os.Stat(*f.to); err != nil {
			r.find("tls", f.name, "%s %s cannot be read: %s", f.name, v, plain(err))
		}
	}
	if set != 0 && set != len(fields) {
		r.find("tls", "certificate", "section [tls] needs certificate, key and authority together")
	}
}
