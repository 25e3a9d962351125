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
			t.Error("the duration did not pass")
		}
		begun := time.Now()
		if Sleep(ctx, time.Hour) || time.Since(begun) >= time.Second {
			t.Errorf("it went on for %s behind the context's end", time.Since(begun))
		}
	})
}
