package server

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"bramleyline.example/bramleyline/applier"
	"bramleyline.example/bramleyline/asserter"
	"bramleyline.example/bramleyline/operator"
	"bramleyline.example/bramleyline/timekeeper"
)

// factsTimeout bounds the call to one host, so that a status request is answered soon while a host is unreachable.
const factsTimeout = 400 * time.Millisecond

// LocalFacts is the answer of the RPC method Facts.Get: the state of one host and of the targets that it dispatches to.
type LocalFacts struct {
	Host    operator.HostFacts
	Targets []operator.TargetFacts
	// Leader is the name of the control leader as far as the host knows it, empty if it knows none.
	Leader string
	// Violations counts the invariant violations in the host's process.
	Violations int64
}

// factsService is the RPC service "Facts".
type factsService struct {
	server *Server
}

// Get returns the facts of this host.
func (f *factsService) Get(_ struct{}, reply *LocalFacts) error {
	*reply = f.server.localFacts()
	return nil
}

func (s *Server) registerFacts() error {
	return errors.Wrap(s.rpc.Register("Facts", &factsService{
		server: s,
	}), "register facts")
}

func (s *Server) localFacts() LocalFacts {
	facts := LocalFacts{
		Host: operator.HostFacts{
			Name:       s.settings.Name,
			DataCentre: s.settings.DataCentre,
			Reachable:  true,
			Index:      s.source.State().Index,
		},
		Targets:    s.targetFacts(),
		Violations: asserter.Violations(),
	}
	facts.Leader, _ = s.source.Contact()
	if f := s.config.Load(); f != nil {
		facts.Host.ConfigVersion = f.config.Version
		facts.Host.ConfigAge = time.Since(f.since)
	}
	return facts
}

// targetFacts lists the targets that this host dispatches to.
func (s *Server) targetFacts() []operator.TargetFacts {
	cfg, l := s.Config(), s.current.Load()
	if cfg == nil || l == nil {
		return nil
	}
	now := timekeeper.Now()
	byName := make(map[string]operator.TargetFacts)
	for i := range cfg.Services {
		table, ok := l.Table(cfg.Services[i].Name)
		if !ok {
			continue
		}
		for _, r := range table.Routes {
			if !r.Local || r.Target == "" {
				continue
			}
			f := operator.TargetFacts{
				Name:       r.Target,
				Service:    table.Service,
				DataCentre: r.DataCentre,
				Host:       r.Host,
				State:      "serving",
			}
			switch {
			case r.OutOfService:
				f.State, f.Reason = "out", "taken out of service"
			case !r.Lease.Valid(now):
				f.State, f.Reason = "lost", "lease has lapsed"
			}
			byName[r.Target] = f
		}
	}
	targets := make([]operator.TargetFacts, 0, len(byName))
	for _, f := range byName {
		targets = append(targets, f)
	}
	return targets
}

// collectFacts calls all registered hosts concurrently and merges their answers.
func (s *Server) collectFacts(ctx context.Context) operator.Facts {
	hosts := s.source.State().Hosts
	answers := make(chan LocalFacts, len(hosts))
	var wg sync.WaitGroup
	for _, h := range hosts {
		wg.Go(func() {
			answers <- s.fetchFacts(ctx, h)
		})
	}
	wg.Wait()
	close(answers)
	var all operator.Facts
	all.Leader, _ = s.source.Contact()
	for a := range answers {
		all.Hosts = append(all.Hosts, a.Host)
		all.Targets = append(all.Targets, a.Targets...)
		all.Violations += a.Violations
	}
	slices.SortFunc(all.Hosts, func(a, b operator.HostFacts) int { return strings.Compare(a.Name, b.Name) })
	slices.SortFunc(all.Targets, func(a, b operator.TargetFacts) int { return strings.Compare(a.Name, b.Name) })
	return all
}

// fetchFacts returns the facts of h; a host that does not answer is reported as unreachable.
func (s *Server) fetchFacts(ctx context.Context, h applier.Host) LocalFacts {
	if h.Name == s.settings.Name {
		return s.localFacts()
	}
	ctx, cancel := context.WithTimeout(ctx, factsTimeout)
	defer cancel()
	var reply LocalFacts
	if err := s.messenger.Call(ctx, h.RPC, "Facts.Get", struct{}{}, &reply); err != nil {
		return LocalFacts{
			Host: operator.HostFacts{
				Name:       h.Name,
				DataCentre: h.DataCentre,
			},
		}
	}
	return reply
}
