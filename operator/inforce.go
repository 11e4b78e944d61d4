package operator

import (
	"slices"

	"bramleyline.example/bramleyline/applier"
	"bramleyline.example/bramleyline/checker"
	"bramleyline.example/bramleyline/configurer"
)

// parsedConfig is a parsed configuration with the version and digest of the stored one that it was parsed from.
type parsedConfig struct {
	version uint64
	digest  string
	config  *configurer.Config
}

// configInForce returns the configuration in force of the first data centre, nil if there is none or if it cannot be
// parsed. Its callers use only settings that are the same in all data centres. The result is cached, because the status
// is requested often.
func (o *Operator) configInForce(st *applier.State) *configurer.Config {
	if st.Config.Version == 0 {
		return nil
	}
	if p := o.inForce.Load(); p != nil && p.version == st.Config.Version && p.digest == st.Config.Digest {
		return p.config
	}
	p := parsedConfig{
		version: st.Config.Version,
		digest:  st.Config.Digest,
		config:  parseStored(&st.Config),
	}
	o.inForce.Store(&p)
	return p.config
}

func parseStored(v *applier.StoredConfig) *configurer.Config {
	report := checker.Checker{}.CheckTexts(v.Base, v.Overlays)
	return report.FirstConfig()
}

// servicesInForce returns the services of the configuration in force and those removed services that still have a slot
// table: a service that is added again must have the number of slots of its table.
func (o *Operator) servicesInForce(st *applier.State) []configurer.Service {
	var services []configurer.Service
	if cfg := o.configInForce(st); cfg != nil {
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

// removedService returns a removed service as configured in the newest version that still contains it. If the history
// has none, the slot table gives the number of slots.
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
