package server

import (
	"bramleyline.example/bramleyline/operator"
)

// startOperator serves the operators' API, the status page and the health checks of the platform's balancer.
func (s *Server) startOperator() {
	s.operator = &operator.Operator{
		Host:     s.settings.Name,
		Key:      s.settings.Keys.Operator,
		Source:   s.source,
		Proposer: s.proposer,
		Facts:    s.collectFacts,
		Ready:    s.checkReady,
		Log: func(message string, pairs ...any) {
			s.logger.Info(message, pairs...)
		},
	}
	if s.listeners.operator != nil {
		s.operator.Start(s.listeners.operator, s.certifier.Public())
	}
}
