package route

import (
	"fmt"
	"testing"
)

func table(prefixes ...string) *Table {
	s := Settings{Version: 1}
	for _, prefix := range prefixes {
		s.Routes = append(s.Routes, &Route{Name: prefix, Host: "a.example", Prefix: prefix})
	}
	return NewTable(s)
}

func TestLongestPrefixMatches(t *testing.T) {
	tb := table("/", "/a/", "/a/b/", "/ab/")
	cases := map[string]string{
		"/a/b/c": "/a/b/", "/a/b": "/a/", "/a/": "/a/", "/a": "/", "/ab/x/y": "/ab/", "/x": "/", "/a/b/": "/a/b/",
	}
	for path, want := range cases {
		if r, ok := tb.Match("A.example:8080", path); !ok || r.Prefix != want {
			t.Errorf("%s: got %+v, want %s", path, r, want)
		}
	}
	if _, ok := tb.Match("other.example", "/a/"); ok {
		t.Error("a route of another host matched")
	}
	if _, ok := table("/a/").Match("a.example", "/b/"); ok {
		t.Error("a path without a route matched")
	}
}

func TestSplitsFollowTheirWeights(t *testing.T) {
	r := &Route{Splits: []Split{{"x", 90}, {"y", 10}, {"z", 0}}}
	counts := map[string]int{}
	for h := range uint64(1000) {
		counts[r.ServiceFor(h)]++
	}
	if fmt.Sprint(counts) != "map[x:900 y:100]" {
		t.Errorf("got %v", counts)
	}
}

func TestOnlyOnceAndFixedStreamsMayNotRepeat(t *testing.T) {
	cases := map[*Route]bool{
		{Kind: Repeatable}: true, {Kind: Once}: false, {Kind: Stream}: false, {Kind: Stream, Resumable: true}: true,
	}
	for r, want := range cases {
		if r.Retryable() != want {
			t.Errorf("%+v: %v", *r, r.Retryable())
		}
	}
}
