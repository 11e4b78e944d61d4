package aggregator

import (
	"encoding/binary"
	"hash/fnv"
	"math"
	"time"

	"github.com/pkg/errors"

	"bramleyline.example/bramleyline/registrar"
)

const (
	// MaxLoadAge is the age from which a reported load is not passed on. The noise of the platform changes every few hundred
	// milliseconds.
	MaxLoadAge = 600 * time.Millisecond
	// ageUnit and slownessUnit are the units of ages and slownesses in messages, which take one byte each.
	ageUnit      = 10 * time.Millisecond
	slownessUnit = 1.0 / 32
	// maxCount bounds the counts in messages, so that they fit into two bytes.
	maxCount = 1<<14 - 1
)

// ErrMalformed reports a message that cannot be decoded.
var ErrMalformed = errors.New("malformed load message")

// Load is a load that a target reported in an answer.
type Load struct {
	// Busy is the number of requests that run or wait.
	Busy int
	// Slowness is the factor by which requests take longer than usual, zero if not reported.
	Slowness float64
	// At is the time of the answer, zero for no answer.
	At time.Time
}

// Observation is the load of one target.
type Observation struct {
	// Target is the hash of the target's incarnation.
	Target uint32
	// InFlight is the number of requests that hosts have in flight at the target.
	InFlight int
	// Load is the newest load that the target reported.
	Load Load
}

// Position is the part of a table that its reader has read: all changes up to Seq of the table that Epoch identifies.
type Position struct {
	Epoch uint64
	Seq   uint64
}

// ReportMsg is what an entry host reports to its control host.
type ReportMsg struct {
	Host string
	// Services lists the arriving work of this host in the time Elapsed, for the services that the host measures as slow enough.
	Services []ServiceMsg
	Elapsed  time.Duration
	// Targets holds the encoded requests in flight of this host, all of them, and loads that targets reported since the last
	// report.
	Targets []byte
	// Known is what this host has read from the control host.
	Known Position
}

// ServiceMsg is the arriving work of a service, as reported by a number of hosts.
type ServiceMsg struct {
	Service string
	Hosts   int
	Demand  []DemandMsg
}

// DemandMsg is the arriving work of one priority in busy slots: arrivals per second times the expected service time.
type DemandMsg struct {
	Priority  int
	BusySlots float32
}

// UpdateMsg is what changed in a table of sums after Since, up to its Position.
type UpdateMsg struct {
	Position
	Since uint64
	// Targets holds the encoded changes, Services the present demand.
	Targets  []byte
	Services []ServiceMsg
	// Hosts is the number of hosts in the sums, Age the mean age of their reports.
	Hosts int
	Age   time.Duration
}

// ID returns the hash that names an incarnation of a target in messages. Among 400 targets, two have the same one with a
// probability of 2 in 100,000; they then share their sums.
func ID(inc registrar.Incarnation) uint32 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(inc.ID))
	_, _ = h.Write(binary.LittleEndian.AppendUint64(nil, uint64(inc.Born.UnixMilli())))
	return h.Sum32()
}

// EncodeReport encodes the targets of a report that is sent at now.
func EncodeReport(now time.Time, observations []Observation) []byte {
	var b []byte
	for _, o := range observations {
		b = binary.LittleEndian.AppendUint32(b, o.Target)
		fresh := o.Load.fresh(now)
		b = appendCount(b, min(o.InFlight, maxCount/2)<<1|flag(fresh))
		if fresh {
			b = o.Load.append(b, now)
		}
	}
	return b
}

func decodeReport(now time.Time, b []byte) ([]Observation, error) {
	var observations []Observation
	d := decoder{
		rest: b,
	}
	for len(d.rest) > 0 && !d.failed {
		o := Observation{
			Target: d.id(),
		}
		n := d.count()
		o.InFlight = n >> 1
		if n&1 != 0 {
			o.Load = d.load(now)
		}
		observations = append(observations, o)
	}
	if d.failed {
		return nil, errors.Wrap(ErrMalformed, "report")
	}
	return observations, nil
}

func (l Load) fresh(now time.Time) bool {
	return !l.At.IsZero() && now.Sub(l.At) < MaxLoadAge
}

func (l Load) append(b []byte, now time.Time) []byte {
	b = appendCount(b, l.Busy)
	slowness := 0.0
	if l.Slowness > 0 {
		slowness = min(math.MaxUint8, max(1, math.Round(l.Slowness/slownessUnit)))
	}
	age := min(math.MaxUint8, max(0, now.Sub(l.At)/ageUnit))
	return append(b, byte(slowness), byte(age))
}

func appendCount(b []byte, n int) []byte {
	return binary.AppendUvarint(b, uint64(min(maxCount, max(0, n))))
}

func flag(set bool) int {
	if set {
		return 1
	}
	return 0
}

// decoder reads the fields of an encoded list. Its methods return zero once it has failed.
type decoder struct {
	rest   []byte
	failed bool
}

func (d *decoder) take(n int) []byte {
	if d.failed || len(d.rest) < n {
		d.failed = true
		return make([]byte, n)
	}
	b := d.rest[:n]
	d.rest = d.rest[n:]
	return b
}

func (d *decoder) id() uint32 {
	return binary.LittleEndian.Uint32(d.take(4))
}

// count reads a number up to 2^28.
func (d *decoder) count() int {
	v, n := binary.Uvarint(d.rest)
	if d.failed || n <= 0 || v > 1<<28 {
		d.failed = true
		return 0
	}
	d.rest = d.rest[n:]
	return int(v)
}

func (d *decoder) load(now time.Time) Load {
	l := Load{
		Busy: d.count(),
	}
	b := d.take(2)
	l.Slowness = float64(b[0]) * slownessUnit
	l.At = now.Add(-time.Duration(b[1]) * ageUnit)
	return l
}
