package commander

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"encoding/pem"
	"io"
	"log"
	"math/big"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"bramleyline.example/bramleyline/applier"
	"bramleyline.example/bramleyline/checker"
	"bramleyline.example/bramleyline/fencer"
	"bramleyline.example/bramleyline/keyer"
	"bramleyline.example/bramleyline/merger"
	"bramleyline.example/bramleyline/operator"
)

const zbiorka = "../examples/zbiorka/"

// fakeControl stands in for the control group: it applies commands to the real state machine without replication.
type fakeControl struct {
	mu sync.Mutex
	st *applier.State
}

func (f *fakeControl) State() *applier.State {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.st
}

func (f *fakeControl) Propose(_ context.Context, cmd applier.Command) (applier.Result, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	next, res := f.st.Apply(f.st.Index+1, cmd)
	f.st = next
	return res, nil
}

// hostFixture is the operators' API of a host that has the example as version 1. Its flags list an unreachable host
// before it.
type hostFixture struct {
	c       *qt.C
	control *fakeControl
	facts   operator.Facts
	flags   []string
	files   []string
	folders []string
	handler http.Handler
}

func newHost(t *testing.T) *hostFixture {
	c := qt.New(t)
	f := hostFixture{
		c:       c,
		control: &fakeControl{st: &applier.State{}},
	}
	overlays, err := filepath.Glob(zbiorka + "overlays/*.ini")
	c.Assert(err, qt.IsNil)
	f.files = append([]string{zbiorka + "base.ini"}, overlays...)
	base, sources, err := readSources(f.files)
	c.Assert(err, qt.IsNil)
	texts := overlayTexts(sources)
	f.control.st.Config = applier.StoredConfig{
		Version: 1, Digest: merger.Digest(base.Text, texts), Operator: "ada", At: time.Unix(1000, 0), Base: base.Text,
		Overlays: texts,
	}
	f.control.st.History = []applier.StoredConfig{f.control.st.Config}
	o := operator.Operator{
		Host: "krakow-1", Key: "zbiorka-example-operator-key", Source: f.control, Proposer: f.control,
		Facts: func(context.Context) operator.Facts { return f.facts },
		Now:   func() time.Time { return time.Unix(2000, 0) },
	}
	f.handler = o.Handler()
	live := httptest.NewServer(f.handler)
	c.Cleanup(live.Close)
	dead := httptest.NewServer(nil)
	dead.Close()
	f.flags = []string{
		"-host", dead.Listener.Addr().String() + "," + live.Listener.Addr().String(),
		"-keyFile", zbiorka + "keys/operator.key", "-operator", "bob", "-waitFor", "1s",
	}
	return &f
}

func (f *hostFixture) run(args ...string) (code int, out, errOut string) {
	flags := f.flags
	switch args[0] {
	case "status", "history", "show", "diff":
		flags = flags[:4]
	}
	return run(Commander{}, append(args, flags...)...)
}

// editBase writes a copy of the example's base file with the first occurrence of from replaced by to, and returns the
// files of the changed configuration.
func (f *hostFixture) editBase(from, to string) []string {
	text, err := os.ReadFile(f.files[0])
	f.c.Assert(err, qt.IsNil)
	folder := f.c.TempDir()
	f.folders = append(f.folders, folder)
	file := filepath.Join(folder, "base.ini")
	f.c.Assert(os.WriteFile(file, []byte(strings.Replace(string(text), from, to, 1)), 0o644), qt.IsNil)
	return append([]string{file}, f.files[1:]...)
}

// stripFolders removes the names of temporary folders, which differ between runs.
func (f *hostFixture) stripFolders(text string) string {
	for _, folder := range f.folders {
		text = strings.ReplaceAll(text, folder+string(filepath.Separator), "")
	}
	return text
}

