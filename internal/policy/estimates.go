package policy

import "time"

// Estimates are moving averages of a pool's work, learned from finished runs.
type Estimates struct {
	// PrefillPerToken is the time to process one prompt token.
	PrefillPerToken time.Duration
	// TokenTime is the time between tokens of an answer.
	TokenTime time.Duration
	// CallTime is the time of one run.
	CallTime time.Duration
	// Tokens is the length of an answer.
	Tokens float64
}

// Initial estimates, used until runs have been seen.
const (
	initialPrefillPerToken = 15 * time.Microsecond
	initialTokenTime       = 3 * time.Millisecond
	initialCallTime        = 500 * time.Millisecond
	initialTokens          = 150
	// estimateGain is the weight of a new sample.
	estimateGain = 0.02
	// minPrefillSample is the least uncached prompt that tells a rate.
	minPrefillSample = 1024
)

// NewEstimates gives the initial estimates.
func NewEstimates() Estimates {
	return Estimates{
		PrefillPerToken: initialPrefillPerToken, TokenTime: initialTokenTime,
		CallTime: initialCallTime, Tokens: initialTokens,
	}
}

// RunSample is what one finished run tells.
type RunSample struct {
	Uncached   int64
	Completion int64
	FirstToken time.Duration
	Took       time.Duration
	// Queued is the prefill that was ahead of the run at its target.
	Queued time.Duration
}

// Add takes a finished run into the averages.
func (e *Estimates) Add(s RunSample) {
	e.CallTime = blend(e.CallTime, s.Took)
	e.Tokens += estimateGain * (float64(s.Completion) - e.Tokens)
	if s.Completion > 1 && s.Took > s.FirstToken {
		e.TokenTime = blend(e.TokenTime, (s.Took-s.FirstToken)/time.Duration(s.Completion-1))
	}
	if own := s.FirstToken - s.Queued; s.Uncached >= minPrefillSample && own > 0 {
		e.PrefillPerToken = blend(e.PrefillPerToken, own/time.Duration(s.Uncached))
	}
}

// ExpectedTime is the time that a run of that size usually takes.
func (e *Estimates) ExpectedTime(uncached, completion int64) time.Duration {
	return time.Duration(uncached)*e.PrefillPerToken + time.Duration(completion+1)*e.TokenTime
}

func blend(old, sample time.Duration) time.Duration {
	return old + time.Duration(estimateGain*float64(sample-old))
}
