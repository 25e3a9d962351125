package logservice

// StatsRoute is the route of the counters.
const StatsRoute = "/standin/stats"

// StreamStats counts all appends to a stream, including records no longer
// retained.
type StreamStats struct {
	Appends uint64 `json:"appends"`
	Records uint64 `json:"records"`
	Bytes   uint64 `json:"bytes"`
}

// Stats holds the counters of each stream and their totals.
type Stats struct {
	Total   StreamStats            `json:"total"`
	Streams map[string]StreamStats `json:"streams"`
}

// Stats returns the counters.
func (s *Service) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	stats := Stats{Streams: make(map[string]StreamStats)}
	for name, stream := range s.streams {
		stats.Streams[name] = stream.stats
		stats.Total.Appends += stream.stats.Appends
		stats.Total.Records += stream.stats.Records
		stats.Total.Bytes += stream.stats.Bytes
	}
	return stats
}
