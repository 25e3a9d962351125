package dispatch

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/banyanglade/banyanglade/internal/structs"
)

// newLoadedFixture returns a dispatcher with ten full targets and the given
// number of waiting calls.
func newLoadedFixture(b *testing.B, waiting int) (*fixture, []*structs.PermitRequest) {
	f := newFixture(b, 10, 16)
	f.settings.service.QueueLimit, f.settings.policy.MaxQueued = 1<<20, 1<<20
	f.settings.service.Timeout = 1000 * time.Hour // no permit is revoked
	running := make([]*structs.PermitRequest, 0, 160)
	for i := range 160 + waiting {
		m := request(fmt.Sprint("load", i), withPrompt(4000), func(m *structs.PermitRequest) {
			m.Remaining, m.Team = 1000*time.Hour, structs.Team(fmt.Sprint(i%4))
			m.SharedKey, m.SharedTokens = fmt.Sprint("s", i%4), 2000
			m.Served = time.Duration(i*7919%1000) * time.Millisecond
			m.Age = 2 * m.Served
		})
		granted := grants(f.send(m))
		if len(granted) > 0 {
			running = append(running, m)
		}
		f.now = f.now.Add(20 * time.Millisecond)
	}
	return f, running
}

// BenchmarkTick measures a tick in which one run ends, one call starts and one
// call is queued.
func BenchmarkTick(b *testing.B) {
	for _, waiting := range []int{100, 1_000, 10_000} {
		b.Run(fmt.Sprint(waiting), func(b *testing.B) {
			f, _ := newLoadedFixture(b, waiting)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				var target *target
				for _, t := range f.d.pools[0].targets {
					if len(t.running) > 0 && (target == nil || len(t.running) > len(target.running)) {
						target = t
					}
				}
				ended := target.running[0].request
				next := request(fmt.Sprint("next", i), withPrompt(4000), func(m *structs.PermitRequest) {
					m.Remaining, m.Team, m.SharedKey, m.SharedTokens = 1000*time.Hour, "1", "s1", 2000
				})
				f.now = f.now.Add(30 * time.Millisecond)
				f.send(finish(ended, target.info.ID), next)
			}
			b.ReportMetric(float64(f.d.Waiting()), "waiting")
		})
	}
}

// BenchmarkMemory measures the memory of a waiting call and its program.
func BenchmarkMemory(b *testing.B) {
	const waiting = 10_000
	for b.Loop() {
		before := heapInUse()
		f, _ := newLoadedFixture(b, waiting)
		b.ReportMetric(float64(heapInUse()-before)/waiting, "B/call")
		runtime.KeepAlive(f)
	}
}

func heapInUse() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
