package forwarder

import (
	"context"
	"slices"
	"sync"
	"time"

	"bramleyline.example/bramleyline/acceptor"
	"bramleyline.example/bramleyline/limiter"
	"bramleyline.example/bramleyline/registrar"
	"bramleyline.example/bramleyline/selector"
	"bramleyline.example/bramleyline/sender"
	"bramleyline.example/bramleyline/viewer"
)

const (
	// uploadBackoff is how long a target gets no uploads of this host, if there are others, after it ended while it had one.
	uploadBackoff = 5 * time.Second
	// uploadWaitShare is the share of the time to its deadline that an upload waits for the one before it at the owner of its key.
	uploadWaitShare = 0.2
)

// uploads counts the uploads of this host at each target. The zero value is ready to use.
type uploads struct {
	mu sync.Mutex
	// current holds the targets that have uploads of this host.
	current map[registrar.Incarnation]*uploadCount
	// avoided holds until when targets get no uploads.
	avoided map[registrar.Incarnation]time.Time
}

type uploadCount struct {
	n int
	// ended is closed when the next upload ends.
	ended chan struct{}
}

// uploadPlace is one upload at a target.
type uploadPlace struct {
	target registrar.Incarnation
}

// enter adds an upload at a target. If alone is true and the target has one already, it adds none and returns a channel that is
// closed when one ends.
func (u *uploads) enter(inc registrar.Incarnation, alone bool) (*uploadPlace, <-chan struct{}) {
	u.mu.Lock()
	defer u.mu.Unlock()
	count, ok := u.current[inc]
	if !ok {
		if u.current == nil {
			u.current = make(map[registrar.Incarnation]*uploadCount)
		}
		count = &uploadCount{
			ended: make(chan struct{}),
		}
		u.current[inc] = count
	}
	if alone && count.n > 0 {
		return nil, count.ended
	}
	count.n++
	return &uploadPlace{
		target: inc,
	}, nil
}

func (u *uploads) leave(p *uploadPlace) {
	u.mu.Lock()
	defer u.mu.Unlock()
	count := u.current[p.target]
	count.n--
	close(count.ended)
	count.ended = make(chan struct{})
	if count.n == 0 {
		delete(u.current, p.target)
	}
}

// avoid keeps uploads away from a target for uploadBackoff.
func (u *uploads) avoid(now time.Time, inc registrar.Incarnation) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.avoided == nil {
		u.avoided = make(map[registrar.Incarnation]time.Time)
	}
	for other, until := range u.avoided {
		if !now.Before(until) {
			delete(u.avoided, other)
		}
	}
	u.avoided[inc] = now.Add(uploadBackoff)
}

// mayTake reports whether a target has no upload of this host and has not just ended with one.
func (u *uploads) mayTake(now time.Time, inc registrar.Incarnation) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.current[inc] == nil && !now.Before(u.avoided[inc])
}

// isUpload reports whether the request is sent as an upload.
func (x *exchange) isUpload() bool {
	return x.route.Upload && x.f.opts.Link.Active()
}

// uploadTarget returns a target of a shared service that is free for an upload: it has none of this host, and no queue is known
// there. It returns nil if there is none, or the request is not an upload.
func (x *exchange) uploadTarget(
	ctx context.Context, now time.Time, v *viewer.View, pool *viewer.Pool, need selector.Need,
) *viewer.Target {
	if !x.isUpload() {
		return nil
	}
	excluded := slices.Clone(x.tried)
	for i := range pool.Targets {
		t := &pool.Targets[i]
		// Choose returns targets in backoff if there is no other, but here the others are only busy.
		if !x.f.uploads.mayTake(now, t.Incarnation) || x.f.opts.Selector.BackedOff(now, t.Incarnation) ||
			x.f.opts.Selector.Estimate(now, t, need.Work).Wait > 0 {
			excluded = append(excluded, t.Incarnation)
		}
	}
	var t *viewer.Target
	var place *uploadPlace
	for place == nil {
		if t = x.f.opts.Selector.Choose(now, pool, need, excluded); t == nil {
			return nil
		}
		// Another upload may have chosen the target at the same time.
		place, _ = x.f.uploads.enter(t.Incarnation, true)
		excluded = append(excluded, t.Incarnation)
	}
	if x.f.opts.Limiter.Take(ctx, t, limiter.Request{
		Urgent: v.Table.MostUrgent(x.route, x.service.Name),
	}) != nil {
		x.f.uploads.leave(place)
		return nil
	}
	x.place = place
	return t
}

// awaitUploadPlace waits until no other upload of this host is in progress at t, the owner of the key of an upload. It returns a
// refusal if that takes too long.
func (x *exchange) awaitUploadPlace(ctx context.Context, now time.Time, t *viewer.Target) *acceptor.Answer {
	if !x.isUpload() {
		return nil
	}
	x.leave()
	timer := time.NewTimer(time.Duration(uploadWaitShare * float64(x.deadline.Sub(now))))
	defer timer.Stop()
	for {
		place, ended := x.f.uploads.enter(t.Incarnation, true)
		if place != nil {
			x.place = place
			return nil
		}
		select {
		case <-ended:
		case <-timer.C:
			return x.giveUp(reasonOverloaded, retryAfterNoOwner)
		case <-ctx.Done():
			return x.giveUp(reasonOverloaded, retryAfterNoOwner)
		}
	}
}

// enter takes the place of an upload at t, unless it has it already.
func (x *exchange) enter(t *viewer.Target) {
	if !x.isUpload() || x.place != nil && x.place.target == t.Incarnation {
		return
	}
	x.leave()
	x.place, _ = x.f.uploads.enter(t.Incarnation, false)
}

// leave gives up the place of an upload.
func (x *exchange) leave() {
	if x.place != nil {
		x.f.uploads.leave(x.place)
		x.place = nil
	}
}

// observeUploadFault keeps further uploads away from a target that ended while it had this one.
func (x *exchange) observeUploadFault(t *viewer.Target, f *sender.Fault) {
	if x.isUpload() && f.MayHaveRun && f.Severed {
		x.f.uploads.avoid(time.Now(), t.Incarnation)
	}
}
