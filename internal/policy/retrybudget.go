package policy

import "time"

// Limits of the retry budget.
const (
	// retryRatio is the number of retries allowed per fresh request.
	retryRatio = 0.2
	// retryBurst is the maximum number of retries that can accumulate.
	retryBurst = 20
	// RetryBudgetRetryAfter is the delay after which a refused retry may be sent
	// again.
	RetryBudgetRetryAfter = time.Second
)

// RetryBudget limits retries to a fraction of the fresh requests, so that they
// do not amplify an overload.
type RetryBudget struct{ ratio, burst, credit float64 }

// NewRetryBudget returns a full budget.
func NewRetryBudget() RetryBudget { return NewRetryBudgetWith(retryRatio, retryBurst) }

// NewRetryBudgetWith returns a full budget with the given ratio and burst.
func NewRetryBudgetWith(ratio, burst float64) RetryBudget {
	return RetryBudget{ratio: ratio, burst: burst, credit: burst}
}

// Allow accounts for a request and reports whether it may proceed. Attempt 0 is
// a fresh request.
func (b *RetryBudget) Allow(attempt int) bool {
	if attempt == 0 {
		b.credit = min(b.burst, b.credit+b.ratio)
		return true
	}
	if b.credit < 1 {
		return false
	}
	b.credit--
	return true
}
