package org

import (
	"math"
	"strings"
	"testing"
)

func TestWellFormedKeys(t *testing.T) {
	cases := map[string]bool{
		"5mgjy5rcpihhacrudded": true, "k": true, strings.Repeat("k", 256): true,
		"": false, " ": false, "a b": false, "Bearer abc": false, "a\tb": false, "käse": false, "a\x7f": false,
		strings.Repeat("k", 257): false,
	}
	for key, want := range cases {
		if WellFormed(key) != want {
			t.Errorf("%q: got %v", key, !want)
		}
	}
}

func organisation(name string, keys ...string) *Organisation {
	o := &Organisation{Name: name}
	for _, key := range keys {
		o.Keys = append(o.Keys, DigestOf(key))
	}
	return o
}

func TestKeysFindTheirOrganisation(t *testing.T) {
	s, err := NewSet([]*Organisation{organisation("a", "k1", "k2", "k1"), organisation("b", "k3"), organisation("c")})
	if err != nil {
		t.Fatal(err)
	}
	for key, want := range map[string]string{"k1": "a", "k2": "a", "k3": "b"} {
		if o, ok := s.ByKey(DigestOf(key)); !ok || o.Name != want {
			t.Errorf("key %s: got %+v", key, o)
		}
	}
	if _, ok := s.ByKey(DigestOf("k4")); ok {
		t.Error("an unknown key matched an organisation")
	}
	if _, ok := s.ByKey(Digest{}); ok {
		t.Error("the zero Digest matched an organisation")
	}
}

func TestInvalidSetsAreRejected(t *testing.T) {
	limited := func(rate, burst float64) *Organisation {
		return &Organisation{Name: "a", Limit: Limit{rate, burst}}
	}
	cases := map[string][]*Organisation{
		"empty name":               {organisation("")},
		"name with a line feed":    {organisation("a\nb")},
		"long name":                {organisation(strings.Repeat("n", maxNameBytes+1))},
		"name listed twice":        {organisation("a"), organisation("a")},
		"key of two organisations": {organisation("a", "secret-key"), organisation("b", "secret-key")},
		"negative rate":            {limited(-1, 0)},
		"negative burst":           {limited(1, -0.5)},
		"rate over the maximum":    {limited(1e10, 0)},
		"NaN rate":                 {limited(math.NaN(), 0)},
		"infinite burst":           {limited(1, math.Inf(1))},
	}
	for name, all := range cases {
		_, err := NewSet(all)
		if err == nil {
			t.Errorf("%s: accepted", name)
			continue
		}
		if strings.Contains(err.Error(), "secret") {
			t.Errorf("%s: the error shows a key: %v", name, err)
		}
	}
	if _, err := NewSet([]*Organisation{limited(0.5, 0), organisation("b")}); err != nil {
		t.Errorf("a fractional rate: %v", err)
	}
}

func TestScopedNamesDoNotCollide(t *testing.T) {
	long := strings.Repeat("p", 300)
	names := []string{
		Scope("", "p"), Scope("a", "p"), Scope("b", "p"), Scope("a", "b"), Scope("ab", "p"), Scope("a", "bp"),
		Scope("a", long), Scope("b", long), Scope("a", long+"x"), Scope("", long), Scope("", long+"x"),
	}
	seen := make(map[string]bool)
	for _, name := range names {
		if seen[name] || len(name) > maxScopedBytes {
			t.Errorf("%q is ambiguous or too long", name)
		}
		seen[name] = true
	}
	if Scope("a", "") != "" {
		t.Error("an empty name did not stay empty")
	}
}
