package operator

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/pkg/errors"

	"bramleyline.example/bramleyline/applier"
	"bramleyline.example/bramleyline/merger"
	"bramleyline.example/bramleyline/presenter"
)

const testKey = "operator-test-key"

// fakeControl applies commands to the real state machine in one order, as the replicated log does.
type fakeControl struct {
	mu sync.Mutex
	st *applier.State
	// lostAnswers is the number of next answers that are lost, each after its command was applied.
	lostAnswers int
}

var errAnswerLost = errors.New("answer was lost")

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
	if f.lostAnswers > 0 {
		f.lostAnswers--
		return applier.Result{}, errAnswerLost
	}
	return res, nil
}

// readExample returns the base file and the overlays of the example deployment zbiorka.
func readExample(c *qt.C) (string, map[string]string) {
	folder := filepath.Join("..", "examples", "zbiorka")
	base, err := os.ReadFile(filepath.Join(folder, "base.ini"))
	c.Assert(err, qt.IsNil)
	overlays := make(map[string]string)
	files, err := filepath.Glob(filepath.Join(folder, "overlays", "*.ini"))
	c.Assert(err, qt.IsNil)
	for _, f := range files {
		text, err := os.ReadFile(f)
		c.Assert(err, qt.IsNil)
		overlays[strings.TrimSuffix(filepath.Base(f), ".ini")] = string(text)
	}
	return string(base), overlays
}

// fixture is an Operator on a fake control group, with the example configuration in force as version 1.
type fixture struct {
	c        *qt.C
	control  *fakeControl
	facts    Facts
	o        *Operator
	handler  http.Handler
	base     string
	overlays map[string]string
}

func newFixture(t testing.TB) *fixture {
	c := qt.New(t)
	f := fixture{
		c: c,
	}
	f.base, f.overlays = readExample(c)
	stored := applier.StoredConfig{
		Version: 1, Digest: merger.Digest(f.base, f.overlays), Operator: "ada", At: time.Unix(1000, 0).UTC(), Base: f.base,
		Overlays: f.overlays,
	}
	f.control = &fakeControl{
		st: &applier.State{
			Index: 10, Config: stored, History: []applier.StoredConfig{stored},
		},
	}
	f.facts.Targets = []TargetFacts{
		{Name: "tally-1", Service: "tally", DataCentre: "krakow", State: "warm"},
		{Name: "payroll-1", Service: "payroll", DataCentre: "krakow", State: "warm"},
		{Name: "payroll-2", Service: "payroll", DataCentre: "bielsko", State: "cold"},
	}
	f.o = &Operator{
		Host: "krakow-1", Key: testKey, Source: f.control, Proposer: f.control,
		Facts: func(context.Context) Facts { return f.facts },
		Now:   func() time.Time { return time.Unix(2000, 0) },
	}
	f.handler = f.o.Handler()
	return &f
}

// post sends a change and returns the HTTP status code and the answer.
func (f *fixture) post(path string, in any) (int, presenter.Answer) {
	body, err := json.Marshal(in)
	f.c.Assert(err, qt.IsNil)
	req := httptest.NewRequest(http.MethodPost, path, bytes.NewReader(body))
	req.Header.Set("Content-Type", jsonType)
	rec := f.do(req)
	var a presenter.Answer
	f.c.Assert(json.Unmarshal(rec.Body.Bytes(), &a), qt.IsNil)
	return rec.Code, a
}

func (f *fixture) do(req *http.Request) *httptest.ResponseRecorder {
	req.Header.Set("Authorization", "Bearer "+testKey)
	rec := httptest.NewRecorder()
	f.handler.ServeHTTP(rec, req)
	return rec
}

func (f *fixture) change(expect uint64, operator, queueLimit string) presenter.Apply {
	return presenter.Apply{
		Expect: expect, Operator: operator, Overlays: f.overlays,
		Base: strings.Replace(f.base, "queueLimit = 32", "queueLimit = "+queueLimit, 1),
	}
}
