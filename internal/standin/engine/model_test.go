package engine

import (
	"reflect"
	"testing"
	"time"
)

// testModel returns a model with costs that are easy to add up: 10 ms per step,
// 1 ms per sequence, 1 µs per prompt token and 100 prompt tokens per step.
func testModel(slots int, cacheCapacity int64) *Model {
	return NewModel(ModelSettings{
		Slots:               slots,
		StepBase:            10 * time.Millisecond,
		StepPerSequence:     time.Millisecond,
		StepPerPrefillToken: time.Microsecond,
		PrefillChunk:        100,
		CacheCapacity:       cacheCapacity,
	})
}

func submit(t *testing.T, model *Model, requests ...Request) {
	t.Helper()
	for _, request := range requests {
		if err := model.Submit(request); err != nil {
			t.Fatal(err)
		}
	}
}

// drive steps a model until it is idle and returns the finished requests, the
// total duration of the steps, and all tokens.
func drive(model *Model) (finished []Finished, total time.Duration, tokens []TokenEvent) {
	for !model.Idle() {
		total += model.StepDuration()
		result := model.Step()
		finished = append(finished, result.Finished...)
		tokens = append(tokens, result.Tokens...)
	}
	return finished, total, tokens
}

func TestModelBatchesInArrivalOrder(t *testing.T) {
	model := testModel(2, 1000)
	submit(t, model,
		Request{ID: "a", PromptTokens: 10, OutputTokens: 1},
		Request{ID: "b", PromptTokens: 10, OutputTokens: 3},
		Request{ID: "c", PromptTokens: 10, OutputTokens: 3, MaxTokens: 2})
	if got, want := model.StepDuration(), 12*time.Millisecond+20*time.Microsecond; got != want {
		t.Errorf("first step takes %v, want %v", got, want)
	}
	if model.Running() != 2 || model.Waiting() != 1 {
		t.Errorf("running %d waiting %d, want 2 and 1", model.Running(), model.Waiting())
	}
	_, _, tokens := drive(model)
	want := []TokenEvent{{"a", 0}, {"b", 0}, {"b", 1}, {"c", 0}, {"b", 2}, {"c", 1}}
	if !reflect.DeepEqual(tokens, want) {
		t.Errorf("tokens %v, want %v", tokens, want)
	}
}

func TestModelPlannedStepExcludesLaterRequests(t *testing.T) {
	model := testModel(2, 1000)
	submit(t, model, Request{ID: "a", PromptTokens: 1, OutputTokens: 5})
	planned := model.StepDuration()
	submit(t, model, Request{ID: "b", PromptTokens: 1, OutputTokens: 5})
	if model.StepDuration() != planned {
		t.Error("a later request changed the planned step")
	}
	if got := len(model.Step().Tokens); got != 1 {
		t.Errorf("planned step generated %d tokens, want 1", got)
	}
	if got := len(model.Step().Tokens); got != 2 {
		t.Errorf("next step generated %d tokens, want 2", got)
	}
}

func TestModelRefusesDuplicateID(t *testing.T) {
	model := testModel(1, 0)
	submit(t, model, Request{ID: "a"})
	if model.Submit(Request{ID: "a"}) == nil {
		t.Error("a duplicate id was accepted")
	}
}

func TestModelCacheHitShortensPrefill(t *testing.T) {
	model := testModel(1, 10_000)
	first := Request{ID: "a", Program: "p", SharedKey: "s", SharedTokens: 200, PromptTokens: 450, OutputTokens: 50}
	submit(t, model, first)
	finished, _, _ := drive(model)
	if finished[0].CachedTokens != 0 || model.CachedTokens("s") != 200 || model.CachedTokens("p") != 300 {
		t.Errorf("first run: %+v, cache %+v", finished, model.CacheState())
	}

	next := first
	next.PromptTokens = 550
	submit(t, model, next)
	finished, warm, _ := drive(model)
	if finished[0].CachedTokens != 500 {
		t.Errorf("cached tokens %d, want 500", finished[0].CachedTokens)
	}
	other := Request{ID: "a", Program: "q", SharedKey: "s", SharedTokens: 200, PromptTokens: 550, OutputTokens: 50}
	submit(t, model, other)
	finished, partly, _ := drive(model)
	if finished[0].CachedTokens != 200 {
		t.Errorf("cached tokens of another program %d, want 200", finished[0].CachedTokens)
	}
	if warm >= partly {
		t.Errorf("took %v with the own entry cached, %v with only the shared prefix", warm, partly)
	}
}

