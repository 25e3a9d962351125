package logservice

import (
	"net/http"
	"regexp"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/banyanglade/banyanglade/internal/standin"
	"github.com/banyanglade/banyanglade/internal/wire"
)

const (
	streamRoute  = wire.LogStreamsRoute + "/{stream}"
	recordsRoute = streamRoute + "/" + wire.LogRecordsSegment

	// retryAfterSeconds is the Retry-After header of an append refused for its
	// rate.
	retryAfterSeconds = "1"
)

var streamName = regexp.MustCompile(`^[a-z0-9.-]+$`)

// Handler returns the HTTP handler of the service.
func (s *Service) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+recordsRoute, s.withFaults(s.serveAppend))
	mux.HandleFunc("GET "+recordsRoute, s.withFaults(s.serveRead))
	mux.HandleFunc("GET "+streamRoute, s.withFaults(s.serveInfo))
	mux.HandleFunc("GET "+wire.StandinFaultsRoute, s.serveFaults)
	mux.HandleFunc("POST "+wire.StandinFaultsRoute, s.serveSetFaults)
	mux.HandleFunc("GET "+StatsRoute, s.serveStats)
	return mux
}

type streamHandler func(w http.ResponseWriter, r *http.Request, stream string)

// withFaults applies the outage and delay faults, and validates the name of the
// stream.
func (s *Service) withFaults(next streamHandler) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if s.Faults().Down {
			writeFailure(w, ErrDown)
			return
		}
		if s.delay(r.Context()) != nil {
			standin.DropConnection()
		}
		stream := r.PathValue("stream")
		if !streamName.MatchString(stream) {
			standin.WriteError(w, http.StatusBadRequest, "stream name must match "+streamName.String())
			return
		}
		next(w, r, stream)
	}
}

func (s *Service) serveAppend(w http.ResponseWriter, r *http.Request, stream string) {
	var request wire.AppendRequest
	if !standin.ReadJSON(w, r, &request) {
		return
	}
	if len(request.Records) == 0 {
		standin.WriteError(w, http.StatusBadRequest, "an append needs at least one record")
		return
	}
	if s.takeDropAppend(stream) {
		standin.DropConnection()
	}
	first, err := s.Append(stream, request.Records)
	if err != nil {
		writeFailure(w, err)
		return
	}
	if s.takeDropAppendReply(stream) {
		standin.DropConnection()
	}
	standin.WriteJSON(w, http.StatusOK, wire.AppendReply{First: first})
}

func (s *Service) serveRead(w http.ResponseWriter, r *http.Request, stream string) {
	query, err := parseReadQuery(r)
	if err != nil {
		standin.WriteError(w, http.StatusBadRequest, err.Error())
		return
	}
	reply, err := s.Read(r.Context(), stream, query.from, query.limit, query.wait)
	if errors.Is(err, ErrNotRetained) {
		s.serveNotRetained(w, stream)
		return
	}
	if err != nil {
		writeFailure(w, err)
		return
	}
	standin.WriteJSON(w, http.StatusOK, reply)
}

// serveNotRetained responds to a read below the first retained offset.
func (s *Service) serveNotRetained(w http.ResponseWriter, stream string) {
	info, err := s.Info(stream)
	if err != nil {
		writeFailure(w, err)
		return
	}
	standin.WriteJSON(w, http.StatusGone, info)
}

func (s *Service) serveInfo(w http.ResponseWriter, _ *http.Request, stream string) {
	info, err := s.Info(stream)
	if err != nil {
		writeFailure(w, err)
		return
	}
	standin.WriteJSON(w, http.StatusOK, info)
}

func (s *Service) serveFaults(w http.ResponseWriter, _ *http.Request) {
	standin.WriteJSON(w, http.StatusOK, s.Faults())
}

func (s *Service) serveSetFaults(w http.ResponseWriter, r *http.Request) {
	var faults wire.LogFaults
	if !standin.ReadJSON(w, r, &faults) {
		return
	}
	s.SetFaults(faults)
	standin.WriteJSON(w, http.StatusOK, faults)
}

func (s *Service) serveStats(w http.ResponseWriter, _ *http.Request) {
	standin.WriteJSON(w, http.StatusOK, s.Stats())
}

func writeFailure(w http.ResponseWriter, err error) {
	status := http.StatusServiceUnavailable
	if errors.Is(err, ErrOverloaded) {
		status = http.StatusTooManyRequests
		w.Header().Set("Retry-After", retryAfterSeconds)
	}
	standin.WriteError(w, status, err.Error())
}

type readQuery struct {
	from  uint64
	limit int
	wait  time.Duration
}

func parseReadQuery(r *http.Request) (readQuery, error) {
	from, err := standin.QueryNumber(r, "from")
	if err != nil {
		return readQuery{}, err
	}
	limit, err := standin.QueryNumber(r, "max")
	if err != nil {
		return readQuery{}, err
	}
	wait, err := standin.QueryNumber(r, "wait_ms")
	if err != nil {
		return readQuery{}, err
	}
	return readQuery{
		from:  from,
		limit: int(limit),
		wait:  time.Duration(wait) * time.Millisecond,
	}, nil
}
