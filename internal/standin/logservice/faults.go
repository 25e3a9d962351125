package logservice

import (
	"context"
	"time"

	"github.com/banyanglade/banyanglade/internal/wire"
)

// SetFaults replaces the faults and wakes every waiting read.
func (s *Service) SetFaults(faults wire.LogFaults) {
	s.changeFaults(func(current *wire.LogFaults) { *current = faults })
}

// Faults returns the faults with their remaining counts.
func (s *Service) Faults() wire.LogFaults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// SetDown starts or ends an outage. The other faults stay as they are.
func (s *Service) SetDown(down bool) {
	s.changeFaults(func(faults *wire.LogFaults) { faults.Down = down })
}

// DropAppends makes the next count appends to a stream (empty: any) fail before
// they take effect, by closing their connections.
func (s *Service) DropAppends(stream string, count int) {
	s.changeFaults(func(faults *wire.LogFaults) {
		faults.Stream = stream
		faults.DropAppends = count
	})
}

// DropAppendReplies makes the next count appends to a stream (empty: any) fail
// after they took effect, by closing their connections.
func (s *Service) DropAppendReplies(stream string, count int) {
	s.changeFaults(func(faults *wire.LogFaults) {
		faults.Stream = stream
		faults.DropAppendReplies = count
	})
}

func (s *Service) changeFaults(change func(*wire.LogFaults)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(&s.faults)
	for _, stream := range s.streams {
		stream.wake()
	}
}

func (s *Service) takeDropAppend(stream string) bool {
	return s.takeFault(stream, &s.faults.DropAppends)
}

func (s *Service) takeDropAppendReply(stream string) bool {
	return s.takeFault(stream, &s.faults.DropAppendReplies)
}

func (s *Service) takeFault(stream string, count *int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.Stream != "" && s.faults.Stream != stream {
		return false
	}
	if *count <= 0 {
		return false
	}
	*count--
	return true
}

// delay waits for the duration of the delay fault. It returns the error of the
// context if that ends first.
func (s *Service) delay(ctx context.Context) error {
	milliseconds := s.Faults().DelayMS
	if milliseconds <= 0 {
		return nil
	}
	timer := time.NewTimer(time.Duration(milliseconds) * time.Millisecond)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
