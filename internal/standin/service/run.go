package service

import (
	"encoding/json"
	"io"
	"log/slog"
	"net/http"

	"github.com/banyanglade/banyanglade/internal/standin"
	"github.com/banyanglade/banyanglade/internal/wire"
)

const contentTypeJSON = "application/json"

// serveRequest runs one request under the configured faults.
func (s *Service) serveRequest(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, standin.MaxBodyBytes))
	if err != nil {
		standin.DropConnection()
	}
	key := r.Header.Get(wire.HeaderIdempotencyKey)
	s.outcomes.begin(key)
	defer s.outcomes.end(key)
	if s.injector.WaitWhileHung(r.Context()) != nil {
		standin.DropConnection()
	}
	if s.injector.TakeFail() {
		standin.WriteError(w, http.StatusServiceUnavailable, "failed before running")
		return
	}
	outcome, ok := s.outcome(r, key, body)
	if !ok || s.injector.TakeDropReply() {
		standin.DropConnection()
	}
	writeOutcome(w, outcome)
}

// outcome runs a request, or returns the response of an earlier one if the
// service deduplicates. It returns false at Close.
func (s *Service) outcome(r *http.Request, key string, body []byte) (wire.OutcomeReply, bool) {
	if !s.settings.Dedupe || key == "" {
		return s.run(r, key, body)
	}
	unlock := s.outcomes.lockKey(key)
	defer unlock()
	if known, _ := s.outcomes.get(key); known != nil {
		return *known, true
	}
	return s.run(r, key, body)
}

// run records a request, waits for its run time and stores its response.
func (s *Service) run(r *http.Request, key string, body []byte) (wire.OutcomeReply, bool) {
	entry := s.ledgerEntry(r, body)
	sequence := s.ledger.Begin(entry)
	if !s.waitRunTime(s.runTime(r)) {
		return wire.OutcomeReply{}, false
	}
	encoded, err := json.Marshal(newResponse(entry, sequence))
	if err != nil {
		slog.Error("encode response", "error", err)
		return wire.OutcomeReply{}, false
	}
	outcome := wire.OutcomeReply{Status: http.StatusOK, ContentType: contentTypeJSON, Body: encoded}
	s.outcomes.store(key, outcome)
	s.ledger.Finish(sequence, 0)
	return outcome, true
}

// serveOutcome responds with the outcome of the request with an idempotency
// key. It waits while such a request is in progress, since status 404 would
// wrongly report that it did not run.
func (s *Service) serveOutcome(w http.ResponseWriter, r *http.Request) {
	if s.injector.WaitWhileHung(r.Context()) != nil {
		standin.DropConnection()
	}
	outcome, err := s.outcomes.wait(r.Context(), r.PathValue("key"))
	switch {
	case err != nil:
		standin.DropConnection()
	case outcome == nil:
		standin.WriteError(w, http.StatusNotFound, "no request with this key ran")
	default:
		standin.WriteJSON(w, http.StatusOK, outcome)
	}
}
