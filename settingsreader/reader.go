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

// minKeyBytes is the least length of a secret. It keeps operators from leaving a short placeholder in its place.
const minKeyBytes = 16

// knownSettings returns the names of the settings of each section of a settings file with delegated dispatch.
func knownSettings() map[string][]string {
	return map[string][]string{
		"host":    {"name", "dataCentre", "roles", "dataFolder", "logLevel", "logFormat", "dispatch"},
		"listen":  {"caller", "peer", "rpc", "announce", "operator"},
		"control": {"voters", "hosts"},
		"keys":    {"system", "systemFile", "target", "targetFile", "operator", "operatorFile"},
		"tls":     {"certificate", "key", "authority"},
		"network": {"translation"},
	}
}

// Read reads the settings file of a host. Relative paths in it are relative to its own folder. The settings are usable
// only if there are no findings. Findings never contain a secret.
func Read(file string) (Settings, []parser.Finding) {
	text, err := os.ReadFile(file)
	if err != nil {
		return Settings{}, []parser.Finding{{
			File:    file,
			Message: "cannot be read: " + reason(err),
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
	if r.valueOr("host", "dispatch", dispatchDelegated) == dispatchDirect {
		r.readDirect()
		return r.settings, parser.SortFindings(r.findings)
	}
	r.checkNames(knownSettings())
	r.readHost()
	r.readListen()
	r.readControl()
	r.readTranslation()
	r.settings.Keys.System = r.readSecret("system")
	r.settings.Keys.Target = r.readSecret("target")
	r.settings.Keys.Operator = r.readSecret("operator")
	r.readTLS()
	return r.settings, parser.SortFindings(r.findings)
}

// reason returns the text of err without the operation and the path, which the finding names already.
func reason(err error) string {
	var pathErr *fs.PathError
	if errors.As(err, &pathErr) {
		return pathErr.Err.Error()
	}
	return err.Error()
}

// readHost reads section [host].
func (r *reader) readHost() {
	s := &r.settings
	s.Name = r.readName("host", "name")
	s.DataCentre = r.readName("host", "dataCentre")
	for _, role := range parser.List(r.valueOr("host", "roles", defaultRoles)) {
		switch role {
		case "entry":
			s.Roles.Entry = true
		case "control":
			s.Roles.Control = true
		default:
			r.addFinding("host", "roles", "%q is no role, wants entry, control or both", role)
		}
	}
	if !s.Roles.Entry && !s.Roles.Control {
		r.addFinding("host", "roles", "roles wants entry, control or both")
	}
	if folder, ok := r.value("host", "dataFolder"); ok && folder != "" {
		s.DataFolder = r.resolvePath(folder)
	}
	if s.Roles.Control && s.DataFolder == "" {
		r.addFinding("host", "dataFolder", "role control needs dataFolder, which holds the log")
	}
	s.LogLevel = r.readChoice("host", "logLevel", defaultLogLevel, "debug", "info", "warn", "error")
	s.LogFormat = r.readChoice("host", "logFormat", defaultLogFormat, "text", "json", "logfmt")
}

// readListen reads section [listen], and reports addresses that are given twice.
func (r *reader) readListen() {
	l := &r.settings.Listen
	entry := r.settings.Roles.Entry
	l.Caller = r.readListenAddr("caller", entry, true)
	l.Peer = r.readListenAddr("peer", entry, false)
	l.RPC = r.readListenAddr("rpc", true, false)
	l.Announce = r.readListenAddr("announce", entry, false)
	l.Operator = r.readListenAddr("operator", true, true)
	seen := make(map[netip.AddrPort]string)
	for _, name := range knownSettings()["listen"] {
		v, ok := r.value("listen", name)
		addr, err := netip.ParseAddrPort(v)
		if !ok || err != nil || addr.Port() == 0 {
			continue
		}
		if first, ok := seen[addr]; ok {
			r.addFinding("listen", name, "%s and %s have the same address %s", first, name, addr)
		}
		seen[addr] = name
	}
}

// readListenAddr reads one address. wildcard allows the unspecified address (0.0.0.0 or ::). Only the addresses for
// callers and operators, and those for readiness checks and counters with direct dispatch, may have it: the others are
// announced to other processes, so they must be the host's own ones.
func (r *reader) readListenAddr(name string, required, wildcard bool) netip.AddrPort {
	v, ok := r.value("listen", name)
	if !ok {
		if required {
			r.addFinding("listen", name, "section [listen] needs %s = IP:PORT", name)
		}
		return netip.AddrPort{}
	}
	addr, err := netip.ParseAddrPort(v)
	if err != nil {
		r.addFinding("listen", name, "%s = %s: wants IP:PORT, such as 127.0.0.1:7101", name, v)
		return netip.AddrPort{}
	}
	if addr.Addr().IsUnspecified() && !wildcard {
		r.addFinding("listen", name, "%s = %s: other processes connect here, name the host's own address", name, v)
	}
	return addr
}

// readControl reads section [control], and compares it with the name, roles and rpc address of this host.
func (r *reader) readControl() {
	s := &r.settings
	s.Voters = r.readMembers("voters")
	s.Hosts = r.readMembers("hosts")
	if len(s.Voters) == 0 {
		r.addFinding("control", "voters", "section [control] needs voters = NAME@IP:PORT, ...")
		return
	}
	addr, voter := s.Voters[s.Name]
	if voter && !s.Roles.Control {
		r.addFinding("control", "voters", "this host %s is a voter, but its roles have no control", s.Name)
	}
	if voter && s.Listen.RPC.Port() != 0 && addr != s.Listen.RPC {
		r.addFinding("control", "voters", "this host %s has address %s here, but rpc = %s", s.Name, addr, s.Listen.RPC)
	}
}

// readTranslation reads the pairs of an announced and a reachable address.
func (r *reader) readTranslation() {
	v, _ := r.value("network", "translation")
	for _, part := range parser.List(v) {
		from, to, _ := strings.Cut(part, ">")
		announced, err := netip.ParseAddrPort(from)
		reachable, reachableErr := netip.ParseAddrPort(to)
		if err != nil || reachableErr != nil {
			r.addFinding("network", "translation", "translation: %q wants the form IP:PORT>IP:PORT", part)
			continue
		}
		if r.settings.Translation == nil {
			r.settings.Translation = make(map[netip.AddrPort]netip.AddrPort)
		}
		r.settings.Translation[announced] = reachable
	}
}

// readMembers reads a list of hosts with their rpc addresses.
func (r *reader) readMembers(name string) map[string]netip.AddrPort {
	members := make(map[string]netip.AddrPort)
	v, _ := r.value("control", name)
	for _, part := range parser.List(v) {
		host, text, _ := strings.Cut(part, "@")
		addr, err := netip.ParseAddrPort(text)
		switch {
		case host == "" || err != nil || addr.Port() == 0:
			r.addFinding("control", name, "%s: %q wants the form NAME@IP:PORT", name, part)
			continue
		case members[host].IsValid():
			r.addFinding("control", name, "%s: host %s is repeated", name, host)
			continue
		}
		for other, a := range members {
			if a == addr {
				names := []string{other, host}
				slices.Sort(names)
				r.addFinding("control", name, "%s: hosts %s and %s have the same address %s", name, names[0], names[1], addr)
			}
		}
		members[host] = addr
	}
	return members
}

// readSecret reads a key from the setting name, or from the file whose path is in the setting nameFile.
func (r *reader) readSecret(name string) string {
	v, inline := r.value("keys", name)
	file, inFile := r.value("keys", name+"File")
	switch {
	case inline && inFile:
		r.addFinding("keys", name, "%s and %sFile are both set, wants one of them", name, name)
		return ""
	case !inline && !inFile:
		r.addFinding("keys", name, "section [keys] needs %s or %sFile", name, name)
		return ""
	case inFile:
		text, err := os.ReadFile(r.resolvePath(file))
		if err != nil {
			r.addFinding("keys", name+"File", "%sFile %s cannot be read: %s", name, file, reason(err))
			return ""
		}
		v = strings.TrimSpace(string(text))
	}
	if len(v) < minKeyBytes {
		setting := name
		if inFile {
			setting += "File"
		}
		r.addFinding("keys", setting, "key %s has fewer than %d bytes", name, minKeyBytes)
	}
	return v
}

// readTLS reads section [tls], and checks that the files exist.
func (r *reader) readTLS() {
	t := &r.settings.TLS
	fields := []struct {
		name string
		path *string
	}{
		{name: "certificate", path: &t.Certificate},
		{name: "key", path: &t.Key},
		{name: "authority", path: &t.Authority},
	}
	set := 0
	for _, f := range fields {
		v, ok := r.value("tls", f.name)
		if !ok || v == "" {
			continue
		}
		set++
		*f.path = r.resolvePath(v)
		if _, err := os.Stat(*f.path); err != nil {
			r.addFinding("tls", f.name, "%s %s cannot be read: %s", f.name, v, reason(err))
		}
	}
	if set != 0 && set != len(fields) {
		r.addFinding("tls", "certificate", "section [tls] needs certificate, key and authority together")
	}
}
