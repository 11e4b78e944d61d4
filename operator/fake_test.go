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
	// lose makes the next answers get lost after their command was applied.
	lose int
}

var errLost = errors.New("answer was lost")

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
	if f.lose > 0 {
		f.lose--
		return applier.Result{}, errLost
	}
	return res, nil
}

// example returns the texts of an example deployment.
func example(c *qt.C) (string, map[string]string) {
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

// fixture is an Operator on a fake control group with the example as version 1.
type fixture struct {
	c       *qt.C
	control *fakeControl
	facts   Facts
	o       *Operator
	handler http.Handler
	base    string
	texts   map[string]string
}

func newFixture(t testing.TB) *fixture {
	c := qt.New(t)
	f := fixture{
		c: c,
	}
	f.base, f.texts = example(c)
	stored := applier.StoredConfig{
		Version: 1, Digest: merger.Digest(f.base, f.texts), Operator: "ada", At: time.Unix(1000, 0).UTC(), Base: f.base,
		Overlays: f.texts,
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

// post sends a change and returns the HTTP code and the answer.
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
		Expect: expect, Operator: operator, Overlays: f.texts,
		Base: strings.Replace(f.base, "queueLimit = 32", "queueLimit = "+queueLimit, 1),
	}
}
