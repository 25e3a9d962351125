package dispatch

import (
	"testing"
	"time"

	"github.com/banyanglade/banyanglade/internal/structs"
	"github.com/banyanglade/banyanglade/internal/wire"
)

func withPrompt(tokens int64) func(*structs.PermitRequest) {
	return func(m *structs.PermitRequest) { m.PromptTokens = tokens }
}

func ofProgram(id structs.ProgramID) func(*structs.PermitRequest) {
	return func(m *structs.PermitRequest) { m.Ref.Program = id }
}

// runAt runs a call of a program to its end and gives its target.
func (f *fixture) runAt(run string, program structs.ProgramID, prompt int64) structs.TargetID {
	f.t.Helper()
	m := request(run, ofProgram(program), withPrompt(prompt))
	target, ok := grants(f.send(m))[m.Ref.Run]
	if !ok {
		f.t.Fatalf("run %s was not granted", run)
	}
	f.now = f.now.Add(200 * time.Millisecond)
	f.send(finish(m, target))
	return target
}

func (f *fixture) held(target structs.TargetID, program string) int64 {
	return f.d.findPool(testPool).target(target).cache.tokens(program)
}

func cacheEvent(sequence uint64, kind, program string, tokens int64) wire.CacheEvent {
	return wire.CacheEvent{Sequence: sequence, Kind: kind, Program: program, Tokens: tokens}
}

func TestCacheEventsCorrectTheRecord(t *testing.T) {
	stored, evicted := wire.CacheStored, wire.CacheEvicted
	tests := []struct {
		name   string
		wait   time.Duration
		events []wire.CacheEvent
		want   int64
	}{
		{"no event", 0, nil, 1010},
		{"evicted long after the run", 2 * time.Second, []wire.CacheEvent{cacheEvent(1, evicted, "p", 0)}, 0},
		{"evicted in part", 2 * time.Second, []wire.CacheEvent{cacheEvent(1, evicted, "p", 500)}, 500},
		{"late event of before the run", 100 * time.Millisecond, []wire.CacheEvent{cacheEvent(1, evicted, "p", 0)}, 1010},
		{"late store of before the run", 100 * time.Millisecond, []wire.CacheEvent{cacheEvent(1, stored, "p", 10)}, 1010},
		{"repeated eviction behind a store", 2 * time.Second, []wire.CacheEvent{
			cacheEvent(1, evicted, "p", 0), cacheEvent(2, stored, "p", 700), cacheEvent(1, evicted, "p", 0),
		}, 700},
		{"other program", 2 * time.Second, []wire.CacheEvent{cacheEvent(1, evicted, "q", 0)}, 1010},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			f := newFixture(t, 1, 1)
			target := f.runAt("1", "p", 1000)
			f.after(test.wait, structs.TargetCache{Target: target, Events: test.events})
			if got := f.held(target, "p"); got != test.want {
				t.Fatalf("recorded %d tokens, want %d", got, test.want)
			}
		})
	}
}

// A stored event that arrives after the release must not bring the entry
// back: such entries were never released again and crowded out real ones.
func TestLateStoreAfterReleaseIsIgnored(t *testing.T) {
	f := newFixture(t, 2, 1)
	first := f.runAt("1", "p", 1000)
	m := request("2", ofProgram("p"), withPrompt(2000), func(m *structs.PermitRequest) {
		m.Avoid = []structs.TargetID{first}
	})
	second := grants(f.send(m))["2"]
	f.now = f.now.Add(200 * time.Millisecond)
	if released := releases(f.send(finish(m, second))); len(released) != 1 || released[0].Target.ID != first {
		t.Fatalf("releases %v, want the copy at %s", released, first)
	}
	stored := cacheEvent(1, wire.CacheStored, "p", 1010)
	f.after(200*time.Millisecond, structs.TargetCache{Target: first, Events: []wire.CacheEvent{stored}})
	if got := f.held(first, "p"); got != 0 {
		t.Fatalf("recorded %d tokens of a released program, want 0", got)
	}
}

// A program that only a cache event told of is let go like any other.
func TestCacheKnownByEventsIsReleasedWhenGone(t *testing.T) {
	f := newFixture(t, 1, 1)
	f.runAt("1", "p", 1000)
	stored := cacheEvent(1, wire.CacheStored, "q", 5000)
	f.after(time.Second, structs.TargetCache{Target: "t0", Events: []wire.CacheEvent{stored}})
	released := releases(f.send(&structs.ProgramEnded{Pool: testPool, Program: "q"}))
	if len(released) != 1 || released[0].Program != "q" {
		t.Fatalf("releases %v, want q", released)
	}
}

func TestPlacesWhereThePrefixIs(t *testing.T) {
	f := newFixture(t, 3, 4)
	first := f.runAt("1", "p", 8000)
	for run := 2; run < 5; run++ {
		f.now = f.now.Add(time.Second)
		if target := f.runAt(string(rune('0'+run)), "p", 8000); target != first {
			t.Fatalf("run %d went to %s, the prefix is at %s", run, target, first)
		}
	}
}

func TestReleaseIsRepeatedUntilConfirmed(t *testing.T) {
	f := newFixture(t, 1, 1)
	target := f.runAt("1", "p", 1000)
	sent := len(releases(f.send(&structs.ProgramEnded{Pool: testPool, Program: "p"})))
	for range 20 {
		sent += len(releases(f.after(100*time.Millisecond, structs.CacheReleased{Target: target, Program: "p"})))
	}
	if sent < 3 {
		t.Fatalf("sent %d times without a confirmation, want more", sent)
	}
	f.tick(structs.CacheReleased{Target: target, Program: "p", Done: true})
	if again := releases(f.after(time.Minute)); len(again) != 0 {
		t.Fatalf("sent again after the confirmation: %v", again)
	}
}

func TestLostCacheIsForgotten(t *testing.T) {
	f := newFixture(t, 1, 1)
	target := f.runAt("1", "p", 1000)
	for range lowCacheReports {
		f.after(time.Second, structs.TargetLoad{Target: target, Load: wire.EngineLoad{Slots: 1}})
	}
	if got := f.held(target, "p"); got != 0 {
		t.Fatalf("recorded %d tokens at a target that reports none", got)
	}
}

// Letting go of several entries at once must end: a released entry stays in
// the record for a while and must not be let go again.
func TestLetsGoOfManyEntriesOnce(t *testing.T) {
	f := newFixture(t, 1, 8)
	var runs []*structs.PermitRequest
	for _, run := range []string{"1", "2", "3", "4"} {
		runs = append(runs, request(run, withPrompt(1000)))
		f.send(runs[len(runs)-1])
		f.now = f.now.Add(100 * time.Millisecond)
	}
	f.settings.service.Rules.Retention = "none"
	var ends []structs.Message
	for _, m := range runs {
		ends = append(ends, finish(m, "t0"))
	}
	f.now = f.now.Add(time.Second)
	if released := releases(f.send(ends...)); len(released) != len(runs) {
		t.Fatalf("%d releases, want %d", len(released), len(runs))
	}
}
