package policy

import "testing"

// optionsOf gives targets with connections, of a fill and slowness each.
func optionsOf(pairs ...[2]float64) []TargetOption {
	var options []TargetOption
	for _, pair := range pairs {
		options = append(options, TargetOption{Utilization: pair[0], Slowness: pair[1]})
	}
	return options
}

func TestByEnd(t *testing.T) {
	turn := RequestProfile{PromptCost: 0.2, Batched: true}
	plain := RequestProfile{}
	stay := func(options []TargetOption) []TargetOption { options[0].HasPrompt = true; return options }
	opens := func(options []TargetOption, i int) []TargetOption { options[i].NeedsConnection = true; return options }
	tests := []struct {
		name    string
		options []TargetOption
		request RequestProfile
		index   int
	}{
		{"the least busy of equals", optionsOf([2]float64{0.6, 1}, [2]float64{0.2, 1}), plain, 1},
		{"one of five slow for half a second", optionsOf([2]float64{0, 2.5}, [2]float64{0.7, 1}, [2]float64{0.9, 1}), plain, 1},
		{"a slow one when the others are full", optionsOf([2]float64{0, 2.5}, [2]float64{3, 1}), plain, 0},
		{"a program begins at a fast engine with room", optionsOf([2]float64{0.1, 1.3}, [2]float64{0.5, 0.5}), turn, 1},
		{"a full fast engine is left to others", optionsOf([2]float64{0.1, 1.3}, [2]float64{2.5, 0.5}), turn, 0},
		{"a program stays while moving gains little", stay(optionsOf([2]float64{0.4, 1}, [2]float64{0.1, 0.9})), turn, 0},
		{"a program leaves an engine that turned slow", stay(optionsOf([2]float64{0.4, 4}, [2]float64{0.3, 1})), turn, 1},
		{"a short prompt is read again rather than a connection opened", opens(stay(optionsOf([2]float64{0.2, 1}, [2]float64{0.2, 1})), 0), RequestProfile{PromptCost: 0.1, Batched: true}, 1},
		{"a long one is not", opens(stay(optionsOf([2]float64{0.2, 1}, [2]float64{0.2, 1})), 0), RequestProfile{PromptCost: 0.5, Batched: true}, 0},
		{"a long prompt keeps it", stay(optionsOf([2]float64{0.4, 1.6}, [2]float64{0.3, 1})), RequestProfile{PromptCost: 2, Batched: true}, 0},
		{"in an overload programs do not move", stay(optionsOf([2]float64{1.5, 1.2}, [2]float64{0.9, 0.8})), turn, 0},
		{"a slow engine is left in an overload too", stay(optionsOf([2]float64{1.5, 4}, [2]float64{0.9, 0.8})), turn, 1},
		{"a full engine is left for one with room", stay(optionsOf([2]float64{1.7, 1}, [2]float64{0.4, 1})), turn, 1},
		{"a full engine is not left for one without", stay(optionsOf([2]float64{1.7, 1}, [2]float64{0.9, 1})), turn, 0},
		{"a crowded engine is left", stay(optionsOf([2]float64{3.2, 1}, [2]float64{1.9, 1})), turn, 1},
		{"none", nil, turn, -1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			if choice := ChooseTarget(test.options, test.request); choice.Index != test.index {
				t.Errorf("got %+v, want %d", choice, test.index)
			}
		})
	}
}

// The target that is chosen for an object by all instances is preferred while its
// load is usual, but no connection is opened for that alone.
func TestByEndPrefersAWarmTarget(t *testing.T) {
	options := optionsOf([2]float64{0.3, 1}, [2]float64{0.3, 1}, [2]float64{0.3, 1})
	options[1].Warm = true
	if choice := ChooseTarget(options, RequestProfile{}); choice.Index != 1 {
		t.Errorf("got %+v", choice)
	}
	options[1].NeedsConnection = true
	if choice := ChooseTarget(options, RequestProfile{}); choice.Index == 1 {
		t.Errorf("got %+v", choice)
	}
}

// Among targets that end a request about alike a kept connection decides, then
// the rank; a target that must not be chosen is none of them.
func TestByEndPrefersAKeptConnection(t *testing.T) {
	options := optionsOf([2]float64{0.3, 1}, [2]float64{0.3, 1}, [2]float64{0.25, 1}, [2]float64{0, 1})
	options[0].NeedsConnection, options[3].Excluded = true, true
	options[1].Rank, options[2].Rank = 2, 1
	if choice := ChooseTarget(options, RequestProfile{}); choice.Index != 1 {
		t.Errorf("got %+v", choice)
	}
	options[1].Remote = true
	if choice := ChooseTarget(options, RequestProfile{}); choice.Index != 2 {
		t.Errorf("got %+v in place of one nearby", choice)
	}
	options[1].Excluded, options[2].Excluded = true, true
	if choice := ChooseTarget(options, RequestProfile{}); choice.Index != 0 || choice.RunnerUp != -1 {
		t.Errorf("got %+v", choice)
	}
}
