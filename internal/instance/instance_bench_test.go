package instance

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/banyanglade/banyanglade/internal/structs"
)

// heldPrograms are the numbers of programs that an instance holds: the share of
// one of 70 owners of the letter's 26,000, round numbers, and all in one.
var heldPrograms = []int{100, 26_000 / 70, 1000, 10_000, 26_000}

// BenchmarkCall is one streamed chat call of 20 tokens through all roles of one
// instance, from the caller's request to the end of its answer.
func BenchmarkCall(b *testing.B) {
	for _, programs := range heldPrograms {
		b.Run(fmt.Sprintf("programs=%d", programs), func(b *testing.B) {
			w := newBenchWorld(b)
			ids := w.openPrograms(programs)
			ticks := w.ticks
			b.ReportAllocs()
			b.ResetTimer()
			for n := range b.N {
				w.call(ids[n%len(ids)], 2+n/len(ids))
			}
			b.StopTimer()
			b.ReportMetric(float64(w.ticks-ticks)/float64(b.N), "ticks/op")
		})
	}
}

// BenchmarkIdleTick is a tick without events.
func BenchmarkIdleTick(b *testing.B) {
	for _, programs := range heldPrograms {
		b.Run(fmt.Sprintf("programs=%d", programs), func(b *testing.B) {
			w := newBenchWorld(b)
			w.openPrograms(programs)
			b.ReportAllocs()
			b.ResetTimer()
			for range b.N {
				w.core.Tick(w.now, nil)
				w.core.NextWake()
			}
		})
	}
}

// BenchmarkToken is one token of a streamed answer from the engine to the
// caller, beside calls that run at the same time.
func BenchmarkToken(b *testing.B) {
	for _, running := range []int{1, 10, 100, 1000} {
		b.Run(fmt.Sprintf("running=%d", running), func(b *testing.B) {
			w := newBenchWorld(b)
			w.hold = true
			ids := w.openPrograms(running)
			for _, id := range ids {
				w.submit(id, 2)
			}
			w.settleUntil(func() bool { return len(w.running) == running })
			run := w.running[0].Run
			b.ReportAllocs()
			b.ResetTimer()
			for n := range b.N {
				chunk := structs.Chunk{First: n, Texts: []string{" word"}}
				w.post(structs.RunChunk{Run: run, Chunk: chunk})
				w.settle()
			}
		})
	}
}

// BenchmarkProgramMemory gives the memory that programs take which made one
// call and pause.
func BenchmarkProgramMemory(b *testing.B) {
	for _, programs := range heldPrograms {
		b.Run(fmt.Sprintf("programs=%d", programs), func(b *testing.B) {
			for range b.N {
				w := newBenchWorld(b)
				before := heapBytes()
				w.openPrograms(programs)
				w.forgetLog()
				b.ReportMetric(float64(heapBytes()-before)/float64(programs), "B/program")
				runtime.KeepAlive(w)
			}
		})
	}
}

// BenchmarkTurnMemory gives the memory of each further call that a program has
// made within the idempotency window.
func BenchmarkTurnMemory(b *testing.B) {
	const programs, turns = 100, 50
	for range b.N {
		w := newBenchWorld(b)
		ids := w.openPrograms(programs)
		w.forgetLog()
		before := heapBytes()
		for turn := range turns {
			for _, id := range ids {
				w.call(id, 2+turn)
			}
		}
		w.advance(time.Second)
		w.forgetLog()
		b.ReportMetric(float64(heapBytes()-before)/(programs*turns), "B/call-held")
		runtime.KeepAlive(w)
	}
}

func heapBytes() uint64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
