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

func withProgram(id structs.ProgramID) func(*structs.PermitRequest) {
	return func(m *structs.PermitRequest) { m.Ref.Program = id }
}

// runAt runs a call of a program to completion and returns its target.
func (f *fixture) runAt(run string, program structs.ProgramID, prompt int64) structs.TargetID {
	f.t.Helper()
	m := request(run, withProgram(program), withPrompt(prompt))
	target, ok := grants(f.send(m))[m.Ref.Run]
	if !ok {
		f.t.Fatalf("run %s was not granted", run)
	}
	f.now = f.now.Add(200 * time.Millisecond)
	f.send(finish(m, target))
	return target
}

func (f *fixture) indexedTokens(target structs.TargetID, program string) int64 {
	return f.d.findPool(testPool).target(target).cache.tokens(program)
}

func cacheEvent(sequence uint64, kind, program string, tokens int64) wire.CacheEvent {
	return wire.CacheEvent{Sequence: sequence, Kind: kind, Program: program, Tokens: tokens}
}

func TestCacheEventsUpdateIndex(t *testing.T) {
	stored, evicted := wire.CacheStored, wire.CacheEvicted
	tests := []struct {
		name   string
		wait   time.Duration
		events []wire.CacheEvent
		want   int64
	}{
		{"no event", 0, nil, 1010},
		{"evicted long after the run", 2 * time.Second, []wire.CacheEvent{cacheEvent(1, evicted, "p", 0)}, 0},
		{"partly evicted", 2 * time.Second, []wire.CacheEvent{cacheEvent(1, evicted, "p", 500)}, 500},
		{"delayed eviction from before the run", 100 * time.Millisecond, []wire.CacheEvent{cacheEvent(1, evicted, "p", 0)}, 1010},
		{"delayed store from before the run", 100 * time.Millisecond, []wire.CacheEvent{cacheEvent(1, stored, "p", 10)}, 1010},
		{"duplicate eviction after a store", 2 * time.Second, []wire.CacheEvent{
			cacheEvent(1, evicted, "p", 0), cacheEvent(2, stored, "p", 700), cacheEvent(1, evicted, "p", 0),
		}, 700},
		{"other program", 2 * time.Second, []wire.CacheEvent{cacheEvent(1, evicted, "q", 0)}, 1010},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			f := newFixture(t, 1, 1)
			target := f.runAt("1", "p", 1000)
			f.tickAfter(test.wait, structs.TargetCache{Target: target, Events: test.events})
			if got := f.indexedTokens(target, "p"); got != test.want {
				t.Fatalf("%d tokens in the index, want %d", got, test.want)
			}
		})
	}
}

// A stored event that arrives after the release must not restore the entry: the
// entry would never be released again.
func TestLateStoreAfterReleaseIsIgnored(t *testing.T) {
	f := newFixture(t, 2, 1)
	first := f.runAt("1", "p", 1000)
	m := request("2", withProgram("p"), withPrompt(2000), func(m *structs.PermitRequest) {
		m.Avoid = []structs.TargetID{first}
	})
	second := grants(f.send(m))["2"]
	f.now = f.now.Add(200 * time.Millisecond)
	if released := releases(f.send(finish(m, second))); len(released) != 1 || released[0].Target.ID != first {
		t.Fatalf("releases = %v, want the copy at %s", released, first)
	}
	stored := cacheEvent(1, wire.CacheStored, "p", 1010)
	f.tickAfter(200*time.Millisecond, structs.TargetCache{Target: first, Events: []wire.CacheEvent{stored}})
	if got := f.indexedTokens(first, "p"); got != 0 {
		t.Fatalf("%d tokens of a released program in the index, want 0", got)
	}
}

// A program known only from cache events is released like any other.
func TestCacheSeenOnlyInEventsIsReleasedAtProgramEnd(t *testing.T) {
	f := newFixture(t, 1, 1)
	f.runAt("1", "p", 1000)
	stored := cacheEvent(1, wire.CacheStored, "q", 5000)
	f.tickAfter(time.Second, structs.TargetCache{Target: "t0", Events: []wire.CacheEvent{stored}})
	released := releases(f.send(&structs.ProgramEnded{Pool: testPool, Program: "q"}))
	if len(released) != 1 || released[0].Program != "q" {
		t.Fatalf("releases = %v, want program q", released)
	}
}

func TestPlacementPrefersCachedPrefix(t *testing.T) {
	f := newFixture(t, 3, 4)
	first := f.runAt("1", "p", 8000)
	for run := 2; run < 5; run++ {
		f.now = f.now.Add(time.Second)
		if target := f.runAt(string(rune('0'+run)), "p", 8000); target != first {
			t.Fatalf("run %d was placed at %s, want %s, which has the prefix cached", run, target, first)
		}
	}
}

func TestReleaseIsRepeatedUntilConfirmed(t *testing.T) {
	f := newFixture(t, 1, 1)
	target := f.runAt("1", "p", 1000)
	sent := len(releases(f.send(&structs.ProgramEnded{Pool: testPool, Program: "p"})))
	for range 20 {
		sent += len(releases(f.tickAfter(100*time.Millisecond, structs.CacheReleased{Target: target, Program: "p"})))
	}
	if sent < 3 {
		t.Fatalf("release sent %d times without confirmation, want at least 3", sent)
	}
	f.tick(structs.CacheReleased{Target: target, Program: "p", Done: true})
	if resent := releases(f.tickAfter(time.Minute)); len(resent) != 0 {
		t.Fatalf("release sent again after the confirmation: %v", resent)
	}
}

func TestLowCacheReportsClearIndex(t *testing.T) {
	f := newFixture(t, 1, 1)
	target := f.runAt("1", "p", 1000)
	for range maxLowCacheReports {
		f.tickAfter(time.Second, structs.TargetLoad{Target: target, Load: wire.EngineLoad{Slots: 1}})
	}
	if got := f.indexedTokens(target, "p"); got != 0 {
		t.Fatalf("%d tokens in the index of a target that reports an empty cache, want 0", got)
	}
}

// A released entry stays in the index for a while and must not be released
// again.
func TestReleasesManyEntriesOnce(t *testing.T) {
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
		t.Fatalf("got %d releases, want %d", len(released), len(runs))
	}
}
