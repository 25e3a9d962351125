package settings

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"github.com/banyanglade/banyanglade/internal/structs"
)

// change returns a record's change with an id that is unique by path, base and value.
func change(path string, base uint64, value string) recordChange {
	id := fmt.Sprintf("%s@%d=%s", path, base, value)
	if len(id) > MaxChangeIDBytes {
		id = id[:MaxChangeIDBytes]
	}
	return recordChange{Path: path, Base: base, Value: []byte(value), ChangeID: id, Author: "ada"}
}

func encode(t *testing.T, r record) []byte {
	t.Helper()
	data, err := encodeRecord(r)
	if err != nil {
		t.Fatal(err)
	}
	return data
}

func entries(tree *Tree) []Entry {
	list, _ := tree.Listing("")
	return list.Entries
}

func history(tree *Tree, path string) []PastChange {
	list, _ := tree.HistoryListing(path)
	return list.Changes
}

// treeOf returns a tree with the given values, one record each.
func treeOf(t *testing.T, values map[string]string) *Tree {
	t.Helper()
	tree := NewTree()
	offset := uint64(0)
	for path, value := range values {
		tree.Apply(offset, encode(t, record{Changes: []recordChange{change(path, 0, value)}}))
		offset++
	}
	return tree
}

func TestPolicyInheritsByKey(t *testing.T) {
	tree := treeOf(t, map[string]string{
		"teams/call_timeout":               `"90s"`,
		"teams/lakeshore/idle_timeout":     `"10m"`,
		"teams/lakeshore/filing/deadline":  `"1h"`,
		"teams/lakeshore/filing/retries":   `0`,
		"teams/lakeshoremore/idle_timeout": `"1m"`,
	})
	p := tree.Policy("lakeshore/filing/night")
	want := structs.DefaultPolicy()
	want.CallTimeout, want.IdleTimeout = 90*time.Second, 10*time.Minute
	want.Deadline, want.Retries = time.Hour, 0
	if p != want {
		t.Fatalf("got %+v, want %+v", p, want)
	}
	if got := tree.Policy("other"); got.CallTimeout != 90*time.Second || got.IdleTimeout != structs.DefaultPolicy().IdleTimeout {
		t.Fatalf("unrelated team: got %+v", got)
	}
}

func TestTeamCannotRaiseWhatAncestorsBound(t *testing.T) {
	tree := treeOf(t, map[string]string{
		"teams/a/priority": `3`, "teams/a/b/priority": `0`, "teams/a/c/priority": `7`,
		"teams/a/team_tokens": `100`, "teams/a/b/team_tokens": `0`, "teams/a/c/team_tokens": `1000`,
		"teams/a/program_fees": `0`, "teams/a/b/program_fees": `5`, "teams/a/b/d/program_fees": `9`,
		"teams/a/weight": `2`, "teams/a/b/weight": `5`,
		"teams/z/priority": `0`,
	})
	if p := tree.Policy("a/b/d"); p.Priority != 3 || p.TeamTokens != 100 || p.ProgramFees != 5 || p.Weight != 2 {
		t.Errorf("a/b/d: %+v", p)
	}
	if p := tree.Policy("a/c"); p.Priority != 7 || p.TeamTokens != 100 || p.ProgramFees != 0 {
		t.Errorf("a/c: %+v", p)
	}
	if p := tree.Policy("z"); p.Priority != 0 {
		t.Errorf("default limited the priority: %+v", p)
	}
}

func TestServiceNeedsKindAndKeepsDefaults(t *testing.T) {
	tree := treeOf(t, map[string]string{
		"services/desk/kind": `"plain"`, "services/desk/not_repeatable": `true`,
		"services/desk/rules/order": `"fcfs"`, "services/ghost/slots": `4`,
	})
	s, ok := tree.Service("desk")
	if !ok || !s.NotRepeatable || s.Rules.Order != "fcfs" || s.Rules.Placement != "cost" || s.Slots != 16 {
		t.Fatalf("got %+v, %v", s, ok)
	}
	if _, ok := tree.Service("ghost"); ok || len(tree.Services()) != 1 {
		t.Fatal("service without a kind exists")
	}
}

func TestStaleBaseLosesAndRecordIsAtomic(t *testing.T) {
	tree := NewTree()
	tree.Apply(0, encode(t, record{Changes: []recordChange{change("teams/a/priority", 0, "1")}}))
	pair := []recordChange{change("teams/b/priority", 0, "2"), change("teams/a/priority", 0, "9")}
	tree.Apply(1, encode(t, record{Changes: pair}))
	if v := tree.Version("teams/b/priority"); v != 0 {
		t.Fatalf("record applied partially: version %d", v)
	}
	outcome, ok := tree.Outcome(pair[0].ChangeID)
	if !ok || outcome.Accepted || outcome.Path != "teams/a/priority" || outcome.Version != 1 || outcome.Winner != "ada" {
		t.Fatalf("got %+v", outcome)
	}
}

func TestRemovedPathKeepsItsVersion(t *testing.T) {
	tree := NewTree()
	tree.Apply(0, encode(t, record{Changes: []recordChange{change("teams/a/priority", 0, "1")}}))
	tree.Apply(1, encode(t, record{Changes: []recordChange{change("teams/a/priority", 1, "")}}))
	tree.Apply(2, encode(t, record{Changes: []recordChange{change("teams/a/priority", 0, "7")}}))
	entry, ok := tree.Get("teams/a/priority")
	if !ok || !entry.Removed || entry.Version != 2 {
		t.Fatalf("got %+v", entry)
	}
	if p := tree.Policy("a"); p.Priority != structs.DefaultPolicy().Priority {
		t.Fatalf("priority %d after removal", p.Priority)
	}
}

