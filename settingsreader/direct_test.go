package settingsreader

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

const directText = `[host]
name = front-1
dataCentre = pl-south-a
roles = entry
dispatch = direct
dataFolder =
memory = 284

[listen]
caller = 10.1.0.35:8144
ready = 10.1.0.35:8140
control =
rpc = 10.1.0.35:7660
metrics = 10.1.0.35:7661

[direct]
seeds = 10.1.0.37:8146,10.2.0.31:8146
found = true
hostLosses = 1
hold = 10000ms
retryShare = 0.2
link = 2.2
`

// readText writes text to a file and returns its settings and findings, each finding as LINE: MESSAGE.
func readText(c *qt.C, text string) (Settings, []string) {
	file := filepath.Join(c.TempDir(), "host.ini")
	c.Assert(os.WriteFile(file, []byte(text), 0o600), qt.IsNil)
	s, findings := Read(file)
	var lines []string
	for _, f := range findings {
		lines = append(lines, strings.TrimPrefix(f.String(), file+":"))
	}
	return s, lines
}

// Guards against empty values that are reported as faults, which a file generated from a template has.
func TestDirectSettings(t *testing.T) {
	c := qt.New(t)
	s, findings := readText(c, directText)
	c.Assert(findings, qt.HasLen, 0)
	c.Assert(s.Roles, qt.Equals, Roles{
		Entry: true,
	})
	c.Assert(s.Direct.Seeds, qt.HasLen, 2)
	c.Assert(s.Direct.Bootstrap, qt.IsTrue)
	c.Assert(s.Direct.Hold, qt.Equals, 10*time.Second)
	c.Assert(s.Direct.Memory, qt.Equals, int64(284<<20))
	c.Assert(s.Direct.Control.IsValid(), qt.IsFalse)
	c.Assert(s.Direct.Link, qt.Equals, 2.2)
}

// Guards against a host that starts although a setting is missing or invalid: each must be a finding with its line.
func TestDirectSettingsWithFaults(t *testing.T) {
	c := qt.New(t)
	for change, want := range map[[2]string]string{
		{"caller = 10.1.0.35:8144\n", ""}:               "9: section [listen] needs caller = IP:PORT",
		{"seeds = 10.1.0.37:8146,10.2.0.31:8146\n", ""}: "16: section [direct] needs seeds = IP:PORT, ...",
		{"10.2.0.31:8146", "somewhere"}:                 `17: seeds: "somewhere" wants the form IP:PORT`,
		{"hold = 10000ms", "hold = soon"}:               "20: hold = soon: wants a time such as 10s or 500ms",
		{"retryShare = 0.2", "retryShare = -1"}:         "21: retryShare = -1: wants a number from 0",
		{"found = true", "found = maybe"}:               "18: found = maybe: wants one of true, false",
		{"roles = entry", "roles = control"}:            "1: role control needs dataFolder, which holds the log",
		{"roles = entry", "roles = entry, control"}:     "4: a host with direct dispatch has one role, entry or control",
		{"hostLosses = 1", "hostLosses = 1.5"}:          "19: hostLosses = 1.5: wants a whole number from 0",
		{"hostLosses = 1", "hostLosses = NaN"}:          "19: hostLosses = NaN: wants a whole number from 0",
		{"hostLosses = 1", "hostLosses = 1e300"}:        "19: hostLosses = 1e300: wants a whole number from 0",
		{"retryShare = 0.2", "retryShare = NaN"}:        "21: retryShare = NaN: wants a number from 0",
		{"retryShare = 0.2", "retryShare = Inf"}:        "21: retryShare = Inf: wants a number from 0",
		{"link = 2.2", "link = 2,2"}:                    "22: link = 2,2: wants a number from 0",
		{"hostLosses = 1", "losses = 1"}:                "19: unknown setting losses in section [direct], known are " + strings.Join(knownDirectSettings()["direct"], ", "),
		{"[direct]", "[other]"}:                         "16: unknown section [other], known are [host], [listen], [direct], [keys] and [network]",
	} {
		text := strings.Replace(directText, change[0], change[1], 1)
		c.Assert(text, qt.Not(qt.Equals), directText)
		_, findings := readText(c, text)
		c.Check(findings, qt.Contains, want, qt.Commentf("%q", change))
	}
}
