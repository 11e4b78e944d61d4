// Package issuer is the shared part of the rate limits that targets state: a token bucket for each such target. It runs on
// the control leader. Entry hosts ask it for one token before they send a request to the target, beyond a fixed share that
// each of them has without asking.
//
// The fixed shares and the tokens of all hosts together stay within the limit. A new leader begins with empty buckets, so
// that a change of leaders adds nothing to what the one before has issued.
package issuer

import (
	"cmp"
	"expvar"
	"math"
	"slices"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"bramleyline.example/bramleyline/registrar"
)

const (
	// FixedShare is the share of a limit that is divided among all entry hosts, for use without asking. It bounds what is
	// lost when the hosts that have a share do not need it, and it is all that a host without contact has.
	FixedShare = 0.25
	// MinRate is the least rate, in requests per second, at which tokens are issued. Without any requests, nobody would
	// learn that a limit of zero has ended.
	MinRate = 0.25
	// burstTime is the time in which a full bucket fills.
	burstTime = 250 * time.Millisecond
	// expiry is how long a limit binds after the last answer of the target that stated it. No answer for so long means that
	// the target got no request.
	expiry = 30 * time.Second
	// demandTime is the time over which refusals are averaged.
	demandTime = time.Second
	// maxSpread bounds the time over which refused requests are told to return.
	maxSpread = 2 * time.Second
	// settleTime is how long the end of a limit is remembered, so that a report of an earlier answer does not revive it.
	settleTime = 5 * time.Second
	// maxChanges bounds the limits in one command, which has 30 bytes for each.
	maxChanges = 256
)

// Refused stands for the delay of a token that is not issued.
const Refused time.Duration = -1

var counters = expvar.NewMap("issuer")

// limitedTargets is the number of targets with a limit, and limitSum the sum of their limits in requests per second.
var (
	limitedTargets expvar.Int
	limitSum       expvar.Float
)

func init() {
	counters.Set("targets", &limitedTargets)
	counters.Set("limits", &limitSum)
}

// StatedMsg tells what a target stated in its last answer to one host.
type StatedMsg struct {
	Target registrar.Incarnation
	// Stated says that the answer stated a limit, Limit is its value in requests per second.
	Stated bool
	Limit  float64
	// Age is the time since the answer.
	Age time.Duration
}

// AskMsg asks for tokens of one target.
type AskMsg struct {
	StatedMsg
	// Heard says that the host has had an answer of the target itself. If not, it knows the limit from the registry, and
	// StatedMsg holds only the target.
	Heard bool
	// MaxDelays holds, for each token that is wanted, how long its request can wait for it. Tokens are issued in this order.
	MaxDelays []time.Duration
	// Refused is the number of requests that the host has refused without asking since its last message.
	Refused int
}

// IssueMsg is the answer to AskMsg.
type IssueMsg struct {
	// Delays holds, for each token that was asked for, the time after which it may be used, or Refused.
	Delays []time.Duration
	// Wait is the time until there may be a token again, and Spread the time over which further refused requests would get
	// theirs.
	Wait   time.Duration
	Spread time.Duration
}

// Issuer issues tokens. The zero value is ready to use; it has no limits. It is safe for concurrent use.
type Issuer struct {
	mu      sync.Mutex
	targets map[registrar.Incarnation]*target
	// seen are the targets of the registry whose limits are in targets.
	seen registrar.Pool
}

// target is one incarnation of a target with a limit.
type target struct {
	// limit is in requests per second; nil if the target states none any more.
	limit *float64
	// heardAt is when the target stated that, to any host.
	heardAt time.Time
	// bucket has no tokens at first.
	bucket *rate.Limiter
	// refused is the number of refused requests, which decays with demandTime, at refusedAt.
	refused   float64
	refusedAt time.Time
}

// Observe records what a target stated to a host. Of several reports the one of the latest answer counts.
func (s *Issuer) Observe(now time.Time, m StatedMsg) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.observe(now, m)
}

func (s *Issuer) observe(now time.Time, m StatedMsg) {
	t, ok := s.targets[m.Target]
	heardAt := now.Add(-max(0, m.Age))
	if !ok && !m.Stated || ok && heardAt.Before(t.heardAt) {
		return
	}
	if !ok {
		t = s.add(m.Target)
	}
	t.heardAt, t.limit = heardAt, nil
	if m.Stated {
		t.limit = &m.Limit
	}
	t.configure(now)
}

// Reset forgets everything, at the beginning of a leadership.
func (s *Issuer) Reset() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.targets, s.seen = nil, registrar.Pool{}
	limitedTargets.Set(0)
	limitSum.Set(0)
}

