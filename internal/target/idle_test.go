package target

import (
	"testing"
	"time"
)

func TestIdleEnginesArePolledLessOften(t *testing.T) {
	cfg := Config{LoadInterval: 500 * time.Millisecond}.withDefaults()
	w := &watch{runner: &Runner{cfg: cfg}, engine: true, idleFactor: 1}
	for _, step := range []struct {
		idle bool
		want time.Duration
	}{
		{true, time.Second}, {true, 2 * time.Second}, {true, 4 * time.Second}, {true, 4 * time.Second},
		{false, 500 * time.Millisecond}, {true, time.Second},
	} {
		w.updateIdleFactor(step.idle)
		got := w.wait()
		if got < step.want-step.want/jitterDivisor || got > step.want+step.want/jitterDivisor {
			t.Fatalf("idle %v: %s, want about %s", step.idle, got, step.want)
		}
	}
}
