package server

import (
	"context"
	"time"

	"bramleyline.example/bramleyline/configurer"
)

// Stop stops the host gracefully. Readiness goes off first; the host goes on accepting for as long as the balancer
// needs to see that, then closes its listeners, waits for the requests in progress, and stops the other parts last.
//
// A host that was not started, or whose start failed, only closes its listeners. Stop returns an error if requests were
// still in progress when ctx or the configured wait ended.
func (s *Server) Stop(ctx context.Context) error {
	s.stopping.Store(true)
	if s.cancel == nil {
		s.listeners.close()
		return nil
	}
	s.router.Leave()
	s.participant.Leave()
	timing := s.timing()
	wait(ctx, timing.BalancerWait)
	s.awaitEvacuation(ctx, timing)

	ctx, cancel := context.WithTimeout(ctx, timing.StopWait)
	defer cancel()
	var failure error
	for _, l := range []*httpListener{s.caller, s.peer} {
		if l == nil {
			continue
		}
		if err := l.stop(ctx); err != nil && failure == nil {
			failure = err
		}
	}
	if err := s.router.Drain(ctx); err != nil && failure == nil {
		failure = err
	}
	s.closeParts()
	return failure
}

// Kill ends the host at once, as a lost process does: nothing is drained and no other host is told.
func (s *Server) Kill() {
	s.stopping.Store(true)
	if s.cancel == nil {
		s.listeners.close()
		return
	}
	for _, l := range []*httpListener{s.caller, s.peer} {
		if l != nil {
			l.kill()
		}
	}
	s.closeParts()
}

func (s *Server) closeParts() {
	s.cancel()
	<-s.watched
	if s.announce != nil {
		s.announce.kill()
	}
	_ = s.participant.Close()
	if s.follower != nil {
		_ = s.follower.Close()
	}
	if s.controller != nil {
		_ = s.controller.Close()
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	_ = s.operator.Close(ctx)
	_ = s.messenger.Close()
	_ = s.rpc.Close()
	_ = s.notifier.Close()
	close(s.done)
}

// evacuationPoll is the interval at which a leaving host looks whether its targets have gone to other hosts.
const evacuationPoll = 10 * time.Millisecond

// awaitEvacuation waits until other hosts dispatch to this host's targets. If no other host can, the wait ends after
// two dispatch leases, since the targets then have no host either way.
func (s *Server) awaitEvacuation(ctx context.Context, timing configurer.Timing) {
	ctx, cancel := context.WithTimeout(ctx, 2*timing.DispatchLease)
	defer cancel()
	for len(s.targetFacts()) > 0 && ctx.Err() == nil {
		wait(ctx, evacuationPoll)
	}
}

func (s *Server) timing() configurer.Timing {
	if cfg := s.Config(); cfg != nil {
		return cfg.Timing
	}
	return configurer.DefaultTiming()
}

func wait(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
