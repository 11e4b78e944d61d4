package soaker

import (
	"time"

	"bramleyline.example/bramleyline/injector"
)

// disruptLinks injects a fault into the connections of a host or a data centre for the duration of the step.
func (s *Soaker) disruptLinks(st step) {
	var err error
	switch st.kind {
	case kindCutDC:
		err = s.fleet.network.Isolate(st.subject+"*", injector.Fault{
			Cut: true,
		})
	case kindSilence:
		err = s.fleet.network.Isolate(st.subject, injector.Fault{
			Cut: true,
		})
	case kindOneWay:
		err = s.fleet.network.Set(st.subject, "!"+st.subject, injector.Fault{
			Cut: true,
		})
	case kindRefuse:
		err = s.fleet.network.Set("!"+st.subject, st.subject, injector.Fault{
			Refuse: true,
		})
	case kindDelay:
		err = s.fleet.network.Isolate(st.subject, injector.Fault{
			Delay: st.duration / 20,
		})
	case kindReset:
		_, err = s.fleet.network.Reset("*", st.subject)
	}
	if err != nil {
		s.checker.reportViolation("step %s: %v", st, err)
	}
	time.Sleep(st.duration)
	pattern := st.subject
	if st.kind == kindCutDC {
		pattern += "*"
	}
	// Faults of other steps on other names stay in force.
	if err := s.fleet.network.Isolate(pattern, injector.Fault{}); err != nil {
		s.checker.reportViolation("step %s: %v", st, err)
	}
}

// strand cuts an entry host off from all targets. The host stays in contact with the others.
func (s *Soaker) strand(st step) {
	err := s.fleet.network.Set(st.subject, allTargets, injector.Fault{
		Cut:    st.variant == variantHang,
		Refuse: st.variant != variantHang,
	})
	if err == nil && st.variant == variantReset {
		_, err = s.fleet.network.Reset(st.subject, allTargets)
	}
	if err == nil {
		time.Sleep(st.duration)
		err = s.fleet.network.Set(st.subject, allTargets, injector.Fault{})
	}
	if err != nil {
		s.checker.reportViolation("step %s: %v", st, err)
	}
}

// holdUpdates holds back what an entry host and the control hosts send to each other. The host keeps its links to callers and targets.
func (s *Soaker) holdUpdates(st step) {
	set := func(fault injector.Fault) {
		for _, names := range [][2]string{{st.subject, allControls}, {allControls, st.subject}} {
			if err := s.fleet.network.Set(names[0], names[1], fault); err != nil {
				s.checker.reportViolation("step %s: %v", st, err)
			}
		}
	}
	set(injector.Fault{
		Hold: true,
	})
	time.Sleep(st.duration)
	set(injector.Fault{})
}
