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

// maxOperatorBytes bounds the name that an operator gives, which is kept with each version.
const maxOperatorBytes = 64

// catchUpTimeout bounds the wait for a change that was accepted elsewhere: a host that is behind for longer is cut off.
const (
	catchUpTimeout  = time.Second
	catchUpInterval = 5 * time.Millisecond
)

// statusCodes are the HTTP codes of outcomes.
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

func (o *Operator) answer(w http.ResponseWriter, a presenter.Answer) {
	counters.Add(string(a.Outcome), 1)
	writeAnswer(w, statusCodes[a.Outcome], a)
}

func (o *Operator) apply(w http.ResponseWriter, r *http.Request) {
	var req presenter.Apply
	if !readJSON(w, r, &req) {
		return
	}
	o.answer(w, o.applyConfig(r.Context(), &req))
}

// applyConfig checks the text again, because the command line may be older than the host, and proposes it.
func (o *Operator) applyConfig(ctx context.Context, req *presenter.Apply) presenter.Answer {
	if !validOperator(req.Operator) {
		return refused("operator needs a name of at most %d printable characters", maxOperatorBytes)
	}
	st := o.state()
	digest := merger.Digest(req.Base, req.Overlays)
	// A resend after a lost answer gets the first answer, also when later versions were accepted since then.
	if v, ok := versionOf(st, req.Expect+1); ok && v.Digest == digest {
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
	if message, ok := refuseShorterHold(o.shortened(st, &report), unaware(st, &facts)); ok {
		return refused("%s", message)
	}
	if !req.Force {
		if losses := o.losses(st, &facts, &report); len(losses) > 0 {
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
	at := o.now().UTC()
	res, err := o.propose(ctx, applier.Command{
		// No RequestID: the compare-and-set on the version makes the command idempotent, and a remembered refusal
		// would outlive its reason.
		PutConfig: &applier.PutConfigMsg{
			Expect:   req.Expect,
			Digest:   digest,
			Operator: req.Operator,
			At:       at,
			Base:     req.Base,
			Overlays: req.Overlays,
		},
	})
	switch {
	case err != nil:
		return failed(err)
	case res.Refusal == "":
		o.log("configuration accepted", "version", req.Expect+1, "digest", digest, "operator", req.Operator)
		// The accepted one may be an earlier request of the same text, whose operator and time are the ones to tell.
		o.catchUp(ctx, res.Index)
		if v, ok := versionOf(o.state(), req.Expect+1); ok {
			return applied(&v, res.Index)
		}
		return applied(&applier.StoredConfig{
			Version:  req.Expect + 1,
			Digest:   digest,
			Operator: req.Operator,
			At:       at,
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
	return refused("%s", res.Refusal)
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

// catchUp waits until this host knows the state up to index, so that what it shows next has the change in it.
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

// failed answers a proposal without a result.
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

func versionOf(st *applier.State, version uint64) (applier.StoredConfig, bool) {
	if version != 0 && st.Config.Version == version {
		return st.Config, true
	}
	i := slices.IndexFunc(st.History, func(v applier.StoredConfig) bool { return v.Version == version })
	if i < 0 {
		return applier.StoredConfig{}, false
	}
	return st.History[i], true
}
