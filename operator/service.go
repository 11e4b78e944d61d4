package operator

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"time"

	"bramleyline.example/bramleyline/applier"
	"bramleyline.example/bramleyline/presenter"
)

// maxRequestIDBytes bounds the ID of a request, which is stored in the replicated log.
const maxRequestIDBytes = 128

func (o *Operator) setService(w http.ResponseWriter, r *http.Request) {
	var req presenter.SetService
	if !readJSON(w, r, &req) {
		return
	}
	o.answerChange(w, o.changeService(r.Context(), &req))
}

func (o *Operator) changeService(ctx context.Context, req *presenter.SetService) presenter.Answer {
	switch {
	case !validOperator(req.Operator):
		return refused("operator needs a name of at most %d printable characters", maxOperatorBytes)
	case (req.DataCentre == "") == (req.Target == ""):
		return refused("name either a data centre or a target")
	case req.Request == "" || len(req.Request) > maxRequestIDBytes:
		return refused("request needs an identity of at most %d bytes", maxRequestIDBytes)
	}
	st := o.state()
	// A retry of a request that was applied gets the first answer, whatever has changed since.
	if res, ok := st.ResultOf(req.Request); ok && res.Rejection == "" {
		return o.changed(req, res)
	}
	lastChange, isOut, reason := o.findSubject(ctx, st, req)
	if reason != "" {
		return refused("%s", reason)
	}
	if req.Out && !isOut && !req.Force {
		if losses := o.takeoutLosses(ctx, st, req.DataCentre, req.Target); len(losses) > 0 {
			return presenter.Answer{
				Outcome:  presenter.NeedsForce,
				Message:  "the takeout takes service away; send it with -force if that is meant",
				Findings: losses,
			}
		}
	}
	res, err := o.propose(ctx, applier.Command{
		RequestID: req.Request,
		SetService: &applier.SetServiceMsg{
			DataCentre: req.DataCentre,
			Target:     req.Target,
			Out:        req.Out,
			Operator:   req.Operator,
			At:         o.now().UTC(),
			Others:     o.otherDataCentres(st, req),
		},
	})
	o.catchUp(ctx, res.Index)
	switch {
	case err != nil:
		return failed(err)
	// The state of this host showed the requested state before. The command was proposed nevertheless, because that
	// state may have lacked a later change.
	case isOut == req.Out:
		return already(req, lastChange, res.Index)
	case res.Rejection != "":
		return refused("%s", res.Rejection)
	}
	o.log("service changed", "subject", subject(req), "out", req.Out, "operator", req.Operator)
	return o.changed(req, res)
}

// otherDataCentres returns the other data centres, of which at least one must stay in service, for the takeout of a
// data centre; none for any other change and with force.
func (o *Operator) otherDataCentres(st *applier.State, req *presenter.SetService) []string {
	cfg := o.configInForce(st)
	if cfg == nil || req.DataCentre == "" || !req.Out || req.Force {
		return nil
	}
	return slices.DeleteFunc(slices.Clone(cfg.DataCentres), func(name string) bool { return name == req.DataCentre })
}

// findSubject returns the last change of the data centre or target of a request, and whether it is out of service. If
// it is unknown, findSubject returns the reason to refuse the request.
func (o *Operator) findSubject(ctx context.Context, st *applier.State, req *presenter.SetService) (
	change applier.ServiceChange, out bool, reason string,
) {
	if req.Target != "" {
		change, out = st.TargetsOut[req.Target]
		known := slices.ContainsFunc(o.facts(ctx).Targets, func(t TargetFacts) bool { return t.Name == req.Target })
		if !known && !out {
			return change, out, fmt.Sprintf("no host knows a target %s; status lists them", req.Target)
		}
		return change, out, ""
	}
	dc, known := st.DataCentres[req.DataCentre]
	if cfg := o.configInForce(st); cfg != nil {
		known = known || slices.Contains(cfg.DataCentres, req.DataCentre)
	}
	if !known {
		return dc.Changed, dc.Out, fmt.Sprintf("there is no data centre %s; status lists them", req.DataCentre)
	}
	return dc.Changed, dc.Out, ""
}

func (o *Operator) changed(req *presenter.SetService, res applier.Result) presenter.Answer {
	verb := "restored"
	if req.Out {
		verb = "taken out"
	}
	return presenter.Answer{
		Outcome: presenter.Applied,
		Message: fmt.Sprintf("%s is %s by %s", subject(req), verb, req.Operator),
		Index:   res.Index,
	}
}

func already(req *presenter.SetService, lastChange applier.ServiceChange, index uint64) presenter.Answer {
	state := "in service"
	if req.Out {
		state = "out"
	}
	message := fmt.Sprintf("%s is %s already", subject(req), state)
	if lastChange.Operator != "" {
		message += fmt.Sprintf(", by %s since %s", lastChange.Operator, formatTime(lastChange.At))
	}
	return presenter.Answer{
		Outcome: presenter.Already,
		Message: message,
		Index:   index,
	}
}

func subject(req *presenter.SetService) string {
	if req.Target != "" {
		return "target " + req.Target
	}
	return "data centre " + req.DataCentre
}

func formatTime(t time.Time) string {
	if t.IsZero() {
		return "an unknown time"
	}
	return t.UTC().Format(time.RFC3339)
}
