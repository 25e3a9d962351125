package rendezvous

import (
	"fmt"
	"slices"
	"testing"
)

func candidates(key string, names []string) []Candidate[string] {
	var all []Candidate[string]
	for _, name := range names {
		all = append(all, Candidate[string]{ID: name, Score: Score(key, name)})
	}
	return all
}

func TestOrderDependsOnTheNamesAlone(t *testing.T) {
	names := []string{"a", "b", "c", "d"}
	want := Order(candidates("key", names))
	slices.Reverse(names)
	if got := Order(candidates("key", names)); !slices.Equal(got, want) {
		t.Errorf("got %v, want %v", got, want)
	}
}

// Removing a name moves only the keys for which it was first.
func TestRemovedNameMovesOnlyItsKeys(t *testing.T) {
	names := []string{"a", "b", "c", "d", "e"}
	for i := range 200 {
		key := fmt.Sprint("key", i)
		all := Order(candidates(key, names))
		left := Order(candidates(key, names[1:]))
		if all[0] != names[0] && all[0] != left[0] {
			t.Errorf("%s moved from %s to %s", key, all[0], left[0])
		}
	}
}

func TestEqualScoresAreOrderedByName(t *testing.T) {
	got := Order([]Candidate[string]{{ID: "b", Score: 1}, {ID: "a", Score: 1}, {ID: "c", Score: 2}})
	if !slices.Equal(got, []string{"c", "a", "b"}) {
		t.Errorf("got %v", got)
	}
}
