package delegator

import (
	"maps"
	"slices"
	"time"

	"bramleyline.example/bramleyline/applier"
	"bramleyline.example/bramleyline/configurer"
	"bramleyline.example/bramleyline/leaser"
)

// nameAuthority returns the command that names an authority for a data centre that has none, or replaces one whose
// lease has expired. It returns false if there is nothing to do or no host may be named yet.
func (d *Delegator) nameAuthority(now time.Time, st *applier.State, cfg *configurer.Config, name string) (applier.Command, bool) {
	dc := st.DataCentres[name]
	var host string
	if dc.AuthorityIndex == 0 {
		host = d.candidate(now, st, name, "", func(*lastHeartbeat) bool { return true })
	} else {
		a := d.authority(now, name, dc.AuthorityIndex)
		lease := cfg.Timing.AuthorityLease
		if a.lease.Until().IsZero() {
			// The leader or the authority is new. Count a lease from now, because the authority may hold one already.
			a.lease.Granted(now, lease)
		}
		if !a.lease.Lapsed(now) {
			return applier.Command{}, false
		}
		host = d.successor(now, st, cfg, dc, a)
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

// successor returns the host that may replace an authority whose lease has expired, empty if none may yet. A host of
// the in-sync set may do so at once. Any other host may only after the authority's process has ended, or after the
// longest CutOffHold of all services has passed since the last contact with the authority.
func (d *Delegator) successor(now time.Time, st *applier.State, cfg *configurer.Config, dc applier.DataCentre, a *authorityStatus) string {
	inSync := func(h *lastHeartbeat) bool {
		return dc.InSync[h.host.Name] == h.host.Incarnation
	}
	if host := d.candidate(now, st, dc.Name, dc.Authority, inSync); host != "" {
		return host
	}
	// A process binds the addresses of its host, so a new incarnation proves that the former process has ended.
	ended := false
	if h, ok := d.hosts[dc.Authority]; ok && h.host.Incarnation > dc.AuthorityIncarnation {
		ended = true
	}
	hold := cfg.MaxCutOffHold()
	if ended || !now.Before(a.contactAt.Add(hold+leaser.DefaultMargin(hold)+dispatchLeaseBound(cfg))) {
		return d.candidate(now, st, dc.Name, "", func(*lastHeartbeat) bool { return true })
	}
	return ""
}

// candidate returns the first host of a data centre, in the order of names, that is connected, registered, eligible,
// not excluded, and bound by no promise to an authority. It returns an empty name if there is none.
func (d *Delegator) candidate(now time.Time, st *applier.State, dc, excluded string, eligible func(*lastHeartbeat) bool) string {
	for _, name := range slices.Sorted(maps.Keys(d.hosts)) {
		h := d.hosts[name]
		registered := st.Hosts[name].Incarnation == h.host.Incarnation
		if h.host.DataCentre == dc && name != excluded && registered && h.promised == 0 && d.connected(now, name) && eligible(h) {
			return name
		}
	}
	return ""
}

// dispatchLeaseBound returns the length of a dispatch lease with its margin for clock drift. It covers the leases that
// an authority grants at the very end of its hold.
func dispatchLeaseBound(cfg *configurer.Config) time.Duration {
	lease := cfg.Timing.DispatchLease
	return lease + leaser.DefaultMargin(lease)
}
