// Package rendezvous orders names for keys by rendezvous hashing: all who know
// the same names agree on their order without asking each other, and a name that
// comes or goes moves only what it is first for.
package rendezvous

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Score is what a name has for a key; the highest comes first.
func Score(key, name string) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	_, _ = digest.WriteString(key)
	_, _ = digest.WriteString("/")
	_, _ = digest.WriteString(name)
	return digest.Sum64()
}

// Candidate is an instance or target with the score of its name.
type Candidate[ID ~string] struct {
	ID    ID
	Score uint64
}

// Before tells whether a candidate comes before another one; ids decide between
// equal scores.
func (c Candidate[ID]) Before(other Candidate[ID]) bool { return compare(c, other) < 0 }

func compare[ID ~string](a, b Candidate[ID]) int {
	return cmp.Or(cmp.Compare(b.Score, a.Score), cmp.Compare(a.ID, b.ID))
}

// Order lists the ids of candidates, the first one first. It sorts them in place.
func Order[ID ~string](candidates []Candidate[ID]) []ID {
	slices.SortFunc(candidates, compare[ID])
	ids := make([]ID, len(candidates))
	for i, c := range candidates {
		ids[i] = c.ID
	}
	return ids
}
