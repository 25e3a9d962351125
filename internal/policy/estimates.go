package policy

import "time"

// Estimates holds moving averages of a pool's work, learned from finished runs.
type Estimates struct {
	// PrefillPerToken is the time to process one prompt token.
	PrefillPerToken time.Duration
	// TokenTime is the time between tokens of a response.
	TokenTime time.Duration
	// CallTime is the time of one run.
	CallTime time.Duration
	// Tokens is the length of a response.
	Tokens float64
}

// Initial estimates, used until runs have finished.
const (
	initialPrefillPerToken = 15 * time.Microsecond
	initialTokenTime       = 3 * time.Millisecond
	initialCallTime        = 500 * time.Millisecond
	initialTokens          = 150
	// estimateGain is the weight of a new sample.
	estimateGain = 0.02
	// minPrefillSample is the minimum number of uncached prompt tokens for a
	// sample of the prefill rate.
	minPrefillSample = 1024
)

// NewEstimates returns the initial estimates.
func NewEstimates() Estimates {
	return Estimates{
		PrefillPerToken: initialPrefillPerToken, TokenTime: initialTokenTime,
		CallTime: initialCallTime, Tokens: initialTokens,
	}
}

// RunSample holds the measurements of one finished run.
type RunSample struct {
	UncachedTokens   int64
	CompletionTokens int64
	FirstToken       time.Duration
	Duration         time.Duration
	// Queued is the prefill time queued ahead of the run at its target.
	Queued time.Duration
}

// Add updates the averages with a finished run.
func (e *Estimates) Add(s RunSample) {
	e.CallTime = blend(e.CallTime, s.Duration)
	e.Tokens += estimateGain * (float64(s.CompletionTokens) - e.Tokens)
	if s.CompletionTokens > 1 && s.Duration > s.FirstToken {
		e.TokenTime = blend(e.TokenTime, (s.Duration-s.FirstToken)/time.Duration(s.CompletionTokens-1))
	}
	if own := s.FirstToken - s.Queued; s.UncachedTokens >= minPrefillSample && own > 0 {
		e.PrefillPerToken = blend(e.PrefillPerToken, own/time.Duration(s.UncachedTokens))
	}
}

// ExpectedTime returns the expected time of a run of the given size.
func (e *Estimates) ExpectedTime(uncached, completion int64) time.Duration {
	return time.Duration(uncached)*e.PrefillPerToken + time.Duration(completion+1)*e.TokenTime
}

func blend(old, sample time.Duration) time.Duration {
	return old + time.Duration(estimateGain*float64(sample-old))
}
