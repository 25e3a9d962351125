package engine

import (
	"net/http"
	"time"

	"github.com/banyanglade/banyanglade/internal/standin"
	"github.com/banyanglade/banyanglade/internal/wire"
)

// recordLoad records the current load for later reports. The caller must hold
// the mutex.
func (s *Server) recordLoad() {
	now := time.Now()
	s.loads.DropBefore(now.Add(-s.settings.LoadLag))
	s.loads.Record(now, wire.EngineLoad{
		Running:       s.model.Running(),
		Waiting:       s.model.Waiting(),
		Slots:         s.model.Slots(),
		CacheTokens:   s.model.cache.used,
		CacheCapacity: s.model.cache.capacity,
	})
}

// Load returns the load as of LoadLag ago.
func (s *Server) Load() wire.EngineLoad {
	s.mu.Lock()
	defer s.mu.Unlock()
	load, ok := s.loads.At(time.Now().Add(-s.settings.LoadLag))
	if !ok {
		load.Slots = s.model.Slots()
		load.CacheCapacity = s.model.cache.capacity
	}
	load.AgeMS = s.settings.LoadLag.Milliseconds()
	return load
}

func (s *Server) serveLoad(w http.ResponseWriter, _ *http.Request) {
	standin.WriteJSON(w, http.StatusOK, s.Load())
}
