package httpapi

import (
	"net/http"

	"github.com/gin-gonic/gin"
)

// healthz tells that the process serves.
func (s *Server) healthz(c *gin.Context) {
	s.writeJSON(c, http.StatusOK, s.core.Health())
}

// readyz tells the balancer whether to send traffic.
func (s *Server) readyz(c *gin.Context) {
	health := s.core.Health()
	status := http.StatusOK
	if health.State != HealthReady {
		status = http.StatusServiceUnavailable
	}
	s.writeJSON(c, status, health)
}
