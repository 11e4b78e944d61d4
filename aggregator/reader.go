package aggregator

import (
	"time"

	"github.com/pkg/errors"
)

// maxIndex bounds the index of a target in a table, and so the memory of its readers.
const maxIndex = 1 << 16

// Reader keeps the copy of a table that a host reads by updates. The zero value has read nothing. It is not safe for concurrent
// use.
type Reader struct {
	position   Position
	targets    []Observation
	services   []ServiceMsg
	hosts      int
	age        time.Duration
	receivedAt time.Time
}

// Apply applies an update that the other host computed at now, or not much later. After an error the next update has the whole
// table.
func (r *Reader) Apply(now time.Time, m *UpdateMsg) error {
	if m.Epoch != r.position.Epoch || m.Since == 0 {
		r.targets = nil
	} else if m.Since != r.position.Seq {
		return errors.Wrapf(ErrMalformed, "update since %d, read up to %d", m.Since, r.position.Seq)
	}
	if err := r.decode(now, m.Targets); err != nil {
		*r = Reader{}
		return err
	}
	r.position, r.services, r.hosts, r.age, r.receivedAt = m.Position, m.Services, m.Hosts, m.Age, now
	return nil
}

func (r *Reader) decode(now time.Time, b []byte) error {
	d := decoder{
		rest: b,
	}
	for i := -1; len(d.rest) > 0 && !d.failed; {
		n := d.count()
		i += n>>flagBits + 1
		switch {
		case i >= maxIndex || i >= len(r.targets) && n&flagID == 0:
			return errors.Wrapf(ErrMalformed, "target %d is not known", i)
		case i >= len(r.targets):
			r.targets = append(r.targets, make([]Observation, i+1-len(r.targets))...)
		}
		o := &r.targets[i]
		if n&flagID != 0 {
			*o = Observation{
				Target: d.id(),
			}
		}
		if n&flagCount != 0 {
			o.InFlight = d.count()
		}
		if n&flagLoad != 0 {
			o.Load = d.load(now)
		}
	}
	if d.failed {
		return errors.Wrap(ErrMalformed, "update")
	}
	return nil
}

// Position returns what was read, for the next request of an update.
func (r *Reader) Position() Position { return r.position }

// Observations returns the sums of all targets. They are valid until the next update.
func (r *Reader) Observations() []Observation { return r.targets }

// Services returns the demand of the last update.
func (r *Reader) Services() []ServiceMsg { return r.services }

// Hosts returns the number of hosts in the sums.
func (r *Reader) Hosts() int { return r.hosts }

// ReceivedAt returns the time of the last update, zero if there was none.
func (r *Reader) ReceivedAt() time.Time { return r.receivedAt }

// Age returns the mean age of the reports in the sums at now.
func (r *Reader) Age(now time.Time) time.Duration {
	return now.Sub(r.receivedAt) + r.age
}
