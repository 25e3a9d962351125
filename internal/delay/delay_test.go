package delay

import (
	"context"
	"testing"
	"testing/synctest"
	"time"
)

func TestSleepEndsWithItsContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		if !Sleep(ctx, time.Millisecond) {
			t.Error("returned before the duration passed")
		}
		begun := time.Now()
		if Sleep(ctx, time.Hour) || time.Since(begun) >= time.Second {
			t.Errorf("returned after %s, want it to return when the context is done", time.Since(begun))
		}
	})
}
