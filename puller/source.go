package puller

import (
	"cmp"
	"context"
	"maps"
	"net/netip"
	"slices"

	"github.com/cespare/xxhash/v2"

	"bramleyline.example/bramleyline/controller"
	"bramleyline.example/bramleyline/timekeeper"
)

// sourceFailed avoids a source that failed for avoidDuration, and logs that if it is the source in use.
func (p *Puller) sourceFailed(s Source, err error) {
	p.mu.Lock()
	p.failed++
	inUse := p.source == s.Addr
	if inUse {
		p.source = netip.AddrPort{}
	}
	p.avoid(s)
	p.mu.Unlock()
	if inUse && p.log != nil {
		p.log.Warn("lost the source of state", "source", s.Addr, "index", p.State().Index, "answeredBefore",
			p.Silence().Milliseconds(), "err", err)
	}
}

// sourceAnswered makes s the source in use, takes leave of the one before, and logs a change.
func (p *Puller) sourceAnswered(s Source) {
	p.mu.Lock()
	now := timekeeper.Now()
	silence := now.Sub(p.answeredAt)
	if p.answeredAt.IsZero() {
		silence = 0
	}
	p.answeredAt = now
	old, failed := p.source, p.failed
	p.source, p.failed = s.Addr, 0
	former := p.answered
	p.answered = s.Addr
	p.mu.Unlock()
	if former != s.Addr {
		p.calls.Go(func() {
			// A call that times out closes its connection, and on a congested link a new one is hard to get.
			ctx, cancel := context.WithTimeout(p.ctx, callTimeout)
			defer cancel()
			p.leave(ctx, former)
		})
	}
	if old != s.Addr && p.log != nil {
		p.log.Info("state comes from", "source", s.Addr, "index", p.State().Index, "silence", silence.Milliseconds(), "failedCalls", failed)
	}
}

// leave tells a source that this host does not confirm any more at it what is in force. Without the call, the source forgets this host
// after a while, and acknowledgements wait for it until then.
func (p *Puller) leave(ctx context.Context, source netip.AddrPort) {
	if p.inForce == nil || !source.IsValid() {
		return
	}
	_ = p.messenger.Call(ctx, source, "State.Pull", &controller.PullArgs{
		Since:   p.State().Index,
		Reader:  p.name,
		Leaving: true,
	}, &controller.PullReply{})
}

// nearSources returns the control hosts in the preferred data centre in the order of rank, without one that failed
// lately.
func (p *Puller) nearSources() []Source {
	st := p.State()
	p.mu.Lock()
	avoidedUntil := maps.Clone(p.avoidedUntil)
	p.mu.Unlock()
	var sources []Source
	for _, name := range st.Members() {
		h := st.Hosts[name]
		failed := timekeeper.Now().Before(avoidedUntil[h.RPC])
		if p.dataCentre != "" && h.DataCentre == p.dataCentre && h.RPC.IsValid() && !failed {
			sources = append(sources, Source{
				Name: name,
				Addr: h.RPC,
			})
		}
	}
	slices.SortStableFunc(sources, func(a, b Source) int { return cmp.Compare(p.rank(a), p.rank(b)) })
	return sources
}

// rank returns a hash by which each host orders the sources of its data centre differently. Without a name all sources
// are equal.
func (p *Puller) rank(s Source) uint64 {
	if p.name == "" {
		return 0
	}
	return xxhash.Sum64String(p.name + s.Name)
}

// candidates returns the control hosts of the preferred data centre, then the configured sources, and then the control
// hosts in the state that are not configured: after replacements none of the configured sources may be left.
func (p *Puller) candidates() []Source {
	p.mu.Lock()
	configured := p.sources
	p.mu.Unlock()
	sources := append(p.nearSources(), configured...)
	hosts := p.State().Hosts
	for _, name := range slices.Sorted(maps.Keys(hosts)) {
		h := hosts[name]
		known := slices.ContainsFunc(configured, func(s Source) bool { return s.Name == name && s.Addr == h.RPC })
		if h.Control && h.RPC.IsValid() && !known {
			sources = append(sources, Source{
				Name: name,
				Addr: h.RPC,
			})
		}
	}
	return sources
}
