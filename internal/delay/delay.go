// Package delay provides a context-aware sleep.
package delay

import (
	"context"
	"time"
)

// Sleep waits until the duration has passed or the context is done. It reports
// whether the whole duration has passed.
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
