package instance

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/banyanglade/banyanglade/internal/structs"
)

// programCounts are the numbers of programs held by an instance. 26,000 are the
// programs of a whole deployment, and 26,000/70 those of one of its 70 owners.
var programCounts = []int{100, 26_000 / 70, 1000, 10_000, 26_000}

// BenchmarkCall measures a streamed chat call of 20 tokens through all roles of
// one instance, from the request to the end of the response.
func BenchmarkCall(b *testing.B) {
	for _, programs := range programCounts {
		b.Run(fmt.Sprintf("programs=%d", programs), func(b *testing.B) {
			h := newBenchHarness(b)
			ids := h.openPrograms(programs)
			ticks := h.ticks
			b.ReportAllocs()
			b.ResetTimer()
			for n := range b.N {
				h.call(ids[n%len(ids)], 2+n/len(ids))
			}
			b.StopTimer()
			b.ReportMetric(float64(h.ticks-ticks)/float64(b.N), "ticks/op")
		})
	}
}

// BenchmarkIdleTick measures a tick without events.
func BenchmarkIdleTick(b *testing.B) {
	for _, programs := range programCounts {
		b.Run(fmt.Sprintf("programs=%d", programs), func(b *testing.B) {
			h := newBenchHarness(b)
			h.openPrograms(programs)
			b.ReportAllocs()
			b.ResetTimer()
			for range b.N {
				h.core.Tick(h.now, nil)
				h.core.NextWake()
			}
		})
	}
}

// BenchmarkToken measures the delivery of one streamed token from the engine to
// the caller while other calls are running.
func BenchmarkToken(b *testing.B) {
	for _, running := range []int{1, 10, 100, 1000} {
		b.Run(fmt.Sprintf("running=%d", running), func(b *testing.B) {
			h := newBenchHarness(b)
			h.holdRuns = true
			ids := h.openPrograms(running)
			for _, id := range ids {
				h.submit(id, 2)
			}
			h.settleUntil(func() bool { return len(h.running) == running })
			run := h.running[0].Run
			b.ReportAllocs()
			b.ResetTimer()
			for n := range b.N {
				chunk := structs.Chunk{First: n, Texts: []string{" word"}}
				h.post(structs.RunChunk{Run: run, Chunk: chunk})
				h.settle()
			}
		})
	}
}

// BenchmarkProgramMemory measures the memory of idle programs that made one
// call.
func BenchmarkProgramMemory(b *testing.B) {
	for _, programs := range programCounts {
		b.Run(fmt.Sprintf("programs=%d", programs), func(b *testing.B) {
			for range b.N {
				h := newBenchHarness(b)
				before := heapBytes()
				h.openPrograms(programs)
				h.clearLog()
				b.ReportMetric(float64(heapBytes()-before)/float64(programs), "B/program")
				runtime.KeepAlive(h)
			}
		})
	}
}

// BenchmarkTurnMemory measures the memory of each further call of a program
// within the idempotency window.
func BenchmarkTurnMemory(b *testing.B) {
	const programs, turns = 100, 50
	for range b.N {
		h := newBenchHarness(b)
		ids := h.openPrograms(programs)
		h.clearLog()
		before := heapBytes()
		for turn := range turns {
			for _, id := range ids {
				h.call(id, 2+turn)
			}
		}
		h.advance(time.Second)
		h.clearLog()
		b.ReportMetric(float64(heapBytes()-before)/(programs*turns), "B/call-held")
		runtime.KeepAlive(h)
	}
}

func heapBytes() uint64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
