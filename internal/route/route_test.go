package route

import (
	"fmt"
	"testing"
	"time"
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

func TestRetryable(t *testing.T) {
	cases := map[*Route]bool{
		{Kind: Repeatable}: true, {Kind: Once}: false, {Kind: Stream}: false, {Kind: Stream, Resumable: true}: true,
	}
	for r, want := range cases {
		if r.Retryable() != want {
			t.Errorf("%+v: got %v", *r, r.Retryable())
		}
	}
}

func TestSameStreams(t *testing.T) {
	tableOf := func(routes ...Route) *Table {
		s := Settings{}
		for _, r := range routes {
			s.Routes = append(s.Routes, &r)
		}
		return NewTable(s)
	}
	stream := Route{Host: "a", Prefix: "/a/", Kind: Stream, Timeout: time.Second, Splits: []Split{{"x", 9}, {"y", 1}}}
	change := func(f func(r *Route)) Route {
		r := stream
		f(&r)
		return r
	}
	plain := Route{Host: "a", Prefix: "/b/", Kind: Repeatable, Timeout: time.Hour}
	for _, c := range []struct {
		name   string
		routes []Route
		same   bool
	}{
		{"equal", []Route{stream}, true},
		{"another plain route", []Route{plain, stream}, true},
		{"another goal", []Route{change(func(r *Route) { r.LatencyGoal = time.Minute })}, true},
		{"another timeout", []Route{change(func(r *Route) { r.Timeout++ })}, false},
		{"another service", []Route{change(func(r *Route) { r.Splits = []Split{{"z", 1}} })}, false},
		{"other weights", []Route{change(func(r *Route) { r.Splits = []Split{{"x", 8}, {"y", 2}} })}, false},
		{"another prefix", []Route{change(func(r *Route) { r.Prefix = "/" })}, false},
		{"one more", []Route{stream, change(func(r *Route) { r.Prefix = "/a/b/" })}, false},
		{"none", nil, false},
	} {
		if got := tableOf(stream).SameStreams(tableOf(c.routes...)); got != c.same {
			t.Errorf("%s: got %t", c.name, got)
		}
	}
	if got := tableOf(stream, plain).LongestStream(); got != stream.Timeout {
		t.Errorf("longest stream %s, want %s", got, stream.Timeout)
	}
}