func (s *Issuer) add(inc registrar.Incarnation) *target {
	if s.targets == nil {
		s.targets = make(map[registrar.Incarnation]*target)
	}
	t := &target{}
	s.targets[inc] = t
	return t
}

// configure adapts the bucket to the limit.
func (t *target) configure(now time.Time) {
	if t.limit == nil {
		return
	}
	r := rate.Limit(max(MinRate, (1-FixedShare)**t.limit))
	burst := 1 + int(math.Min(1e6, float64(r)*burstTime.Seconds()))
	if t.bucket == nil {
		t.bucket = rate.NewLimiter(r, burst)
		t.bucket.AllowN(now, burst)
		return
	}
	if t.bucket.Limit() != r {
		t.bucket.SetLimitAt(now, r)
		t.bucket.SetBurstAt(now, burst)
	}
}

// Issue issues tokens of a target. All are issued at once if the target has no limit.
func (s *Issuer) Issue(now time.Time, reg registrar.Registry, m AskMsg) IssueMsg {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.follow(now, reg)
	if m.Heard {
		s.observe(now, m.StatedMsg)
	}
	t, ok := s.targets[m.Target]
	if !ok || t.limit == nil {
		return IssueMsg{
			Delays: make([]time.Duration, len(m.MaxDelays)),
		}
	}
	var reply IssueMsg
	issued := 0
	for _, maxDelay := range m.MaxDelays {
		r := t.bucket.ReserveN(now, 1)
		delay := r.DelayFrom(now)
		if delay > maxDelay {
			r.CancelAt(now)
			delay = Refused
		} else {
			issued++
		}
		reply.Delays = append(reply.Delays, delay)
	}
	counters.Add("issued", int64(issued))
	counters.Add("refused", int64(len(m.MaxDelays)-issued))
	t.addRefused(now, m.Refused+len(m.MaxDelays)-issued)
	perToken := 1 / float64(t.bucket.Limit())
	reply.Wait = seconds(max(0, 1-t.bucket.TokensAt(now)) * perToken)
	reply.Spread = min(maxSpread, seconds(t.refused*perToken))
	return reply
}

// addRefused adds n to the refused requests, of which those of longer ago count less.
func (t *target) addRefused(now time.Time, n int) {
	t.refused *= math.Exp(-now.Sub(t.refusedAt).Seconds() / demandTime.Seconds())
	t.refused += float64(n)
	t.refusedAt = now
}

// Changes returns the limits that differ from those in reg, and forgets targets that are gone. A limit that no answer has
// stated for long ends.
func (s *Issuer) Changes(now time.Time, reg registrar.Registry) []registrar.StatedLimit {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.follow(now, reg)
	var changes []registrar.StatedLimit
	n, sum := 0, 0.0
	defer func() {
		limitedTargets.Set(int64(n))
		limitSum.Set(sum)
	}()
	for inc, t := range s.targets {
		known, ok := reg.Target(inc.ID)
		if !ok || !known.Born.Equal(inc.Born) {
			delete(s.targets, inc)
			continue
		}
		if now.Sub(t.heardAt) > expiry {
			t.limit = nil
		}
		if t.limit != nil {
			n++
			sum += *t.limit
		}
		if EqualLimits(known.Limit, t.limit) {
			if t.limit == nil && now.Sub(t.heardAt) > settleTime {
				delete(s.targets, inc)
			}
			continue
		}
		changes = append(changes, registrar.StatedLimit{
			Incarnation: inc,
			Limit:       t.limit,
		})
	}
	slices.SortFunc(changes, func(a, b registrar.StatedLimit) int { return cmp.Compare(a.Incarnation.ID, b.Incarnation.ID) })
	return changes[:min(len(changes), maxChanges)]
}

// follow adds the limits of the registry that this leader has not heard itself.
func (s *Issuer) follow(now time.Time, reg registrar.Registry) {
	if s.seen.Same(reg.Targets()) {
		return
	}
	s.seen = reg.Targets()
	for _, known := range s.seen.All() {
		if _, ok := s.targets[known.Incarnation]; ok || known.Limit == nil {
			continue
		}
		t := s.add(known.Incarnation)
		t.limit, t.heardAt = known.Limit, now
		t.configure(now)
	}
}

// EqualLimits reports whether two limits are the same; nil stands for none.
func EqualLimits(a, b *float64) bool {
	return a == b || a != nil && b != nil && *a == *b
}

func seconds(s float64) time.Duration {
	return time.Duration(s * float64(time.Second))
}
