package operator

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"
	"unicode"

	"github.com/pkg/errors"

	"bramleyline.example/bramleyline/applier"
	"bramleyline.example/bramleyline/checker"
	"bramleyline.example/bramleyline/merger"
	"bramleyline.example/bramleyline/presenter"
	"bramleyline.example/bramleyline/proposer"
)

// maxOperatorBytes bounds the name of an operator, which is stored with each version.
const maxOperatorBytes = 64

// catchUpTimeout bounds the wait until this host has applied a change that was accepted on another one: a host that is
// behind for longer is assumed to be cut off.
const (
	catchUpTimeout  = time.Second
	catchUpInterval = 5 * time.Millisecond
)

// statusCodes maps outcomes to HTTP status codes.
var statusCodes = map[presenter.Outcome]int{
	presenter.Applied:    http.StatusOK,
	presenter.Already:    http.StatusOK,
	presenter.Invalid:    http.StatusUnprocessableEntity,
	presenter.LostRace:   http.StatusConflict,
	presenter.NeedsForce: http.StatusPreconditionRequired,
	presenter.Refused:    http.StatusConflict,
	presenter.NoLeader:   http.StatusServiceUnavailable,
	presenter.Unknown:    http.StatusServiceUnavailable,
}

func (o *Operator) answerChange(w http.ResponseWriter, a presenter.Answer) {
	counters.Add(string(a.Outcome), 1)
	writeAnswer(w, statusCodes[a.Outcome], a)
}

func (o *Operator) apply(w http.ResponseWriter, r *http.Request) {
	var req presenter.Apply
	if !readJSON(w, r, &req) {
		return
	}
	o.answerChange(w, o.applyConfig(r.Context(), &req))
}

// applyConfig checks a configuration and proposes it. The command line has checked it too, but may be an older program
// than the host.
func (o *Operator) applyConfig(ctx context.Context, req *presenter.Apply) presenter.Answer {
	if !validOperator(req.Operator) {
		return refused("operator needs a name of at most %d printable characters", maxOperatorBytes)
	}
	st := o.state()
	digest := merger.Digest(req.Base, req.Overlays)
	// A retry after a lost answer gets the first answer, even if later versions were accepted since then.
	if v, ok := findVersion(st, req.Expect+1); ok && v.Digest == digest {
		return applied(&v, st.Index)
	}
	report := checker.Checker{
		InForce: o.servicesInForce(st),
	}.CheckTexts(req.Base, req.Overlays)
	if !report.OK() {
		a := presenter.Answer{
			Outcome: presenter.Invalid,
			Message: fmt.Sprintf("findings in the configuration: %d", len(report.Findings)),
		}
		for _, f := range report.Findings {
			a.Findings = append(a.Findings, f.String())
		}
		return a
	}
	facts := o.facts(ctx)
	if message, ok := refuseShorterHold(o.shortenedSettings(st, &report), outdatedHosts(st, &facts)); ok {
		return refused("%s", message)
	}
	if !req.Force {
		if losses := o.configLosses(st, &facts, &report); len(losses) > 0 {
			return presenter.Answer{
				Outcome:  presenter.NeedsForce,
				Message:  "the change takes service away; send it with -force if that is meant",
				Findings: losses,
			}
		}
	}
	return o.proposeConfig(ctx, req, digest)
}

func (o *Operator) proposeConfig(ctx context.Context, req *presenter.Apply, digest string) presenter.Answer {
	requestedAt := o.now().UTC()
	res, err := o.propose(ctx, applier.Command{
		// No RequestID: the compare-and-set on the version makes the command idempotent, and a rejection that is
		// remembered by ID would still be returned after its reason is gone.
		PutConfig: &applier.PutConfigMsg{
			Expect:   req.Expect,
			Digest:   digest,
			Operator: req.Operator,
			At:       requestedAt,
			Base:     req.Base,
			Overlays: req.Overlays,
		},
	})
	switch {
	case err != nil:
		return failed(err)
	case res.Rejection == "":
		o.log("configuration accepted", "version", req.Expect+1, "digest", digest, "operator", req.Operator)
		// The version may come from an earlier request with the same text; the answer then carries the operator and
		// time of that request.
		o.catchUp(ctx, res.Index)
		if v, ok := findVersion(o.state(), req.Expect+1); ok {
			return applied(&v, res.Index)
		}
		return applied(&applier.StoredConfig{
			Version:  req.Expect + 1,
			Digest:   digest,
			Operator: req.Operator,
			At:       requestedAt,
		}, res.Index)
	case res.Winner != nil:
		return presenter.Answer{
			Outcome: presenter.LostRace,
			Message: fmt.Sprintf("version %d was accepted before: digest %s from %s at %s; look at it with show %d, make "+
				"the change on top of the version in force and send it with -expect %d", res.Winner.Version, res.Winner.Digest,
				res.Winner.Operator, formatTime(res.Winner.At), res.Winner.Version,
				max(res.Winner.Version, o.state().Config.Version)),
			Version: wireVersion(res.Winner, false),
		}
	}
	return refused("%s", res.Rejection)
}

func (o *Operator) propose(ctx context.Context, cmd applier.Command) (applier.Result, error) {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	res, err := o.Proposer.Propose(ctx, cmd)
	if err != nil {
		counters.Add("proposeErrors", 1)
	}
	return res, err
}

// catchUp waits until this host has applied the log up to index, so that its next status includes the change.
func (o *Operator) catchUp(ctx context.Context, index uint64) {
	ctx, cancel := context.WithTimeout(ctx, catchUpTimeout)
	defer cancel()
	for o.state().Index < index {
		select {
		case <-ctx.Done():
			counters.Add("behindLeader", 1)
			return
		case <-time.After(catchUpInterval):
		}
	}
}

func applied(v *applier.StoredConfig, index uint64) presenter.Answer {
	return presenter.Answer{
		Outcome: presenter.Applied,
		Message: fmt.Sprintf("version %d is accepted: digest %s from %s at %s", v.Version, v.Digest, v.Operator,
			formatTime(v.At)),
		Version: wireVersion(v, false),
		Index:   index,
	}
}

func refused(format string, args ...any) presenter.Answer {
	return presenter.Answer{
		Outcome: presenter.Refused,
		Message: fmt.Sprintf(format, args...),
	}
}

// failed returns the answer to a change whose proposal returned an error.
func failed(err error) presenter.Answer {
	if errors.Is(err, proposer.ErrNotApplied) {
		return presenter.Answer{
			Outcome: presenter.NoLeader,
			Message: fmt.Sprintf("no control leader was reached, nothing was changed: %v", err),
		}
	}
	return presenter.Answer{
		Outcome: presenter.Unknown,
		Message: fmt.Sprintf("the control leader did not answer, the change may still be accepted: %v", err),
	}
}

func validOperator(name string) bool {
	return name != "" && len(name) <= maxOperatorBytes &&
		!strings.ContainsFunc(name, func(r rune) bool { return !unicode.IsPrint(r) })
}

func findVersion(st *applier.State, version uint64) (applier.StoredConfig, bool) {
	if version != 0 && st.Config.Version == version {
		return st.Config, true
	}
	i := slices.IndexFunc(st.History, func(v applier.StoredConfig) bool { return v.Version == version })
	if i < 0 {
		return applier.StoredConfig{}, false
	}
	return st.History[i], true
}
