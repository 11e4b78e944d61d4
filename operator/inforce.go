package operator

import (
	"slices"

	"bramleyline.example/bramleyline/applier"
	"bramleyline.example/bramleyline/checker"
	"bramleyline.example/bramleyline/configurer"
)

// parsed is a stored configuration in domain types.
type parsed struct {
	version uint64
	digest  string
	config  *configurer.Config
}

// configOf returns the configuration in force of the first data centre, nil if there is none or if it cannot be read.
// What it is used for is the same in all data centres. The last one is kept, because the status is asked for often.
func (o *Operator) configOf(st *applier.State) *configurer.Config {
	if st.Config.Version == 0 {
		return nil
	}
	if p := o.inForce.Load(); p != nil && p.version == st.Config.Version && p.digest == st.Config.Digest {
		return p.config
	}
	p := parsed{
		version: st.Config.Version,
		digest:  st.Config.Digest,
		config:  parseStored(&st.Config),
	}
	o.inForce.Store(&p)
	return p.config
}

func parseStored(v *applier.StoredConfig) *configurer.Config {
	report := checker.Checker{}.CheckTexts(v.Base, v.Overlays)
	return report.Any()
}

// servicesInForce returns the services of the configuration in force, and of those that were removed but whose slots
// have owners: a service that comes back must fit its slot table.
func (o *Operator) servicesInForce(st *applier.State) []configurer.Service {
	var services []configurer.Service
	if cfg := o.configOf(st); cfg != nil {
		services = slices.Clone(cfg.Services)
	}
	for name, table := range st.Slots {
		known := slices.ContainsFunc(services, func(s configurer.Service) bool { return s.Name == name })
		if !known && table.Len() > 0 {
			services = append(services, removedService(st, name))
		}
	}
	return services
}

// removedService returns a service as the newest version had it that still had it.
func removedService(st *applier.State, name string) configurer.Service {
	for _, v := range slices.Backward(st.History) {
		if cfg := parseStored(&v); cfg != nil {
			if s, ok := cfg.Service(name); ok {
				return *s
			}
		}
	}
	return configurer.Service{
		Name:  name,
		Keyed: true,
		Slots: st.Slots[name].Len(),
	}
}
