package httpapi

import (
	"context"
	"net/http"

	"github.com/gin-gonic/gin"
)

// healthz always responds 200 while the process is serving.
func (s *Server) healthz(c *gin.Context) {
	s.writeJSON(c, http.StatusOK, s.core.Health())
}

// readyz responds 503 unless the instance may receive traffic.
func (s *Server) readyz(c *gin.Context) {
	health := s.core.Health()
	status := http.StatusOK
	if health.State != HealthReady {
		status = http.StatusServiceUnavailable
	}
	s.writeJSON(c, status, health)
}

// dump returns the state of this instance.
func (s *Server) dump(c *gin.Context) {
	ctx, cancel := context.WithTimeout(c.Request.Context(), s.config.OperatorTimeout)
	defer cancel()
	state, err := s.core.Dump(ctx)
	if err != nil {
		s.log.Error("failed to dump the state", "request", infoOf(c).id, "error", err)
		s.fail(c, refusal(ReasonInternal, "the state could not be read"))
		return
	}
	s.writeJSON(c, http.StatusOK, state)
}

// drain starts the graceful shutdown of this instance.
func (s *Server) drain(c *gin.Context) {
	s.log.Info("drain requested", "request", infoOf(c).id, "principal", infoOf(c).principal.Name)
	s.core.Drain()
	s.writeJSON(c, http.StatusAccepted, Health{State: HealthDraining})
}
