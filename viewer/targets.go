package viewer

import "net/netip"

// Others returns up to n targets beside t that do not drain: of the data centre of t, or of others if it has none.
func (v *View) Others(t *Target, n int) []Target {
	if v == nil || v.snapshot == nil {
		return nil
	}
	var local, remote []Target
	for _, o := range v.snapshot.registry.Targets().All() {
		switch {
		case len(local) >= n:
			return local
		case o.ID == t.ID || o.Addr == t.Addr || o.Draining || !o.Addr.IsValid():
		case o.DataCentre == t.DataCentre:
			local = append(local, v.snapshot.target(o))
		case len(remote) < n:
			remote = append(remote, v.snapshot.target(o))
		}
	}
	if len(local) > 0 {
		return local
	}
	return remote
}

// Addrs returns the addresses of the targets that do not drain: those of one data centre, and the others.
func (v *View) Addrs(dataCentre string) (local, remote []netip.AddrPort) {
	if v == nil || v.snapshot == nil {
		return nil, nil
	}
	for _, t := range v.snapshot.registry.Targets().All() {
		switch {
		case t.Draining || !t.Addr.IsValid():
		case t.DataCentre == dataCentre:
			local = append(local, t.Addr)
		default:
			remote = append(remote, t.Addr)
		}
	}
	return local, remote
}
