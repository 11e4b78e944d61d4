// Package experimenter is a fault-injection benchmark. It runs scenarios, each a load and a schedule of faults, with
// emulated targets and callers against a Cluster, audits every run for invariant violations, and compares policies by
// the same figures.
package experimenter

import (
	"context"
	"io"
	"os"
	"slices"
	"time"

	"github.com/pkg/errors"

	"bramleyline.example/bramleyline/auditor"
	"bramleyline.example/bramleyline/loadgenerator"
)

// Policies of the command measure: the router, the baseline that it is compared with, or both.
const (
	PolicyDefault  = "default"
	PolicyBaseline = "baseline"
	PolicyBoth     = "both"
)

var (
	// ErrViolated reports that a run violated an invariant.
	ErrViolated = errors.New("invariant violated")
	// ErrUnknown reports options that name no deployment, scenario or policy.
	ErrUnknown = errors.New("unknown name")
)

// Options choose the deployment, scenario, policy and load of a run.
type Options struct {
	Deployment string
	Scenario   string
	Policy     string
	Seed       uint64
	// For is the length of the measured load; zero means 20 s.
	For time.Duration
	// Rate is the number of requests a second; zero means the scenario's own.
	Rate float64
	// Out is the folder for results.json and the plots; empty means none.
	Out string
}

// Experimenter runs scenarios under one or both policies. The zero value is ready to use.
type Experimenter struct {
	// Make makes the system under test for the policy "default"; nil means real hosts in this process.
	Make func(Setup) (Cluster, error)
	// Stdout receives the table and the log of the steps; nil discards them.
	Stdout io.Writer
}

// Result is the outcome of one run under one policy.
type Result struct {
	Options Options
	Policy  string
	Start   time.Time
	// Steps is the log of the steps of the scenario, with their times since Start.
	Steps  []string
	Report auditor.Report
	// Records are the callers' records, for the plots.
	Records []loadgenerator.Record
	// Asserted counts the invariant violations that the program's own assertions found.
	Asserted int64
}

// Run runs one scenario under the policies asked for, prints the table and writes the files. It returns ErrViolated if
// the policy "default" violated an invariant or, if only the baseline was asked for, if the baseline did.
func (x *Experimenter) Run(ctx context.Context, o Options) ([]Result, error) {
	if o.For == 0 {
		o.For = 20 * time.Second
	}
	if x.Stdout == nil {
		x.Stdout = io.Discard
	}
	if o.Policy == "" {
		o.Policy = PolicyBoth
	}
	setup, ok := deployments()[o.Deployment]
	if !ok {
		return nil, errors.Wrapf(ErrUnknown, "deployment %q", o.Deployment)
	}
	i := slices.IndexFunc(scenarios(), func(s scenario) bool { return s.name == o.Scenario })
	if i < 0 {
		return nil, errors.Wrapf(ErrUnknown, "scenario %q", o.Scenario)
	}
	policies := map[string][]string{
		PolicyDefault:  {PolicyDefault},
		PolicyBaseline: {PolicyBaseline},
		PolicyBoth:     {PolicyBaseline, PolicyDefault},
	}[o.Policy]
	if len(policies) == 0 {
		return nil, errors.Wrapf(ErrUnknown, "policy %q", o.Policy)
	}
	var results []Result
	for _, policy := range policies {
		r, err := x.runPolicy(ctx, o, policy, setup, scenarios()[i])
		if err != nil {
			return results, errors.Wrapf(err, "policy %s", policy)
		}
		results = append(results, r)
	}
	printTable(x.Stdout, results)
	if o.Out != "" {
		if err := writeFiles(o.Out, results); err != nil {
			return results, err
		}
	}
	last := results[len(results)-1]
	if len(last.Report.Findings) > 0 || last.Asserted > 0 {
		return results, errors.Wrapf(ErrViolated, "policy %s, scenario %s, seed %d", last.Policy, o.Scenario, o.Seed)
	}
	return results, nil
}

// runPolicy runs the scenario under one policy, with a new network and a temporary folder of its own.
func (x *Experimenter) runPolicy(
	ctx context.Context, o Options, policy string, setup Setup, s scenario,
) (Result, error) {
	folder, err := os.MkdirTemp("", "bramleyline-measure-")
	if err != nil {
		return Result{}, errors.Wrap(err, "create the folder of the run")
	}
	defer func() { _ = os.RemoveAll(folder) }()
	network, err := newNetwork(setup.DataCentres)
	if err != nil {
		return Result{}, err
	}
	defer func() { _ = network.Close() }()
	setup.Network = network.Injector
	setup.Folder = folder
	setup.Seed = o.Seed
	setup.Token = "bench-target-key"
	makeCluster := newServers
	switch {
	case policy == PolicyBaseline:
		makeCluster = newBaseline
	case x.Make != nil:
		makeCluster = x.Make
	}
	cluster, err := makeCluster(setup)
	if err != nil {
		return Result{}, err
	}
	defer func() { _ = cluster.Close() }()
	t := newTrial(o, policy, setup, s, network, cluster, x.Stdout)
	defer t.close()
	return t.run(ctx)
}

// Scenarios lists the names of all scenarios with a one-line description of each, in the order of the documentation.
func Scenarios() [][2]string {
	var list [][2]string
	for _, s := range scenarios() {
		list = append(list, [2]string{s.name, s.description})
	}
	return list
}
