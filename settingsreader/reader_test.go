package settingsreader

import (
	"flag"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

var update = flag.Bool("update", false, "write the golden files")

// Guards against example settings that have findings, or hosts that share an address.
func TestExampleHosts(t *testing.T) {
	c := qt.New(t)
	for _, deployment := range []string{"zbiorka", "aebischer"} {
		files, err := filepath.Glob(filepath.Join("..", "examples", deployment, "hosts", "*.ini"))
		c.Assert(err, qt.IsNil)
		c.Assert(files, qt.HasLen, 8)
		control := 0
		byDataCentre := make(map[string]int)
		seen := make(map[netip.AddrPort]string)
		for _, f := range files {
			s, findings := Read(f)
			c.Assert(findings, qt.HasLen, 0)
			c.Assert(s.Name+".ini", qt.Equals, filepath.Base(f))
			c.Assert(s.Voters, qt.HasLen, 5)
			c.Assert(s.Hosts, qt.HasLen, 3)
			byDataCentre[s.DataCentre]++
			if s.Roles.Control {
				control++
			}
			l := s.Listen
			for _, a := range []netip.AddrPort{l.Caller, l.Peer, l.RPC, l.Announce, l.Operator} {
				c.Assert(seen[a], qt.Equals, "", qt.Commentf("%s of %s", a, s.Name))
				seen[a] = s.Name
			}
		}
		c.Assert(control, qt.Equals, 5)
		c.Assert(byDataCentre, qt.HasLen, 4)
	}
}

// Guards against a host that starts with incomplete settings and fails later with a less clear error, and against
// findings that contain secrets.
func TestFindings(t *testing.T) {
	c := qt.New(t)
	for _, name := range []string{"faults", "bare", "missing"} {
		_, findings := Read(filepath.Join("testdata", name+".ini"))
		var b strings.Builder
		for _, f := range findings {
			b.WriteString(filepath.ToSlash(f.String()) + "\n")
		}
		file := filepath.Join("testdata", name+".golden")
		if *update {
			c.Assert(os.WriteFile(file, []byte(b.String()), 0o644), qt.IsNil)
		}
		want, err := os.ReadFile(file)
		c.Assert(err, qt.IsNil)
		c.Assert(b.String(), qt.Equals, string(want))
		c.Assert(strings.Contains(b.String(), "hush"), qt.IsFalse)
	}
}

func TestRelativePathsStartAtTheFile(t *testing.T) {
	c := qt.New(t)
	s, _ := Read(filepath.Join("..", "examples", "zbiorka", "hosts", "krakow-1.ini"))
	c.Assert(s.DataFolder, qt.Equals, filepath.Join("..", "examples", "zbiorka", "data", "krakow-1"))
	c.Assert(s.Keys.Operator, qt.Equals, "zbiorka-example-operator-key")
}

// Guards against a pair that cannot be parsed and is ignored: the host would then use the announced address, which it
// cannot reach.
func TestTranslation(t *testing.T) {
	c := qt.New(t)
	file := filepath.Join(t.TempDir(), "host.ini")
	text := "[network]\ntranslation = 127.0.0.1:7102>127.0.0.1:9102, 127.0.0.1:7103\n"
	c.Assert(os.WriteFile(file, []byte(text), 0o600), qt.IsNil)
	s, findings := Read(file)
	announced := netip.MustParseAddrPort("127.0.0.1:7102")
	c.Assert(s.Translation, qt.HasLen, 1)
	c.Assert(s.Translation[announced], qt.Equals, netip.MustParseAddrPort("127.0.0.1:9102"))
	var messages []string
	for _, f := range findings {
		messages = append(messages, f.Message)
	}
	c.Assert(strings.Join(messages, "\n"), qt.Contains, `translation: "127.0.0.1:7103" wants the form IP:PORT>IP:PORT`)
}
