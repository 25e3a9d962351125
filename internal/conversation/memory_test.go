package conversation

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/banyanglade/banyanglade/internal/structs"
)

// BenchmarkMemory measures the memory overhead of a stored turn beyond its
// text.
func BenchmarkMemory(b *testing.B) {
	const turns, text = 20000, 2200
	for b.Loop() {
		var before, after runtime.MemStats
		m := newMemory()
		runtime.GC()
		runtime.ReadMemStats(&before)
		now := time.Now()
		for i := range turns {
			m.add(structs.StoredTurn{
				ID: fmt.Sprintf("%016x", i), Previous: fmt.Sprintf("%016x", i-1),
				Input: make([]byte, text/2), Output: make([]byte, text/2), Ended: now.UnixMilli(), Retention: time.Minute,
			}, 1, now)
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/turns-text, "B/turn-beyond-text")
		runtime.KeepAlive(m)
	}
}

func TestExpiryIgnoresFutureEndTimes(t *testing.T) {
	now := time.Unix(1000, 0)
	ahead := structs.StoredTurn{Ended: now.Add(time.Hour).UnixMilli(), Retention: time.Minute}
	if got := expiry(ahead, now); !got.Equal(now.Add(time.Minute)) {
		t.Errorf("got %s", got)
	}
}
