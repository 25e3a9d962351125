package httpapi

import (
	"context"
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

// dump gives the state of this instance.
func (s *Server) dump(c *gin.Context) {
	ctx, cancel := context.WithTimeout(c.Request.Context(), s.config.OperatorTimeout)
	defer cancel()
	state, err := s.core.Dump(ctx)
	if err != nil {
		s.log.Error("state dump", "request", infoOf(c).id, "error", err)
		s.fail(c, refusal(ReasonInternal, "the state could not be read"))
		return
	}
	s.writeJSON(c, http.StatusOK, state)
}

// drain begins the graceful shutdown of this instance.
func (s *Server) drain(c *gin.Context) {
	s.log.Info("drain asked for", "request", infoOf(c).id, "principal", infoOf(c).principal.Name)
	s.core.Drain()
	s.writeJSON(c, http.StatusAccepted, Health{State: HealthDraining})
}
