package server

import (
	"context"
	"time"

	"bramleyline.example/bramleyline/configurer"
)

// Stop shuts the host down gracefully. It first turns readiness off and goes on accepting requests for as long as the
// platform's balancer needs to see that. It then waits until other hosts dispatch to the host's targets, for at most
// two dispatch leases, closes the listeners, waits for the requests in progress, and stops the other components last.
//
// A host that was not started, or whose start failed, only closes its listeners. Stop returns an error if requests were
// still in progress when ctx or the configured wait ended.
func (s *Server) Stop(ctx context.Context) error {
	s.stopping.Store(true)
	if s.cancel == nil {
		s.listeners.close()
		return nil
	}
	s.router.DisableKeepAlives()
	s.participant.BeginStop()
	timing := s.timing()
	sleep(ctx, timing.BalancerWait)
	s.awaitEvacuation(ctx, timing)

	ctx, cancel := context.WithTimeout(ctx, timing.StopWait)
	defer cancel()
	var firstErr error
	for _, l := range []*httpListener{s.caller, s.peer} {
		if l == nil {
			continue
		}
		if err := l.stop(ctx); err != nil && firstErr == nil {
			firstErr = err
		}
	}
	if err := s.router.Drain(ctx); err != nil && firstErr == nil {
		firstErr = err
	}
	s.closeComponents()
	return firstErr
}

// Kill stops the host at once, like a crash of its process: it does not drain requests or notify other hosts.
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
	s.closeComponents()
}

func (s *Server) closeComponents() {
	s.cancel()
	<-s.watchDone
	if s.announce != nil {
		s.announce.kill()
	}
	s.links.Close()
	_ = s.participant.Close()
	if s.puller != nil {
		_ = s.puller.Close()
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

// evacuationPollInterval is the interval at which a host that stops checks whether its targets have moved to other
// hosts.
const evacuationPollInterval = 10 * time.Millisecond

// awaitEvacuation waits until other hosts dispatch to this host's targets. If no other host can, it gives up after two
// dispatch leases, since the targets then have no dispatching host either way.
func (s *Server) awaitEvacuation(ctx context.Context, timing configurer.Timing) {
	ctx, cancel := context.WithTimeout(ctx, 2*timing.DispatchLease)
	defer cancel()
	for len(s.targetFacts()) > 0 && ctx.Err() == nil {
		sleep(ctx, evacuationPollInterval)
	}
}

func (s *Server) timing() configurer.Timing {
	if cfg := s.Config(); cfg != nil {
		return cfg.Timing
	}
	return configurer.DefaultTiming()
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