func TestDiff(t *testing.T) {
	f := newHost(t)
	_, out, _ := f.run(append([]string{"diff"}, f.files...)...)
	f.c.Assert(out, qt.Equals, "no difference: version 1 has the same text\n")
	files := f.editBase("moveBudget = 4", "moveBudget = 8\nretryBudget = 0.2")
	code, out, errOut := f.run(append([]string{"diff"}, files...)...)
	f.c.Assert(code, qt.Equals, exitOK, qt.Commentf("%s", errOut))
	checkGolden(f.c, "diff", f.stripFolders(out))
	_, out, _ = f.run(append([]string{"diff"}, f.editBase("; Running weights", "; The running weights")...)...)
	f.c.Assert(out, qt.Contains, "only comments")
}

func TestApplyShowAndHistory(t *testing.T) {
	f := newHost(t)
	c := f.c
	f.facts.Hosts = []operator.HostFacts{
		{Name: "krakow-1", Reachable: true, ConfigVersion: 2},
		{Name: "zug-1"},
	}
	files := f.editBase("moveBudget = 4", "moveBudget = 8")
	code, out, errOut := f.run(append([]string{"apply", "-expect", "1", "-wait"}, files...)...)
	c.Assert(code, qt.Equals, exitOK, qt.Commentf("%s", errOut))
	checkGolden(c, "apply", out)
	_, history, _ := f.run("history")
	checkGolden(c, "history", history)
	// To roll back, apply the old text as a new version.
	folder := c.TempDir()
	code, _, errOut = f.run("show", "1", "-folder", folder)
	c.Assert(code, qt.Equals, exitOK, qt.Commentf("%s", errOut))
	overlays, err := filepath.Glob(filepath.Join(folder, "overlays", "*.ini"))
	c.Assert(err, qt.IsNil)
	c.Assert(overlays, qt.HasLen, 4)
	old := append([]string{"apply", "-expect", "2", filepath.Join(folder, "base.ini")}, overlays...)
	code, _, errOut = f.run(old...)
	c.Assert(code, qt.Equals, exitOK, qt.Commentf("%s", errOut))
	c.Assert(f.control.st.Config.Version, qt.Equals, uint64(3))
	c.Assert(f.control.st.Config.Digest, qt.Equals, f.control.st.History[0].Digest)
	// A second write must not overwrite files that the operator may have edited.
	code, _, _ = f.run("show", "1", "-folder", folder)
	c.Assert(code, qt.Equals, exitFailure)
}

// Guards against refusals that do not say what to do next or have an exit code other than 1.
func TestRefusals(t *testing.T) {
	f := newHost(t)
	c := f.c
	f.facts.Hosts = []operator.HostFacts{{Name: "krakow-2", Reachable: true, ConfigVersion: 1}, {Name: "zug-1"}}
	var transcript strings.Builder
	for _, args := range [][]string{
		append([]string{"apply", "-expect", "0"}, f.editBase("moveBudget = 4", "moveBudget = 8")...),
		append([]string{"apply", "-expect", "7"}, f.files...),
		append([]string{"apply", "-expect", "1"}, f.editBase("slots = 1024", "slots = 512")...),
		append([]string{"apply", "-expect", "1"}, f.editBase("kind = keyed", "kind = kezed")...),
		append([]string{"apply", "-expect", "1", "-wait"}, f.editBase("moveBudget = 4", "moveBudget = 8")...),
		{"takeout", "dc", "atlantis"},
		{"takeout", "target", "tally-1"},
		{"show", "9"},
		{"status", "key", "payroll", "x"},
		{"status", "key", "nothing", "x"},
	} {
		code, out, errOut := f.run(args...)
		c.Assert(code, qt.Equals, exitFailure, qt.Commentf("%v: %s %s", args, out, errOut))
		transcript.WriteString("$ " + args[0] + "\n" + f.stripFolders(out) + errOut)
	}
	checkGolden(c, "refusals", transcript.String())
}

