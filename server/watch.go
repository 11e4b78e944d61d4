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

// watchInterval is the longest time between two checks of readiness and leader, which can change without a change of
// the replicated state.
const watchInterval = 100 * time.Millisecond

var counters = expvar.NewMap("server")

// watch puts new configurations in force and publishes changes of readiness, leader and authority, until ctx ends.
func (s *Server) watch(ctx context.Context) {
	defer close(s.watchDone)
	ticker := time.NewTicker(watchInterval)
	defer ticker.Stop()
	var last observation
	for {
		changed := s.source.Changed()
		s.adoptConfig(s.source.State())
		last = s.publishChanges(last)
		select {
		case <-ctx.Done():
			return
		case <-changed:
		case <-ticker.C:
		}
	}
}

// adoptConfig puts the configuration in st in force if it is newer than the one in force.
func (s *Server) adoptConfig(st *applier.State) {
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
	s.config.Store(&configInForce{
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

// observation is what one iteration of watch read. Only differences from the previous one are published.
type observation struct {
	ready     bool
	leader    string
	authority string
	// index is the log index under which the authority was named.
	index uint64
}

// publishChanges publishes an event for each difference from last, and returns the new observation.
func (s *Server) publishChanges(last observation) observation {
	leader, _ := s.source.Contact()
	dc := s.source.State().DataCentres[s.settings.DataCentre]
	current := observation{
		ready:     s.Ready(),
		leader:    leader,
		authority: dc.Authority,
		index:     dc.AuthorityIndex,
	}
	if current.ready != last.ready {
		detail := "ready"
		if err := s.checkReady(); err != nil {
			detail = err.Error()
		}
		s.publish(notifier.ReadinessChanged, s.settings.Name, detail)
	}
	if current.leader != last.leader {
		s.publish(notifier.LeaderChanged, current.leader, "control leader")
	}
	if current.index != last.index {
		s.publish(notifier.AuthorityChanged, current.authority, "authority of "+s.settings.DataCentre)
	}
	return current
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