func TestModelEvictsLeastRecentlyUsedFromItsEnd(t *testing.T) {
	model := testModel(1, 300)
	for _, program := range []string{"a", "b", "c"} {
		model.Import(program, 100)
	}
	model.Export("a")
	model.DrainCacheEvents()
	submit(t, model, Request{ID: "x", Program: "d", PromptTokens: 120, OutputTokens: 30})
	drive(model)
	want := map[string]int64{"a": 100, "c": 50, "d": 150}
	state := model.CacheState()
	if !reflect.DeepEqual(state.Programs, want) || state.Used != 300 {
		t.Errorf("cache %+v, want %v", state, want)
	}
	events := model.DrainCacheEvents()
	if len(events) != 3 || events[0].Program != "b" || events[0].Tokens != 0 || events[1].Tokens != 50 {
		t.Errorf("events %+v", events)
	}
}

func TestModelCancelFreesSlotAndKeepsCache(t *testing.T) {
	model := testModel(1, 1000)
	submit(t, model,
		Request{ID: "a", Program: "p", PromptTokens: 500, OutputTokens: 50},
		Request{ID: "b", Program: "q", PromptTokens: 1, OutputTokens: 1},
		Request{ID: "c", Program: "r", PromptTokens: 1, OutputTokens: 1})
	model.Step()
	if finished, ok := model.Cancel("a"); !ok || finished.Reason != FinishCancelled {
		t.Errorf("cancel of a running request: %+v %v", finished, ok)
	}
	if _, ok := model.Cancel("b"); !ok {
		t.Error("Cancel did not find a waiting request")
	}
	if _, ok := model.Cancel("a"); ok {
		t.Error("a second Cancel found the request")
	}
	if got := model.CachedTokens("p"); got != 100 {
		t.Errorf("cached %d tokens of the cancelled request, want 100", got)
	}
	finished, _, _ := drive(model)
	if len(finished) != 1 || finished[0].ID != "c" {
		t.Errorf("finished %+v, want c only", finished)
	}
}

func TestModelHoldsRunningProgramUntilItEnds(t *testing.T) {
	model := testModel(1, 100)
	model.Import("p", 40)
	submit(t, model, Request{ID: "a", Program: "p", PromptTokens: 50, OutputTokens: 2})
	model.Step()
	if model.Release("p") == 0 {
		t.Error("Release removed the entry of a running sequence")
	}
	if model.Import("q", 100) != 60 || model.CachedTokens("p") != 40 {
		t.Errorf("a pinned entry was evicted: %+v", model.CacheState())
	}
	drive(model)
	if model.Release("p") != 0 || model.CachedTokens("p") != 0 {
		t.Errorf("entry was not released: %+v", model.CacheState())
	}
}

func TestModelSharesPrefixWhileItsFirstUserRuns(t *testing.T) {
	model := testModel(2, 10_000)
	first := Request{ID: "a", Program: "p", SharedKey: "s", SharedTokens: 60, PromptTokens: 80, OutputTokens: 9}
	submit(t, model, first)
	model.Step()
	second := first
	second.ID, second.Program = "b", "q"
	submit(t, model, second)
	finished, _, _ := drive(model)
	if len(finished) != 2 || finished[1].ID != "b" || finished[1].CachedTokens != 60 {
		t.Errorf("finished %+v, want b with 60 cached tokens", finished)
	}
}

func TestModelNeedsWholeSharedPrefixForOwnEntry(t *testing.T) {
	model := testModel(1, 10_000)
	model.Import("s", 10)
	model.Import("p", 50)
	submit(t, model, Request{ID: "a", Program: "p", SharedKey: "s", SharedTokens: 60, PromptTokens: 200, OutputTokens: 1})
	finished, _, _ := drive(model)
	if finished[0].CachedTokens != 10 {
		t.Errorf("cached tokens %d, want 10", finished[0].CachedTokens)
	}
}
