// Package org holds the organisations that the operator lists: whose keys let a
// request in, how urgent its requests are and how many it may make. It does no
// I/O.
package org

import (
	"crypto/sha256"
	"encoding/hex"
	"math"

	"github.com/cockroachdb/errors"
)

// Digest stands for a key wherever one is looked up, so that keys themselves
// stay out of memory dumps, messages and logs. The zero Digest is no key's.
type Digest [sha256.Size]byte

// DigestOf is the digest of a key.
func DigestOf(key string) Digest { return sha256.Sum256([]byte(key)) }

// maxKeyBytes is the length of the longest key that is taken for one; the
// platform's are 20 bytes long.
const maxKeyBytes = 256

// WellFormed tells whether a text can be a key: visible ASCII without blanks.
func WellFormed(key string) bool {
	if len(key) == 0 || len(key) > maxKeyBytes {
		return false
	}
	for i := range len(key) {
		if key[i] <= ' ' || key[i] > '~' {
			return false
		}
	}
	return true
}

// Limit is what an organisation may ask of all instances together.
type Limit struct {
	// PerSecond is the number of requests a second, 0 for no limit.
	PerSecond float64
	// Burst is the number of requests on top of it.
	Burst float64
}

// Limited tells whether there is a limit.
func (l Limit) Limited() bool { return l.PerSecond > 0 }

// Organisation is one customer of the operator.
type Organisation struct {
	Name string
	// Keys are the digests of the keys that its requests may carry.
	Keys []Digest
	// Priority goes before that of routes; nil if routes decide. 0 is the most
	// urgent.
	Priority *int
	Limit    Limit
}

// Set is the organisations of one version of the settings. It does not change.
type Set struct {
	byName map[string]*Organisation
	byKey  map[Digest]*Organisation
}

// maxNameBytes bounds a name: it is part of keys of the store, which has 255
// bytes for one.
const maxNameBytes = 128

// maxRate bounds a limit, in requests a second or requests: far above what any
// deployment serves, so a larger one is a mistake.
const maxRate = 1e9

// NewSet checks and indexes organisations. The error names the organisation and
// never a key.
func NewSet(all []*Organisation) (*Set, error) {
	s := &Set{byName: make(map[string]*Organisation), byKey: make(map[Digest]*Organisation)}
	for i, o := range all {
		if !WellFormed(o.Name) || len(o.Name) > maxNameBytes {
			return nil, errors.Newf("organisation %d: name: expected 1 to %d visible ASCII characters", i, maxNameBytes)
		}
		if s.byName[o.Name] != nil {
			return nil, errors.Newf("organisation %s is listed twice", o.Name)
		}
		if err := o.Limit.check(); err != nil {
			return nil, errors.Wrapf(err, "organisation %s", o.Name)
		}
		s.byName[o.Name] = o
		if err := s.addKeys(o); err != nil {
			return nil, err
		}
	}
	return s, nil
}

// addKeys indexes the keys of an organisation. Naming one twice in the same
// organisation does no harm; a key of two organisations belongs to neither.
func (s *Set) addKeys(o *Organisation) error {
	for _, key := range o.Keys {
		if other := s.byKey[key]; other != nil && other != o {
			return errors.Newf("organisations %s and %s hold the same key", other.Name, o.Name)
		}
		s.byKey[key] = o
	}
	return nil
}

func (l Limit) check() error {
	// The conditions are written so that they do not hold for NaN.
	if !(l.PerSecond >= 0 && l.PerSecond <= maxRate) {
		return errors.Newf("rate: expected 0 to %g requests a second", maxRate)
	}
	if !(l.Burst >= 0 && l.Burst <= maxRate) || math.IsInf(l.Burst, 0) {
		return errors.Newf("burst: expected 0 to %g requests", maxRate)
	}
	return nil
}

// ByKey finds the organisation that holds a key; a nil Set has none.
func (s *Set) ByKey(key Digest) (*Organisation, bool) {
	if s == nil {
		return nil, false
	}
	o, ok := s.byKey[key]
	return o, ok
}

// Len counts the organisations; a nil Set has none.
func (s *Set) Len() int {
	if s == nil {
		return 0
	}
	return len(s.byName)
}

// Limited tells whether any organisation has a limit; a nil Set has none.
func (s *Set) Limited() bool {
	if s == nil {
		return false
	}
	for _, o := range s.byName {
		if o.Limit.Limited() {
			return true
		}
	}
	return false
}

// separator stands between an organisation and a name that its callers chose.
// Headers cannot hold it, so no caller can name another organisation's.
const separator = "\x1f"

// maxScopedBytes bounds what Scope returns, so that it fits into a key of the
// store behind a prefix.
const maxScopedBytes = 224

// Scope makes a name that a caller chose its organisation's own: the same name
// of two organisations stands for two things. Without an organisation it stays
// as it is, which is also what records of before organisations hold. A long one
// is replaced by its digest.
func Scope(organisation, name string) string {
	if organisation == "" || name == "" {
		return name
	}
	scoped := organisation + separator + name
	if len(scoped) <= maxScopedBytes {
		return scoped
	}
	digest := sha256.Sum256([]byte(scoped))
	return organisation + separator + separator + hex.EncodeToString(digest[:])
}