func TestWrongUsageOfRemoteCommands(t *testing.T) {
	f := newHost(t)
	for _, args := range [][]string{
		append([]string{"apply"}, f.files...),
		{"apply", "-expect", "1"},
		{"takeout", "dc"},
		{"takeout", "host", "krakow-1"},
		{"restore"},
		{"show"},
		{"show", "one"},
		{"status", "keys"},
		{"history", "all"},
	} {
		code, _, errOut := f.run(args...)
		f.c.Assert(code, qt.Equals, exitUsage, qt.Commentf("%v: %s", args, errOut))
	}
	code, _, _ := run(Commander{}, "status")
	f.c.Assert(code, qt.Equals, exitUsage)
	code, _, _ = run(Commander{}, "status", "-host", "localhost:1")
	f.c.Assert(code, qt.Equals, exitUsage)
}

// Guards against an empty status in place of an error when no host answers.
func TestNoHostCouldBeReached(t *testing.T) {
	f := newHost(t)
	dead := strings.Split(f.flags[1], ",")[0]
	code, out, errOut := run(Commander{}, "status", "-host", dead, "-keyFile", f.flags[3])
	f.c.Assert(code, qt.Equals, exitFailure)
	f.c.Assert(out, qt.Equals, "")
	f.c.Assert(strings.ReplaceAll(errOut, dead, "HOST"), qt.Equals,
		"no host could be reached: HOST: connect: connection refused\n")
}

func TestStatus(t *testing.T) {
	f := newHost(t)
	c := f.c
	f.fillState()
	code, out, errOut := f.run("status")
	c.Assert(code, qt.Equals, exitOK, qt.Commentf("%s", errOut))
	checkGolden(c, "status", out)
	_, out, _ = f.run("status", "-json")
	checkGolden(c, "statusJson", out)
	_, out, _ = f.run("status", "key", "tally", "picker-1")
	checkGolden(c, "statusKey", out)
	_, out, _ = f.run("status", "key", "tally", "hot-picker", "-json")
	checkGolden(c, "statusKeyJson", out)
}

// fillState gives the host a state that raises each kind of alarm but noConfiguration and configurationUnreadable.
func (f *hostFixture) fillState() {
	st := f.control.st
	st.Index = 6
	st.Voters = []string{"krakow-1", "krakow-2"}
	st.Hosts = map[string]applier.Host{"bielsko-2": {Name: "bielsko-2", DataCentre: "bielsko"}}
	change := applier.ServiceChange{Operator: "ada", At: time.Unix(1500, 0)}
	st.DataCentres = map[string]applier.DataCentre{
		"bielsko": {Name: "bielsko", Authority: "bielsko-1", InSync: map[string]uint64{"bielsko-1": 1}, Out: true, Changed: change},
	}
	st.TargetsOut = map[string]applier.ServiceChange{"tally-9": change}
	f.facts = operator.Facts{
		Hosts: []operator.HostFacts{
			{Name: "krakow-1", DataCentre: "krakow", Reachable: true, ConfigVersion: 1, ConfigAge: time.Hour, Index: 42},
			{Name: "krakow-2", DataCentre: "krakow", Reachable: true, HeardAgo: 80 * time.Millisecond},
			{Name: "bielsko-1", DataCentre: "bielsko", Reachable: true, ConfigVersion: 1, ConfigAge: time.Minute, Index: 42},
		},
		Targets: []operator.TargetFacts{
			{Name: "tally-1", Service: "tally", DataCentre: "krakow", Host: "krakow-1", State: "warm", InFlight: 3},
			{Name: "tally-2", Service: "tally", DataCentre: "bielsko", Host: "bielsko-1", State: "warm"},
			{Name: "tally-3", Service: "tally", DataCentre: "krakow", Host: "krakow-2", State: "lost", HeardAgo: time.Minute},
		},
		Leases: []operator.LeaseFacts{
			{Kind: "hold", Holder: "bielsko-1", DataCentre: "bielsko", Service: "tally", Remaining: 40 * time.Minute},
			{Kind: "authority", Holder: "krakow-1", DataCentre: "krakow", Remaining: 700 * time.Millisecond},
		},
		Violations: 1,
	}
	slots := make([]keyer.Slot, 1000)
	owners := make([]applier.OwnerChange, len(slots))
	for i := range slots {
		slots[i] = keyer.Slot(i)
		owners[i] = applier.OwnerChange{Slot: slots[i], Target: "tally-1", Epoch: fencer.NewEpoch(9, 3)}
	}
	hot := keyer.Slot(0)
	for k, _ := keyer.New("path:1", 1024); hot == 0; {
		hot = k.Slot("hot-picker")
	}
	for _, cmd := range []applier.Command{
		{NameAuthority: &applier.NameAuthorityMsg{DataCentre: "krakow", Host: "krakow-1", Incarnation: 1}},
		{SetInSync: &applier.SetInSyncMsg{
			DataCentre: "krakow", AuthorityIndex: 7, InSync: map[string]uint64{"krakow-1": 1, "krakow-2": 1},
		}},
		{Delegate: &applier.DelegateMsg{Service: "tally", Slots: slots, DataCentre: "krakow"}},
		{Assign: &applier.AssignMsg{
			DataCentre: "krakow", AuthorityIndex: 7, Service: "tally", Owners: owners,
			HotKeys: map[string]applier.OwnerChange{
				"hot-picker": {Slot: hot, Target: "tally-2", Epoch: fencer.NewEpoch(9, 1)},
			},
		}},
	} {
		res, err := f.control.Propose(f.c.Context(), cmd)
		f.c.Assert(err, qt.IsNil)
		f.c.Assert(res.Rejection, qt.Equals, "")
	}
}

