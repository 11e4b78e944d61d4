package server

import (
	"context"
	"expvar"
	"time"

	"bramleyline.example/bramleyline/applier"
	"bramleyline.example/bramleyline/asserter"
	"bramleyline.example/bramleyline/checker"
	"bramleyline.example/bramleyline/configurer"
	"bramleyline.example/bramleyline/notifier"
)

// watchInterval bounds the time after which readiness is looked at again without a change of state.
const watchInterval = 100 * time.Millisecond

var counters = expvar.NewMap("server")

// watch puts new configurations in force and reports changes of state until ctx ends.
func (s *Server) watch(ctx context.Context) {
	defer close(s.watched)
	ticker := time.NewTicker(watchInterval)
	defer ticker.Stop()
	var seen observed
	for {
		changed := s.source.Changed()
		s.adopt(s.source.State())
		seen = s.observe(seen)
		select {
		case <-ctx.Done():
			return
		case <-changed:
		case <-ticker.C:
		}
	}
}

// adopt puts the configuration of st in force if it is newer than the one in force.
func (s *Server) adopt(st *applier.State) {
	if st == nil || st.Config.Version == 0 {
		return
	}
	var inForce uint64
	if cfg := s.Config(); cfg != nil {
		inForce = cfg.Version
	}
	if st.Config.Version == inForce {
		return
	}
	if !asserter.Check(st.Config.Version > inForce, asserter.ConfigurationForward,
		"configuration %d after %d on %s", st.Config.Version, inForce, s.settings.Name) {
		return
	}
	cfg, err := checker.Stored(&st.Config, s.settings.DataCentre)
	if err != nil {
		counters.Add("unusableConfigurations", 1)
		s.logger.Error("configuration is unusable", "version", st.Config.Version, "error", err)
		return
	}
	s.putInForce(cfg)
}

func (s *Server) putInForce(cfg *configurer.Config) {
	s.config.Store(&forceConfig{
		config: cfg,
		since:  time.Now(),
	})
	counters.Add("configurationsInForce", 1)
	s.notifier.Publish(notifier.EventMsg{
		Kind:    notifier.ConfigurationInForce,
		Subject: s.settings.Name,
		Detail:  cfg.Digest,
		At:      time.Now(),
	})
}

// observed is what the last round saw, so that only changes are reported.
type observed struct {
	ready     bool
	leader    string
	authority string
	index     uint64
}

func (s *Server) observe(last observed) observed {
	leader, _ := s.source.Contact()
	dc := s.source.State().DataCentres[s.settings.DataCentre]
	now := observed{
		ready:     s.Ready(),
		leader:    leader,
		authority: dc.Authority,
		index:     dc.AuthorityIndex,
	}
	if now.ready != last.ready {
		detail := "ready"
		if err := s.notReady(); err != nil {
			detail = err.Error()
		}
		s.publish(notifier.ReadinessChanged, s.settings.Name, detail)
	}
	if now.leader != last.leader {
		s.publish(notifier.LeaderChanged, now.leader, "control leader")
	}
	if now.index != last.index {
		s.publish(notifier.AuthorityChanged, now.authority, "authority of "+s.settings.DataCentre)
	}
	return now
}

func (s *Server) publish(kind notifier.Kind, subject, detail string) {
	s.notifier.Publish(notifier.EventMsg{
		Kind:    kind,
		Subject: subject,
		Detail:  detail,
		At:      time.Now(),
	})
}

func (s *Server) logEvent(e notifier.EventMsg) {
	s.logger.Info(string(e.Kind), "subject", e.Subject, "detail", e.Detail)
}
