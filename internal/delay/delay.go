// Package delay waits.
package delay

import (
	"context"
	"time"
)

// Sleep waits for a duration or the end of the context, whichever comes first.
// It tells whether the whole duration has passed.
func Sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
