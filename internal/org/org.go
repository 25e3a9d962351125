// Package org holds the organisations configured by the operator: their keys,
// priorities and limits. It does no I/O.
package org

import (
	"crypto/sha256"
	"encoding/hex"
	"math"

	"github.com/cockroachdb/errors"
)

// Digest replaces a key in lookups, so that keys stay out of memory dumps, messages
// and logs. The zero Digest matches no key.
type Digest [sha256.Size]byte

// DigestOf returns the digest of a key.
func DigestOf(key string) Digest { return sha256.Sum256([]byte(key)) }

// maxKeyBytes is the maximum length of a key. The platform's keys have 20 bytes.
const maxKeyBytes = 256

// WellFormed reports whether a string can be a key: visible ASCII without spaces.
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

// Limit is the request limit of an organisation over all instances together.
type Limit struct {
	// PerSecond is the number of requests per second, 0 for no limit.
	PerSecond float64
	// Burst is the number of requests on top of the rate.
	Burst float64
}

// Limited reports whether there is a limit.
func (l Limit) Limited() bool { return l.PerSecond > 0 }

// Organisation is one customer of the operator.
type Organisation struct {
	Name string
	// Keys are the digests of the keys that its requests may carry.
	Keys []Digest
	// Priority overrides the priority of routes, if not nil. 0 is the highest.
	Priority *int
	Limit    Limit
}

// Set holds the organisations of one version of the settings. It is immutable.
type Set struct {
	byName map[string]*Organisation
	byKey  map[Digest]*Organisation
}

// maxNameBytes bounds a name, which is part of keys of the store.
const maxNameBytes = 128

// maxRate bounds a limit, in requests per second or requests. Higher values are
// configuration errors.
const maxRate = 1e9

// NewSet validates and indexes organisations. The error names the organisation and
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

// addKeys indexes the keys of an organisation. An organisation may list a key twice; a
// key shared by two organisations is an error.
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
	// The conditions also reject NaN.
	if !(l.PerSecond >= 0 && l.PerSecond <= maxRate) {
		return errors.Newf("rate: expected 0 to %g requests a second", maxRate)
	}
	if !(l.Burst >= 0 && l.Burst <= maxRate) || math.IsInf(l.Burst, 0) {
		return errors.Newf("burst: expected 0 to %g requests", maxRate)
	}
	return nil
}

// ByKey returns the organisation with a key; a nil Set has none.
func (s *Set) ByKey(key Digest) (*Organisation, bool) {
	if s == nil {
		return nil, false
	}
	o, ok := s.byKey[key]
	return o, ok
}

// Len returns the number of organisations; a nil Set has none.
func (s *Set) Len() int {
	if s == nil {
		return 0
	}
	return len(s.byName)
}

// Limited reports whether any organisation has a limit; a nil Set has none.
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

// separator separates an organisation from a name that its caller chose. Headers
// cannot contain it, so no caller can name an item of another organisation.
const separator = "\x1f"

// maxScopedBytes bounds the result of Scope, so that it fits into a key of the store
// after a prefix.
const maxScopedBytes = 224

// Scope qualifies a name that a caller chose with its organisation, so that the same
// name of two organisations refers to different items. Without an organisation the
// name is unchanged, as in records of older versions. A long result is replaced by a
// digest, so that what callers choose does not bound the memory of tables.
func Scope(organisation, name string) string {
	if name == "" {
		return ""
	}
	scoped := name
	if organisation != "" {
		scoped = organisation + separator + name
	}
	if len(scoped) <= maxScopedBytes {
		return scoped
	}
	digest := sha256.Sum256([]byte(scoped))
	return organisation + separator + separator + hex.EncodeToString(digest[:])
}
