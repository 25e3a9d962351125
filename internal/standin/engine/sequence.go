package engine

// sequence is a waiting or running request.
type sequence struct {
	request Request
	// cached is the number of prompt tokens that were cached at admission.
	cached int
	// prefilled is the number of prompt tokens that are processed or cached.
	prefilled int
	generated int
	// planned is the number of prompt tokens to process in the planned step,
	// plannedToken whether the step generates a token.
	planned      int
	plannedToken bool
	// sharedStored reports whether the whole shared prefix is cached. It then
	// stays cached while the sequence runs.
	sharedStored bool
}

// start admits the sequence to a slot with the given number of cached tokens.
// The last prompt token is always computed, since it yields the first output
// token.
func (s *sequence) start(cached int) {
	s.cached = max(0, min(cached, s.request.PromptTokens-1))
	s.prefilled = s.cached
	s.sharedStored = s.cached >= s.request.SharedTokens
}

// plan plans to process up to budget prompt tokens and returns how many.
func (s *sequence) plan(budget int) int {
	missing := s.request.PromptTokens - s.prefilled
	s.planned = min(missing, budget)
	s.plannedToken = s.planned == missing
	return s.planned
}

// step executes the plan and reports whether it generated a token.
func (s *sequence) step() bool {
	generated := s.plannedToken
	s.prefilled += s.planned
	if generated {
		s.generated++
	}
	s.planned = 0
	s.plannedToken = false
	return generated
}

func (s *sequence) complete() bool {
	return s.generated >= s.request.limit()
}

// processedShared returns the number of processed tokens of the shared prefix.
func (s *sequence) processedShared() int64 {
	return int64(min(s.prefilled, s.request.SharedTokens))
}

// processedOwn returns the number of processed and generated tokens after the
// shared prefix.
func (s *sequence) processedOwn() int64 {
	return int64(max(0, s.prefilled-s.request.SharedTokens) + s.generated)
}

func (s *sequence) finished(reason FinishReason) Finished {
	return Finished{
		ID:               s.request.ID,
		Reason:           reason,
		PromptTokens:     s.request.PromptTokens,
		CachedTokens:     s.cached,
		CompletionTokens: s.generated,
	}
}

// reason returns why a complete sequence ended.
func (s *sequence) reason() FinishReason {
	if s.generated < s.request.OutputTokens {
		return FinishLength
	}
	return FinishStop
}
