package engine

import "time"

// Defaults of ModelSettings.
const (
	DefaultSlots               = 16
	DefaultStepBase            = 2500 * time.Microsecond
	DefaultStepPerSequence     = 20 * time.Microsecond
	DefaultStepPerPrefillToken = 10 * time.Microsecond
	DefaultPrefillChunk        = 512
	DefaultCacheCapacity       = 200_000
)

// ModelSettings configure a Model. A zero field takes its default; a negative
// cost means no cost.
type ModelSettings struct {
	// Slots is the maximum number of sequences that run at once.
	Slots int
	// StepBase is the fixed cost of a step.
	StepBase time.Duration
	// StepPerSequence is the cost per sequence that generates a token in the
	// step.
	StepPerSequence time.Duration
	// StepPerPrefillToken is the cost per prompt token processed in the step.
	StepPerPrefillToken time.Duration
	// PrefillChunk is the maximum number of prompt tokens processed in one
	// step, over all sequences.
	PrefillChunk int
	// CacheCapacity is the size of the prefix cache in tokens; negative
	// disables the cache.
	CacheCapacity int64
}

func (s ModelSettings) withDefaults() ModelSettings {
	s.Slots = orDefault(s.Slots, DefaultSlots)
	s.StepBase = orDefault(s.StepBase, DefaultStepBase)
	s.StepPerSequence = orDefault(s.StepPerSequence, DefaultStepPerSequence)
	s.StepPerPrefillToken = orDefault(s.StepPerPrefillToken, DefaultStepPerPrefillToken)
	s.PrefillChunk = orDefault(s.PrefillChunk, DefaultPrefillChunk)
	s.CacheCapacity = orDefault(s.CacheCapacity, DefaultCacheCapacity)
	s.StepBase = max(0, s.StepBase)
	s.StepPerSequence = max(0, s.StepPerSequence)
	s.StepPerPrefillToken = max(0, s.StepPerPrefillToken)
	s.CacheCapacity = max(0, s.CacheCapacity)
	s.Slots = max(1, s.Slots)
	s.PrefillChunk = max(1, s.PrefillChunk)
	return s
}

func orDefault[T comparable](value, fallback T) T {
	var zero T
	if value == zero {
		return fallback
	}
	return value
}
