// Package rendezvous implements rendezvous hashing: all instances that know the
// same names order them alike for a key without coordination, and adding or
// removing a name only affects the keys for which it is first.
package rendezvous

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Score returns the score of a name for a key; the highest score comes first.
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

// Before reports whether a candidate precedes another one. Equal scores are
// ordered by ID.
func (c Candidate[ID]) Before(other Candidate[ID]) bool { return compare(c, other) < 0 }

func compare[ID ~string](a, b Candidate[ID]) int {
	return cmp.Or(cmp.Compare(b.Score, a.Score), cmp.Compare(a.ID, b.ID))
}

// Order sorts the candidates in place and returns their IDs.
func Order[ID ~string](candidates []Candidate[ID]) []ID {
	slices.SortFunc(candidates, compare[ID])
	ids := make([]ID, len(candidates))
	for i, c := range candidates {
		ids[i] = c.ID
	}
	return ids
}
