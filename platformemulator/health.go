package platformemulator

import (
	"net/http"

	"bramleyline.example/bramleyline/platform"
	"bramleyline.example/bramleyline/selector"
)

func (e *Emulator) isDraining() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.draining
}

// reportHealth answers a health check. A target that drains is not healthy.
func (e *Emulator) reportHealth(w http.ResponseWriter) {
	e.mu.Lock()
	running, draining := e.running, e.draining
	e.healthChecks++
	e.mu.Unlock()
	platform.Counterpart{}.Health(w.Header(), e.opts.ID, selector.Load{
		Running: running,
		Slots:   4,
	})
	if draining {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// HealthChecks returns the number of health checks that the target has answered.
func (e *Emulator) HealthChecks() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.healthChecks
}
