package engine

import (
	"net/http"
	"time"

	"github.com/banyanglade/banyanglade/internal/standin"
	"github.com/banyanglade/banyanglade/internal/wire"
)

func (s *Server) serveCacheState(w http.ResponseWriter, _ *http.Request) {
	standin.WriteJSON(w, http.StatusOK, s.CacheState())
}

// CacheState returns the current content of the cache, without lag.
func (s *Server) CacheState() wire.CacheState {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.model.CacheState()
}

func (s *Server) serveCacheEvents(w http.ResponseWriter, r *http.Request) {
	from, err := standin.QueryNumber(r, "from")
	if err != nil {
		standin.WriteError(w, http.StatusBadRequest, err.Error())
		return
	}
	s.mu.Lock()
	page := s.cacheEvents.page(time.Now(), from)
	s.mu.Unlock()
	standin.WriteJSON(w, http.StatusOK, page)
}

func (s *Server) serveCacheRelease(w http.ResponseWriter, r *http.Request) {
	var release wire.CacheRelease
	if !standin.ReadJSON(w, r, &release) || !hasProgram(w, release.Program) {
		return
	}
	s.mu.Lock()
	held := s.model.Release(release.Program)
	s.publish(time.Now())
	s.mu.Unlock()
	standin.WriteJSON(w, http.StatusOK, wire.CacheReleaseReply{HeldTokens: held})
}

func (s *Server) serveCacheExport(w http.ResponseWriter, r *http.Request) {
	var export wire.CacheExport
	if !standin.ReadJSON(w, r, &export) || !hasProgram(w, export.Program) {
		return
	}
	s.mu.Lock()
	tokens := s.model.Export(export.Program)
	s.mu.Unlock()
	if tokens == 0 {
		standin.WriteError(w, http.StatusNotFound, "nothing is cached for the program")
		return
	}
	standin.WriteJSON(w, http.StatusOK, wire.CacheBlob{Program: export.Program, Tokens: tokens})
}

func (s *Server) serveCacheImport(w http.ResponseWriter, r *http.Request) {
	var blob wire.CacheBlob
	if !standin.ReadJSON(w, r, &blob) || !hasProgram(w, blob.Program) {
		return
	}
	s.mu.Lock()
	held := s.model.Import(blob.Program, blob.Tokens)
	s.publish(time.Now())
	s.mu.Unlock()
	standin.WriteJSON(w, http.StatusOK, wire.CacheReleaseReply{HeldTokens: held})
}

// hasProgram reports whether program is set; if not, it responds with status
// 400.
func hasProgram(w http.ResponseWriter, program string) bool {
	if program != "" {
		return true
	}
	standin.WriteError(w, http.StatusBadRequest, "program is missing")
	return false
}
