package delegator

import (
	"maps"
	"slices"
	"time"

	"bramleyline.example/bramleyline/applier"
	"bramleyline.example/bramleyline/configurer"
	"bramleyline.example/bramleyline/leaser"
)

// nameAuthority names an authority for a data centre that has none, or replaces one whose lease has lapsed.
func (d *Delegator) nameAuthority(now time.Time, st *applier.State, cfg *configurer.Config, name string) (applier.Command, bool) {
	dc := st.DataCentres[name]
	var host string
	if dc.AuthorityIndex == 0 {
		host = d.candidate(now, st, name, "", func(*contact) bool { return true })
	} else {
		c := d.centre(now, name, dc.AuthorityIndex)
		lease := cfg.Timing.AuthorityLease
		if c.lease.Until().IsZero() {
			// A new leader or a new authority: the lease that it may hold counts from now.
			c.lease.Granted(now, lease)
		}
		if !c.lease.Lapsed(now) {
			return applier.Command{}, false
		}
		host = d.successor(now, st, cfg, dc, c)
	}
	if host == "" {
		return applier.Command{}, false
	}
	return applier.Command{
		NameAuthority: &applier.NameAuthorityMsg{
			DataCentre:  name,
			Host:        host,
			Incarnation: d.hosts[host].host.Incarnation,
		},
	}, true
}

// successor returns the host that may replace an authority whose lease has lapsed, empty if none may yet.
func (d *Delegator) successor(now time.Time, st *applier.State, cfg *configurer.Config, dc applier.DataCentre, c *centre) string {
	inSync := func(h *contact) bool {
		return dc.InSync[h.host.Name] == h.host.Incarnation
	}
	if host := d.candidate(now, st, dc.Name, dc.Authority, inSync); host != "" {
		return host
	}
	// A host binds its addresses, so a new process proves that the former one has ended.
	ended := false
	if h, ok := d.hosts[dc.Authority]; ok && h.host.Incarnation > dc.AuthorityIncarnation {
		ended = true
	}
	hold := cfg.HoldBound()
	if ended || !now.Before(c.at.Add(hold+leaser.DefaultMargin(hold)+slack(cfg))) {
		return d.candidate(now, st, dc.Name, "", func(*contact) bool { return true })
	}
	return ""
}

// candidate returns the first connected host of a data centre, other than not, that made no promise and passes ok.
func (d *Delegator) candidate(now time.Time, st *applier.State, dc, not string, ok func(*contact) bool) string {
	for _, name := range slices.Sorted(maps.Keys(d.hosts)) {
		h := d.hosts[name]
		registered := st.Hosts[name].Incarnation == h.host.Incarnation
		if h.host.DataCentre == dc && name != not && registered && h.promised == 0 && d.connected(now, name) && ok(h) {
			return name
		}
	}
	return ""
}

// slack covers the leases that an authority grants at the very end of its hold.
func slack(cfg *configurer.Config) time.Duration {
	lease := cfg.Timing.DispatchLease
	return lease + leaser.DefaultMargin(lease)
}
