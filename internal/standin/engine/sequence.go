package engine

// sequence is a request that waits or runs.
type sequence struct {
	request Request
	// cached is the number of prompt tokens found in the cache at admission.
	cached int
	// prefilled is the number of prompt tokens processed or cached.
	prefilled int
	// generated is the number of tokens made.
	generated int
	// planned is the number of prompt tokens to process in the planned step,
	// and plannedToken whether the step makes a token.
	planned      int
	plannedToken bool
	// sharedStored tells that the whole shared prefix is cached, where it
	// stays while the sequence runs.
	sharedStored bool
}

// start puts the sequence into a slot with the given number of cached tokens.
// The last prompt token is always computed, since it gives the first token.
func (s *sequence) start(cached int) {
	s.cached = max(0, min(cached, s.request.PromptTokens-1))
	s.prefilled = s.cached
	s.sharedStored = s.cached >= s.request.SharedTokens
}

// plan takes up to budget prompt tokens and returns how many it took.
func (s *sequence) plan(budget int) int {
	missing := s.request.PromptTokens - s.prefilled
	s.planned = min(missing, budget)
	s.plannedToken = s.planned == missing
	return s.planned
}

// step executes the plan and tells whether it made a token.
func (s *sequence) step() bool {
	made := s.plannedToken
	s.prefilled += s.planned
	if made {
		s.generated++
	}
	s.planned = 0
	s.plannedToken = false
	return made
}

func (s *sequence) complete() bool {
	return s.generated >= s.request.limit()
}

// processedShared returns the processed tokens of the shared prefix.
func (s *sequence) processedShared() int64 {
	return int64(min(s.prefilled, s.request.SharedTokens))
}

// processedOwn returns the processed tokens beyond the shared prefix.
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
