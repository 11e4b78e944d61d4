package forwarder

import "time"

// ArrivalMeter measures the arriving work of services by priority.
type ArrivalMeter interface {
	// RecordArrival records a request at its arrival, whether it can be served or not. serviceTime is the expected service time.
	RecordArrival(service string, priority int, serviceTime time.Duration)
}

func (x *exchange) recordArrival() {
	if m := x.f.opts.Arrivals; m != nil {
		m.RecordArrival(x.service.Name, x.route.Priority, x.f.serviceTime(x.route.Name).expected())
	}
}
