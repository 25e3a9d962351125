package policy

import "time"

// Bounds of the retry budget.
const (
	// retryShare is the share of fresh requests that may be retries.
	retryShare = 0.2
	// retryBurst is the number of retries that may come at once.
	retryBurst = 20
	// RetryBudgetRetryAfter is when a retry that was refused may come again.
	RetryBudgetRetryAfter = time.Second
)

// RetryBudget limits further attempts to a share of the fresh requests, so
// that retries do not multiply an overload.
type RetryBudget struct{ share, burst, credit float64 }

// NewRetryBudget returns a full budget.
func NewRetryBudget() RetryBudget { return NewRetryBudgetWith(retryShare, retryBurst) }

// NewRetryBudgetWith returns a full budget of another share and burst.
func NewRetryBudgetWith(share, burst float64) RetryBudget {
	return RetryBudget{share: share, burst: burst, credit: burst}
}

// Allow takes a request into account and tells whether it may go on. Attempt
// 0 is a fresh request.
func (b *RetryBudget) Allow(attempt int) bool {
	if attempt == 0 {
		b.credit = min(b.burst, b.credit+b.share)
		return true
	}
	if b.credit < 1 {
		return false
	}
	b.credit--
	return true
}
