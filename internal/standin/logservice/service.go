package logservice

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/time/rate"

	"github.com/banyanglade/banyanglade/internal/wire"
)

// DefaultReadLimit is the maximum number of records that a read without a limit
// returns.
const DefaultReadLimit = 1000

// Errors of the Go methods. The HTTP handler maps them to status codes.
var (
	// ErrDown is returned during an outage.
	ErrDown = errors.New("log service is down")
	// ErrOverloaded is returned for an append above the rate limit.
	ErrOverloaded = errors.New("too many appends a second")
	// ErrNotRetained is returned for a read below the first retained offset.
	ErrNotRetained = errors.New("offset is no longer retained")
)

// Service is an in-memory log service. It is safe for concurrent use.
type Service struct {
	settings Settings
	limiter  *rate.Limiter

	mu      sync.Mutex
	streams map[string]*stream
	faults  wire.LogFaults
}

// New returns an empty log service.
func New(settings Settings) *Service {
	if settings.Now == nil {
		settings.Now = time.Now
	}
	return &Service{
		settings: settings,
		limiter:  newLimiter(settings),
		streams:  make(map[string]*stream),
	}
}

func newLimiter(settings Settings) *rate.Limiter {
	if settings.AppendsPerSecond <= 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	burst := settings.AppendBurst
	if burst <= 0 {
		burst = max(1, int(settings.AppendsPerSecond))
	}
	return rate.NewLimiter(rate.Limit(settings.AppendsPerSecond), burst)
}

// Append appends records to a stream and returns the offset of the first. It
// fails with ErrDown or ErrOverloaded.
func (s *Service) Append(name string, records [][]byte) (uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.Down {
		return 0, ErrDown
	}
	now := s.settings.Now()
	if !s.limiter.AllowN(now, 1) {
		return 0, ErrOverloaded
	}
	stream := s.stream(name)
	first := stream.append(now, records)
	s.retain(stream, now)
	return first, nil
}

// Read returns up to limit records from an offset on. If there are none, it
// waits up to wait for an append. It fails with ErrDown, or with ErrNotRetained
// if the offset is below the stream's retained range (see Info).
func (s *Service) Read(ctx context.Context, name string, from uint64, limit int, wait time.Duration) (wire.ReadReply, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		reply, changed, err := s.readNow(name, from, limit)
		if err != nil || wait <= 0 || len(reply.Records) > 0 {
			return reply, err
		}
		select {
		case <-changed:
		case <-timer.C:
			wait = 0
		case <-ctx.Done():
			return reply, ctx.Err()
		}
	}
}

// readNow reads without waiting. The returned channel is closed at the next
// change of the stream or of the faults.
func (s *Service) readNow(name string, from uint64, limit int) (wire.ReadReply, <-chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.Down {
		return wire.ReadReply{}, nil, ErrDown
	}
	stream := s.stream(name)
	s.retain(stream, s.settings.Now())
	if from < stream.first {
		return wire.ReadReply{}, nil, ErrNotRetained
	}
	if limit <= 0 {
		limit = DefaultReadLimit
	}
	return stream.read(from, limit), stream.changed, nil
}

// Info returns the retained range of a stream, which is empty for a stream
// never written.
func (s *Service) Info(name string) (wire.StreamInfo, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.Down {
		return wire.StreamInfo{}, ErrDown
	}
	stream := s.stream(name)
	s.retain(stream, s.settings.Now())
	return stream.info(), nil
}

func (s *Service) stream(name string) *stream {
	known, ok := s.streams[name]
	if !ok {
		known = newStream()
		s.streams[name] = known
	}
	return known
}

func (s *Service) retain(stream *stream, now time.Time) {
	var oldest time.Time
	if s.settings.RetainAge > 0 {
		oldest = now.Add(-s.settings.RetainAge)
	}
	stream.retain(s.settings.RetainRecords, oldest)
}
