package logservice

import (
	"time"

	"github.com/banyanglade/banyanglade/internal/wire"
)

// stream holds the records of one stream. The service's mutex guards it.
type stream struct {
	first   uint64
	records []wire.LogRecord
	changed chan struct{}
	stats   StreamStats
}

func newStream() *stream {
	return &stream{changed: make(chan struct{})}
}

func (s *stream) end() uint64 {
	return s.first + uint64(len(s.records))
}

func (s *stream) info() wire.StreamInfo {
	return wire.StreamInfo{First: s.first, End: s.end()}
}

func (s *stream) append(now time.Time, records [][]byte) uint64 {
	first := s.end()
	for i, data := range records {
		record := wire.LogRecord{Offset: first + uint64(i), TimeMS: now.UnixMilli(), Data: data}
		s.records = append(s.records, record)
		s.stats.Bytes += uint64(len(data))
	}
	s.stats.Appends++
	s.stats.Records += uint64(len(records))
	s.wake()
	return first
}

// wake wakes every waiting read.
func (s *stream) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// retain drops the records in excess of count and those that are not newer than
// oldest.
func (s *stream) retain(count int, oldest time.Time) {
	drop := 0
	if count > 0 && len(s.records) > count {
		drop = len(s.records) - count
	}
	for !oldest.IsZero() && drop < len(s.records) && s.records[drop].TimeMS <= oldest.UnixMilli() {
		drop++
	}
	clear(s.records[:drop])
	s.records = s.records[drop:]
	s.first += uint64(drop)
}

// read returns up to limit records from an offset at or above s.first.
func (s *stream) read(from uint64, limit int) wire.ReadReply {
	reply := wire.ReadReply{Records: []wire.LogRecord{}, Next: from, End: s.end()}
	if from >= s.end() {
		return reply
	}
	tail := s.records[from-s.first:]
	tail = tail[:min(limit, len(tail))]
	reply.Records = append(reply.Records, tail...)
	reply.Next = from + uint64(len(tail))
	return reply
}
