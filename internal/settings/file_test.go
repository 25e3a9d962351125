package settings

import (
	"strings"
	"testing"
)

const goodFile = `
teams:
  call_timeout: 90s
  lakeshore:
    priority: 1
    weight: 2.5
    credentials:
      ada: {role: operator, sha256: aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa}
    filing:
      retries: 0
services:
  filing-desk:
    kind: plain
    not_repeatable: true
    rules:
      order: fcfs
`

func TestParseFileGivesCanonicalChanges(t *testing.T) {
	changes, errs := ParseFile([]byte(goodFile))
	if len(errs) > 0 {
		t.Fatal(errs)
	}
	got := make(map[string]string)
	for _, c := range changes {
		got[c.Path] = string(c.Value)
	}
	want := map[string]string{
		"teams/call_timeout": `"1m30s"`, "teams/lakeshore/priority": `1`, "teams/lakeshore/weight": `2.5`,
		"teams/lakeshore/filing/retries": `0`, "services/filing-desk/kind": `"plain"`,
		"services/filing-desk/not_repeatable": `true`, "services/filing-desk/rules/order": `"fcfs"`,
	}
	for path, value := range want {
		if got[path] != value {
			t.Errorf("%s = %s, want %s", path, got[path], value)
		}
	}
	if len(got) != len(want)+1 {
		t.Errorf("got %v", got)
	}
}

func TestParseFileErrorsNameLineAndExpected(t *testing.T) {
	cases := []struct {
		file string
		line int
		want string
	}{
		{"teams:\n  a:\n    priority: high\n", 3, `teams/a/priority: wrong value: "high"; expected a whole number`},
		{"teams:\n  a:\n    priority: 1\n    priority: 2\n", 4, "stands twice"},
		{"teams:\n  a:\n    prioritty: 1\n", 3, `did you mean "priority"?`},
		{"team:\n  a: 1\n", 1, `unknown key "team"`},
		{"services:\n  s:\n    slots: 4\n", 3, "no kind"},
		{"services:\n  s:\n    kind: [a]\n", 3, "unusable value"},
		{"teams:\n  a: &x\n    priority: 1\n  b: *x\n", 4, "unusable value"},
		{"teams:\n  a:\n    deadline: ~\n", 3, "unusable value"},
		{"teams:\n  A b:\n    priority: 1\n", 2, "malformed key"},
		{"teams: 3\n", 1, "no mapping"},
		{"", 0, "empty file"},
		{"- a\n", 1, "no mapping"},
		{"teams: {}\n---\nteams: {}\n", 2, "more than one document"},
		{"teams:\n  a: b: c\n", 2, "mapping values are not allowed"},
	}
	for _, c := range cases {
		_, errs := ParseFile([]byte(c.file))
		if len(errs) != 1 || errs[0].Line != c.line || !strings.Contains(errs[0].Error(), c.want) {
			t.Errorf("%q: got %v, want line %d: %s", c.file, errs, c.line, c.want)
		}
	}
}

func FuzzParseFile(f *testing.F) {
	f.Add([]byte(goodFile))
	f.Add([]byte("teams: {a: {priority: 1e9}}"))
	f.Add([]byte("a: &a [*a]"))
	f.Add([]byte("teams: {a: {b: {c: {d: {e: {f: {g: {h: {i: {j: {k: {l: {m: 1}}}}}}}}}}}}}"))
	f.Add([]byte("services: {s: {kind: !!binary aGk=}}"))
	f.Fuzz(func(t *testing.T, data []byte) {
		changes, errs := ParseFile(data)
		if len(errs) > 0 || len(changes) == 0 {
			return
		}
		for i := range changes {
			changes[i].ChangeID = "fuzz"
		}
		if found := NewTree().Validate(changes); len(found) > 0 {
			t.Fatalf("file is valid but its changes are not: %v", found[0])
		}
	})
}
