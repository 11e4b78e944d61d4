package operator

import (
	"net/http"

	"github.com/go-chi/chi/v5"

	"bramleyline.example/bramleyline/keyer"
	"bramleyline.example/bramleyline/presenter"
)

// keyStatus answers with the owner of one key according to the replicated state. An authority that is cut off from the
// control leader may have assigned the slot to another target since.
func (o *Operator) keyStatus(w http.ResponseWriter, r *http.Request) {
	name := chi.URLParam(r, "service")
	key := r.URL.Query().Get("key")
	st := o.state()
	cfg := o.configInForce(st)
	if cfg == nil {
		writeAnswer(w, http.StatusNotFound, refused("no configuration was accepted yet"))
		return
	}
	s, ok := cfg.Service(name)
	switch {
	case !ok:
		writeAnswer(w, http.StatusNotFound, refused("there is no service %s", name))
		return
	case !s.Keyed:
		writeAnswer(w, http.StatusBadRequest, refused("service %s is shared, its keys have no owner", name))
		return
	case key == "" || len(key) > keyer.MaxKeyBytes:
		writeAnswer(w, http.StatusBadRequest, refused("key must have 1 to %d bytes", keyer.MaxKeyBytes))
		return
	}
	k, err := keyer.New(s.KeySource, s.Slots)
	if err != nil {
		writeAnswer(w, http.StatusInternalServerError, refused("%v", err))
		return
	}
	slot := k.Slot(key)
	table := st.Slots[name]
	entry, _ := table.Entry(slot)
	answer := presenter.KeyStatus{
		Service: name,
		Key:     key,
		Slot:    uint32(slot),
		Index:   st.Index,
	}
	if hot, ok := table.HotKey(key); ok {
		entry = hot
		answer.HotKey = true
	}
	answer.DataCentre = entry.DataCentre
	answer.DataCentreOut = st.DataCentres[entry.DataCentre].Out
	answer.Target = entry.Target
	answer.Epoch = entry.Epoch.String()
	facts := o.facts(r.Context())
	for i := range facts.Targets {
		if facts.Targets[i].Name == entry.Target {
			row := targetRow(st, &facts.Targets[i])
			answer.TargetState = row.State
			answer.TargetReason = row.Reason
			answer.Host = row.Host
		}
	}
	for _, l := range facts.Leases {
		if l.Kind == "hold" && l.DataCentre == entry.DataCentre && l.Service == name {
			answer.HeldMs = l.Remaining.Milliseconds()
		}
	}
	writeJSON(w, http.StatusOK, answer)
}
