// Package classifier is a Schmitt trigger on service times: it tells services with long requests from others. What a host learns
// of a target is up to half a second old; where requests are shorter than that, the target's state has changed by then.
package classifier

import "time"

const (
	// MinServiceTime is the mean service time from which requests are long.
	MinServiceTime = 220 * time.Millisecond
	// keepServiceTime is the mean below which they are not any more, so that a service near the limit does not change all the time.
	keepServiceTime = 200 * time.Millisecond
)

// Classifier classifies one service. The zero value has observed nothing, and its mean covers all requests. It is not safe for
// concurrent use.
type Classifier struct {
	// MinSamples is the number of requests that a decision needs, and MaxSamples the number of the latest ones that the mean
	// covers about; zero means all.
	MinSamples int
	MaxSamples int

	mean    time.Duration
	samples int
	long    bool
}

// Observe records the service time of a request, and reports whether the service changed its class.
func (c *Classifier) Observe(serviceTime time.Duration) (changed bool) {
	c.samples++
	if c.MaxSamples > 0 {
		c.samples = min(c.samples, c.MaxSamples)
	}
	c.mean += (serviceTime - c.mean) / time.Duration(c.samples)
	before := c.long
	switch {
	case c.samples < c.MinSamples:
	case c.mean >= MinServiceTime:
		c.long = true
	case c.mean < keepServiceTime:
		c.long = false
	}
	return c.long != before
}

// Long reports whether the requests of the service are long.
func (c *Classifier) Long() bool {
	return c.long
}

// Mean returns the mean service time.
func (c *Classifier) Mean() time.Duration {
	return c.mean
}
