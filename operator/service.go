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

// maxRequestBytes bounds the identity of a request, which the log keeps.
const maxRequestBytes = 128

func (o *Operator) setService(w http.ResponseWriter, r *http.Request) {
	var req presenter.SetService
	if !readJSON(w, r, &req) {
		return
	}
	o.answer(w, o.changeService(r.Context(), &req))
}

func (o *Operator) changeService(ctx context.Context, req *presenter.SetService) presenter.Answer {
	switch {
	case !validOperator(req.Operator):
		return refused("operator needs a name of at most %d printable characters", maxOperatorBytes)
	case (req.DataCentre == "") == (req.Target == ""):
		return refused("name either a data centre or a target")
	case req.Request == "" || len(req.Request) > maxRequestBytes:
		return refused("request needs an identity of at most %d bytes", maxRequestBytes)
	}
	st := o.state()
	// A request that was applied before keeps its answer, whatever happened since.
	if res, ok := st.Answer(req.Request); ok && res.Refusal == "" {
		return o.changed(req, res)
	}
	before, out, reason := o.find(ctx, st, req)
	if reason != "" {
		return refused("%s", reason)
	}
	if req.Out && !out && !req.Force {
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
			Others:     o.others(st, req),
		},
	})
	o.catchUp(ctx, res.Index)
	switch {
	case err != nil:
		return failed(err)
	// The command was proposed all the same, because this host may not yet know of a change in between.
	case out == req.Out:
		return already(req, before, res.Index)
	case res.Refusal != "":
		return refused("%s", res.Refusal)
	}
	o.log("service changed", "subject", subject(req), "out", req.Out, "operator", req.Operator)
	return o.changed(req, res)
}

// others returns the data centres of which one must stay in service; none if the change is forced or no takeout of a
// data centre.
func (o *Operator) others(st *applier.State, req *presenter.SetService) []string {
	cfg := o.configOf(st)
	if cfg == nil || req.DataCentre == "" || !req.Out || req.Force {
		return nil
	}
	return slices.DeleteFunc(slices.Clone(cfg.DataCentres), func(name string) bool { return name == req.DataCentre })
}

// find returns who last changed the data centre or target, whether it is out, and why it cannot be changed.
func (o *Operator) find(ctx context.Context, st *applier.State, req *presenter.SetService) (
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
	if cfg := o.configOf(st); cfg != nil {
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

func already(req *presenter.SetService, before applier.ServiceChange, index uint64) presenter.Answer {
	state := "in service"
	if req.Out {
		state = "out"
	}
	message := fmt.Sprintf("%s is %s already", subject(req), state)
	if before.Operator != "" {
		message += fmt.Sprintf(", by %s since %s", before.Operator, formatTime(before.At))
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