// Guards against a status command that fails when this program cannot read the configuration in force.
func TestStoredConfigurationOfANewerProgram(t *testing.T) {
	f := newHost(t)
	f.control.st.Config.Base += "\n[newSection]\n"
	code, out, _ := f.run("status")
	f.c.Assert(code, qt.Equals, exitOK)
	f.c.Assert(out, qt.Contains, "ALARM configurationUnreadable")
	_, err := checker.Stored(&f.control.st.Config, "krakow")
	f.c.Assert(err, qt.ErrorMatches, "configuration version 1 has 1 findings, .*")
}

// Guards against changes that are recorded without a name: processes that the platform starts often lack USER.
func TestOperatorIsTheUserOfTheProcess(t *testing.T) {
	c := qt.New(t)
	c.Setenv("USER", "")
	c.Assert(userName(), qt.Not(qt.Equals), "")
	c.Setenv("USER", "ada")
	c.Assert(userName(), qt.Equals, "ada")
}

// Guards against sending the operators' key to a host whose certificate is not from the certificate authority that
// -authority names.
func TestCertificateAuthority(t *testing.T) {
	f := newHost(t)
	host := httptest.NewTLSServer(f.handler)
	defer host.Close()
	host.Config.ErrorLog = log.New(io.Discard, "", 0)
	file := filepath.Join(f.c.TempDir(), "authority.pem")
	block := pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: host.Certificate().Raw})
	f.c.Assert(os.WriteFile(file, block, 0o644), qt.IsNil)
	args := []string{"history", "-host", host.Listener.Addr().String(), "-keyFile", zbiorka + "keys/operator.key", "-authority"}
	code, _, errOut := run(Commander{}, append(args, file)...)
	f.c.Assert(code, qt.Equals, exitOK, qt.Commentf("%s", errOut))
	other := filepath.Join(f.c.TempDir(), "other.pem")
	f.c.Assert(os.WriteFile(other, selfSignedCertificate(f.c), 0o644), qt.IsNil)
	code, _, errOut = run(Commander{}, append(args, other)...)
	f.c.Assert(code, qt.Equals, exitFailure)
	f.c.Assert(errOut, qt.Contains, "unknown authority")
}

// selfSignedCertificate returns a new self-signed certificate.
func selfSignedCertificate(c *qt.C) []byte {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	c.Assert(err, qt.IsNil)
	template := x509.Certificate{SerialNumber: big.NewInt(1), IsCA: true, BasicConstraintsValid: true}
	der, err := x509.CreateCertificate(rand.Reader, &template, &template, &key.PublicKey, key)
	c.Assert(err, qt.IsNil)
	return pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der})
}