// A record with a base that does not exist yet is rejected for good, even if a
// duplicate arrives after the path has reached that version.
func TestLostRecordStaysLostAsDuplicate(t *testing.T) {
	tree := NewTree()
	rejected := encode(t, record{Changes: []recordChange{change("teams/a/priority", 2, "9")}})
	tree.Apply(0, rejected)
	tree.Apply(1, encode(t, record{Changes: []recordChange{change("teams/a/priority", 0, "1")}}))
	tree.Apply(2, rejected)
	if entry, _ := tree.Get("teams/a/priority"); string(entry.Value) != "1" {
		t.Fatalf("duplicate of a rejected record took effect: %s", entry.Value)
	}
}

func TestGarbageIsSkippedAndCounted(t *testing.T) {
	tree := NewTree()
	for i, data := range [][]byte{nil, {1}, {2, 0xa0}, []byte("hello"), {1, 0xff, 0xff}} {
		tree.Apply(uint64(i), data)
	}
	if tree.Next() != 5 || tree.Skipped() != 5 {
		t.Fatalf("next %d, skipped %d", tree.Next(), tree.Skipped())
	}
}

func TestTreeSizeIsBounded(t *testing.T) {
	tree := NewTree()
	for i := range MaxPaths + 10 {
		path := fmt.Sprintf("teams/t%d/priority", i)
		tree.Apply(uint64(i), encode(t, record{Changes: []recordChange{change(path, 0, "1")}}))
	}
	if got := len(entries(tree)); got != MaxPaths {
		t.Fatalf("%d paths", got)
	}
	found := tree.Validate([]structs.SettingChange{{Path: "teams/x/priority", Value: []byte("1"), ChangeID: "x"}})
	if len(found) != 1 || !strings.Contains(found[0].Detail, "too large") {
		t.Fatalf("got %v", found)
	}
	data, err := tree.Snapshot()
	if err != nil || len(data) > MaxRecordBytes {
		t.Fatalf("snapshot of %d bytes, %v", len(data), err)
	}
}

func TestHistoryIsBoundedNewestFirst(t *testing.T) {
	tree := NewTree()
	for i := range uint64(HistoryLength + 5) {
		tree.Apply(i, encode(t, record{Changes: []recordChange{change("teams/a/max_queued", i, fmt.Sprint(i+1))}}))
	}
	changes := history(tree, "teams/a/max_queued")
	if len(changes) != HistoryLength || changes[0].Version != HistoryLength+5 || string(changes[0].Value) != "37" {
		t.Fatalf("%d entries, first %+v", len(changes), changes[0])
	}
}

// For any sequence of records, bases and duplicates: versions and the offset only
// grow, and a tree restored from a snapshot ends in the same state.
func TestTreeNeverRevertsProperty(t *testing.T) {
	paths := []string{"teams/a/priority", "teams/b/priority", "services/s/kind"}
	properties := gopter.NewProperties(nil)
	properties.Property("versions only grow and a restored tree agrees", prop.ForAll(
		func(steps []int, restoreAt int) bool {
			tree, restored := NewTree(), NewTree()
			for i, step := range steps {
				path := paths[step%len(paths)]
				base := tree.Version(path)
				if step%5 == 0 {
					base = uint64(step % 7)
				}
				data := encode(t, record{Changes: []recordChange{change(path, base, fmt.Sprint(step%4))}})
				before := versions(tree, paths)
				tree.Apply(uint64(i), data)
				if i == restoreAt {
					snapshot, _ := tree.Snapshot()
					_, _ = restored.Restore(snapshot)
				} else if i > restoreAt {
					restored.Apply(uint64(i), data)
				}
				for j, v := range versions(tree, paths) {
					if v < before[j] {
						return false
					}
				}
			}
			return len(steps) <= restoreAt || fmt.Sprint(entries(tree)) == fmt.Sprint(entries(restored))
		},
		gen.SliceOf(gen.IntRange(0, 59)), gen.IntRange(0, 20),
	))
	properties.TestingRun(t)
}

func versions(tree *Tree, paths []string) []uint64 {
	list := make([]uint64, len(paths))
	for i, path := range paths {
		list[i] = tree.Version(path)
	}
	return list
}

func TestRestoreIgnoresOlderSnapshot(t *testing.T) {
	tree := treeOf(t, map[string]string{"teams/a/priority": "1"})
	old, _ := tree.Snapshot()
	tree.Apply(1, encode(t, record{Changes: []recordChange{change("teams/a/priority", 1, "2")}}))
	if took, err := tree.Restore(old); took || err != nil {
		t.Fatalf("restored %v, %v", took, err)
	}
	if _, err := tree.Restore([]byte("garbage")); err == nil {
		t.Fatal("garbage restored")
	}
}

// Adapters read the tree from their own goroutines while the core changes it.
func TestTreeIsReadWhileItChanges(t *testing.T) {
	tree := NewTree()
	records := make([][]byte, 200)
	for i := range records {
		records[i] = encode(t, record{Changes: []recordChange{change("teams/a/max_queued", uint64(i), fmt.Sprint(i+1))}})
	}
	var readers sync.WaitGroup
	for range 4 {
		readers.Go(func() {
			last := 0
			for last < len(records) {
				p := tree.Policy("a")
				if queued := p.MaxQueued; queued != structs.DefaultPolicy().MaxQueued {
					if queued < last {
						t.Errorf("decreased from %d to %d", last, queued)
						return
					}
					last = queued
				}
				tree.Services()
				tree.Authenticate("key")
				tree.Listing("")
			}
		})
	}
	for i, data := range records {
		tree.Apply(uint64(i), data)
	}
	readers.Wait()
}
