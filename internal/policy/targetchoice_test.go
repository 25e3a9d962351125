package policy

import "testing"

// optionsOf returns connected targets with the given utilization and slowness.
func optionsOf(pairs ...[2]float64) []TargetOption {
	var options []TargetOption
	for _, pair := range pairs {
		options = append(options, TargetOption{Utilization: pair[0], Slowness: pair[1]})
	}
	return options
}

func TestChooseTarget(t *testing.T) {
	turn := RequestProfile{PromptCost: 0.2, Batched: true}
	plain := RequestProfile{}
	stay := func(options []TargetOption) []TargetOption { options[0].HasPrompt = true; return options }
	unconnected := func(options []TargetOption, i int) []TargetOption { options[i].NeedsConnection = true; return options }
	tests := []struct {
		name    string
		options []TargetOption
		request RequestProfile
		index   int
	}{
		{"least busy of equal targets", optionsOf([2]float64{0.6, 1}, [2]float64{0.2, 1}), plain, 1},
		{"idle target that is slow", optionsOf([2]float64{0, 2.5}, [2]float64{0.7, 1}, [2]float64{0.9, 1}), plain, 1},
		{"slow target when the others are full", optionsOf([2]float64{0, 2.5}, [2]float64{3, 1}), plain, 0},
		{"program begins at a fast engine with capacity", optionsOf([2]float64{0.1, 1.3}, [2]float64{0.5, 0.5}), turn, 1},
		{"fast engine without capacity is avoided", optionsOf([2]float64{0.1, 1.3}, [2]float64{2.5, 0.5}), turn, 0},
		{"program stays if moving gains little", stay(optionsOf([2]float64{0.4, 1}, [2]float64{0.1, 0.9})), turn, 0},
		{"program leaves an engine that became slow", stay(optionsOf([2]float64{0.4, 4}, [2]float64{0.3, 1})), turn, 1},
		{"short prompt is recomputed rather than a connection opened", unconnected(stay(optionsOf([2]float64{0.2, 1}, [2]float64{0.2, 1})), 0), RequestProfile{PromptCost: 0.1, Batched: true}, 1},
		{"long prompt is worth opening a connection", unconnected(stay(optionsOf([2]float64{0.2, 1}, [2]float64{0.2, 1})), 0), RequestProfile{PromptCost: 0.5, Batched: true}, 0},
		{"long prompt keeps a program at a slower engine", stay(optionsOf([2]float64{0.4, 1.6}, [2]float64{0.3, 1})), RequestProfile{PromptCost: 2, Batched: true}, 0},
		{"programs do not move under overload", stay(optionsOf([2]float64{1.5, 1.2}, [2]float64{0.9, 0.8})), turn, 0},
		{"program leaves a slow engine under overload", stay(optionsOf([2]float64{1.5, 4}, [2]float64{0.9, 0.8})), turn, 1},
		{"program leaves a full engine for one with capacity", stay(optionsOf([2]float64{1.7, 1}, [2]float64{0.4, 1})), turn, 1},
		{"program stays at a full engine if no other has capacity", stay(optionsOf([2]float64{1.7, 1}, [2]float64{0.9, 1})), turn, 0},
		{"program leaves an overcrowded engine", stay(optionsOf([2]float64{3.2, 1}, [2]float64{1.9, 1})), turn, 1},
		{"no targets", nil, turn, -1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			if choice := ChooseTarget(test.options, test.request); choice.Index != test.index {
				t.Errorf("got %+v, want %d", choice, test.index)
			}
		})
	}
}

// A warm target is preferred, but no connection is opened for it.
func TestChooseTargetPrefersWarm(t *testing.T) {
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

// Among equivalent targets an open connection decides, then the rank, and
// excluded targets are not considered.
func TestChooseTargetPrefersOpenConnection(t *testing.T) {
	options := optionsOf([2]float64{0.3, 1}, [2]float64{0.3, 1}, [2]float64{0.25, 1}, [2]float64{0, 1})
	options[0].NeedsConnection, options[3].Excluded = true, true
	options[1].Rank, options[2].Rank = 2, 1
	if choice := ChooseTarget(options, RequestProfile{}); choice.Index != 1 {
		t.Errorf("got %+v", choice)
	}
	options[1].Remote = true
	if choice := ChooseTarget(options, RequestProfile{}); choice.Index != 2 {
		t.Errorf("got %+v rather than a target in this data centre", choice)
	}
	options[1].Excluded, options[2].Excluded = true, true
	if choice := ChooseTarget(options, RequestProfile{}); choice.Index != 0 || choice.RunnerUp != -1 {
		t.Errorf("got %+v", choice)
	}
}
