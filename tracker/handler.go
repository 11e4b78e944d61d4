package tracker

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/json"
	"expvar"
	"io"
	"net/http"
	"net/netip"
	"strings"
	"time"

	"github.com/go-chi/chi/v5"

	"bramleyline.example/bramleyline/fencer"
	"bramleyline.example/bramleyline/keyer"
)

// maxHeartbeatBytes bounds the body of a heartbeat: a target of a service with 131,072 slots that releases all of them
// sends 7 bytes for each.
const maxHeartbeatBytes = 1 << 20

var counters = expvar.NewMap("tracker")

// wireHeartbeat is the JSON form of a HeartbeatMsg.
type wireHeartbeat struct {
	Name        string         `json:"name"`
	Service     string         `json:"service"`
	DataCentre  string         `json:"dataCentre"`
	Incarnation uint64         `json:"incarnation"`
	Address     netip.AddrPort `json:"address"`
	State       string         `json:"state"`
	Slots       int            `json:"slots"`
	Connections int            `json:"connections"`
	InFlight    int            `json:"inFlight"`
	Load        float64        `json:"load"`
	LoadAgeMs   int64          `json:"loadAgeMs"`
	AckVersion  uint64         `json:"ackVersion"`
	Released    []keyer.Slot   `json:"released"`
	ChecksEpoch bool           `json:"checksEpoch"`
	WaitMs      int64          `json:"waitMs"`
}

// wireReply is the JSON form of a HeartbeatReply that grants a lease.
type wireReply struct {
	LeaseMs   int64        `json:"leaseMs"`
	Fence     fencer.Epoch `json:"fence"`
	Version   uint64       `json:"version"`
	Owned     []wireRange  `json:"owned"`
	Releasing []keyer.Slot `json:"releasing"`
}

type wireRange struct {
	From  keyer.Slot   `json:"from"`
	To    keyer.Slot   `json:"to"`
	Epoch fencer.Epoch `json:"epoch"`
}

// wireRedirect is the JSON form of a HeartbeatReply that names the target's dispatching host.
type wireRedirect struct {
	Host    string         `json:"host"`
	Address netip.AddrPort `json:"address"`
}

// Handler returns the handler of POST /v1/heartbeat, which authenticates targets by token. It passes each heartbeat to
// submit, which runs it through Update. Targets of a data centre other than dc are rejected.
func Handler(token, dc string, submit func(context.Context, HeartbeatMsg) (HeartbeatReply, error)) http.Handler {
	r := chi.NewRouter()
	wantDigest := sha256.Sum256([]byte("Bearer " + token))
	r.Post("/v1/heartbeat", func(w http.ResponseWriter, req *http.Request) {
		counters.Add("heartbeats", 1)
		// Digests have equal length, so the time of the comparison reveals neither the token nor its length.
		gotDigest := sha256.Sum256([]byte(req.Header.Get("Authorization")))
		if token == "" || subtle.ConstantTimeCompare(gotDigest[:], wantDigest[:]) != 1 {
			counters.Add("refusedTokens", 1)
			writeError(w, http.StatusUnauthorized, "token is missing or wrong")
			return
		}
		m, problem := decodeHeartbeat(http.MaxBytesReader(w, req.Body, maxHeartbeatBytes))
		if problem == "" && m.DataCentre != dc {
			problem = "target belongs to another data centre"
		}
		if problem != "" {
			counters.Add("refusedHeartbeats", 1)
			writeError(w, http.StatusBadRequest, problem)
			return
		}
		reply, err := submit(req.Context(), m)
		switch {
		case err != nil || reply.NoAuthority:
			counters.Add("heartbeatsWithoutAuthority", 1)
			writeError(w, http.StatusServiceUnavailable, "host knows no authority or holds no dispatch lease")
		case reply.RedirectHost != "":
			counters.Add("misdirectedHeartbeats", 1)
			writeJSON(w, http.StatusMisdirectedRequest, wireRedirect{
				Host:    reply.RedirectHost,
				Address: reply.Announce,
			})
		default:
			writeJSON(w, http.StatusOK, encodeReply(reply))
		}
	})
	return r
}

// decodeHeartbeat decodes and validates a heartbeat. It returns what is wrong with it, empty if nothing is.
func decodeHeartbeat(body io.Reader) (HeartbeatMsg, string) {
	var m wireHeartbeat
	d := json.NewDecoder(body)
	d.DisallowUnknownFields()
	if err := d.Decode(&m); err != nil {
		return HeartbeatMsg{}, "heartbeat is not valid: " + err.Error()
	}
	var problems []string
	if m.Name == "" || m.Service == "" || len(m.Name) > maxNameBytes || len(m.Service) > maxNameBytes {
		problems = append(problems, "name and service must have 1 to 128 bytes")
	}
	if m.Incarnation == 0 {
		problems = append(problems, "incarnation must not be zero")
	}
	if !m.Address.IsValid() {
		problems = append(problems, "address must be IP:port")
	}
	switch m.State {
	case "cold", "warm", stateDraining:
	default:
		problems = append(problems, "state must be cold, warm or draining")
	}
	return HeartbeatMsg{
		Name:        m.Name,
		Service:     m.Service,
		DataCentre:  m.DataCentre,
		Incarnation: m.Incarnation,
		Addr:        m.Address,
		State:       m.State,
		Slots:       m.Slots,
		Connections: m.Connections,
		InFlight:    m.InFlight,
		Load:        m.Load,
		LoadAge:     time.Duration(m.LoadAgeMs) * time.Millisecond,
		AckVersion:  m.AckVersion,
		Released:    m.Released,
		ChecksEpoch: m.ChecksEpoch,
		Wait:        time.Duration(m.WaitMs) * time.Millisecond,
	}, strings.Join(problems, "; ")
}

// maxNameBytes bounds the name and the service name that a target announces.
const maxNameBytes = 128

func encodeReply(r HeartbeatReply) wireReply {
	reply := wireReply{
		// Milliseconds rounds down, so that the target never holds its lease for longer than this host granted it.
		LeaseMs:   r.Lease.Milliseconds(),
		Fence:     r.Fence,
		Version:   r.Version,
		Owned:     make([]wireRange, 0, len(r.Owned)),
		Releasing: r.Releasing,
	}
	if reply.Releasing == nil {
		reply.Releasing = []keyer.Slot{}
	}
	for _, o := range r.Owned {
		reply.Owned = append(reply.Owned, wireRange(o))
	}
	return reply
}

func writeError(w http.ResponseWriter, status int, message string) {
	writeJSON(w, status, struct {
		Message string `json:"message"`
	}{
		Message: message,
	})
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}
