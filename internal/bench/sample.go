package bench

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/banyanglade/banyanglade/internal/structs"
)

// Sample holds the raw measurements of one run.
type Sample struct {
	// Slowdowns and Latencies (in seconds) are by priority.
	Slowdowns, Latencies map[int][]float64
	// Teams holds the slowdowns by team.
	Teams                   map[structs.Team][]float64
	Deadlines, DeadlinesMet int
	Programs, Failed        int
	Calls, Refused          int
	// NotSent is the number of attempts that an engine refused to run.
	NotSent int
	// RefusalDelays are the times from a request to its refusal, in seconds.
	RefusalDelays []float64
	// PromptTokens counts the tokens of all prompts, PrefilledTokens those that
	// were processed, and NewTokens those that were new in their calls.
	PromptTokens, PrefilledTokens, NewTokens int64
	Waste                                    Waste
}

func newSample() *Sample {
	return &Sample{
		Slowdowns: make(map[int][]float64), Latencies: make(map[int][]float64),
		Teams: make(map[structs.Team][]float64),
	}
}

func (s *Sample) inMeasurement(d *driver, p *liveProgram) bool {
	return p.spec.Arrival >= d.options.Warmup
}

func (s *Sample) recordCall(d *driver, c *liveCall) {
	if !s.inMeasurement(d, c.program) {
		return
	}
	s.Calls++
	s.PromptTokens += c.usage.PromptTokens
	s.PrefilledTokens += c.usage.PromptTokens - c.usage.CachedTokens
	s.NewTokens += int64(c.step.InputTokens)
}

func (s *Sample) recordRefusal(d *driver, c *liveCall, after time.Duration) {
	if !s.inMeasurement(d, c.program) {
		return
	}
	s.Refused++
	s.RefusalDelays = append(s.RefusalDelays, after.Seconds())
}

func (s *Sample) recordProgram(d *driver, p *liveProgram) {
	spec := p.spec
	if !s.inMeasurement(d, p) || !spec.Measured() {
		return
	}
	s.Programs++
	latency := d.clock.now - spec.Arrival
	if spec.Deadline > 0 {
		s.Deadlines++
		if !p.failed && latency <= spec.Deadline {
			s.DeadlinesMet++
		}
	}
	if p.failed {
		s.Failed++
		return
	}
	slowdown := float64(latency) / float64(spec.IdleLatency(d.options))
	s.Slowdowns[spec.Priority] = append(s.Slowdowns[spec.Priority], slowdown)
	s.Latencies[spec.Priority] = append(s.Latencies[spec.Priority], latency.Seconds())
	s.Teams[spec.Team] = append(s.Teams[spec.Team], slowdown)
}

func (s *Sample) collectWaste(d *driver) {
	for _, r := range d.engines {
		r.wasteMeter.finish()
		s.Waste.Ended += r.wasteMeter.waste.Ended
		s.Waste.Paused += r.wasteMeter.waste.Paused
		s.Waste.Held += r.wasteMeter.waste.Held
	}
}

// Stats holds the results of one run.
type Stats struct {
	// Mean is the mean slowdown of all programs.
	Mean float64
	// Classes holds the results by priority.
	Classes map[int]ClassStats
	// Met is the fraction of deadlines met.
	Met float64
	// Prefilled is the fraction of prompt tokens that were processed,
	// Recomputed the fraction that was processed but not new.
	Prefilled, Recomputed float64
	// WasteGone and WastePaused are in token-seconds per program, see Waste.
	WasteGone, WastePaused float64
	// TeamLow and TeamHigh are the lowest and highest mean slowdown of any
	// team.
	TeamLow, TeamHigh float64
	// NotSent is the number of attempts that an engine refused to run, per program.
	NotSent float64
	// Refused is the fraction of requests refused, RefusedAfter the 99th
	// percentile of the time to the refusal in seconds, and Failed the
	// fraction of programs that failed.
	Refused, RefusedAfter, Failed float64
	// RefusedMedian is the median of the time to the refusal in seconds.
	RefusedMedian float64
	Programs      int
}

// ClassStats holds the results of one priority class.
type ClassStats struct {
	Slowdown, Latency Quantiles
}

// Quantiles summarizes a distribution.
type Quantiles struct{ Mean, P50, P95, P99, Max float64 }

func (s *Sample) stats() Stats {
	stats := Stats{
		Classes: make(map[int]ClassStats), Programs: s.Programs,
		Met:        ratio(s.DeadlinesMet, s.Deadlines),
		Prefilled:  ratio(s.PrefilledTokens, s.PromptTokens),
		Recomputed: ratio(max(0, s.PrefilledTokens-s.NewTokens), s.PromptTokens),
		Refused:    ratio(s.Refused, s.Refused+s.Calls),
		Failed:     ratio(s.Failed, s.Programs),
		WasteGone:  s.Waste.Ended / float64(max(1, s.Programs)), WastePaused: s.Waste.Paused / float64(max(1, s.Programs)),
		RefusedAfter: quantiles(s.RefusalDelays).P99, RefusedMedian: quantiles(s.RefusalDelays).P50,
	}
	var all []float64
	for _, class := range slices.Sorted(maps.Keys(s.Slowdowns)) {
		slowdowns := s.Slowdowns[class]
		stats.Classes[class] = ClassStats{Slowdown: quantiles(slowdowns), Latency: quantiles(s.Latencies[class])}
		all = append(all, slowdowns...)
	}
	stats.Mean = quantiles(all).Mean
	stats.TeamLow, stats.TeamHigh = s.teamRange()
	stats.NotSent = ratio(s.NotSent, s.Programs)
	return stats
}

func (s *Sample) teamRange() (low, high float64) {
	low = math.Inf(1)
	for _, slowdowns := range s.Teams {
		mean := quantiles(slowdowns).Mean
		low, high = min(low, mean), max(high, mean)
	}
	return min(low, high), high
}

func ratio[N int | int64](part, whole N) float64 {
	if whole == 0 {
		return 0
	}
	return float64(part) / float64(whole)
}

// quantiles returns exact quantiles by the nearest-rank method.
func quantiles(values []float64) Quantiles {
	if len(values) == 0 {
		return Quantiles{}
	}
	sorted := slices.Sorted(slices.Values(values))
	sum := 0.0
	for _, v := range sorted {
		sum += v
	}
	at := func(q float64) float64 { return sorted[int(math.Ceil(q*float64(len(sorted))))-1] }
	return Quantiles{
		Mean: sum / float64(len(sorted)), P50: at(0.5), P95: at(0.95), P99: at(0.99),
		Max: sorted[len(sorted)-1],
	}
}
