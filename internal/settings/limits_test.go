package settings

import (
	"fmt"
	"strings"
	"testing"
)

// fullTree returns a tree at all of its limits.
func fullTree() *Tree {
	tree := NewTree()
	for i := range MaxPaths {
		path := longPath(i, MaxTreeBytes/MaxPaths-4)
		long := recordChange{
			Path: path, Value: []byte("1"), ChangeID: fmt.Sprintf("%0*d", MaxChangeIDBytes, i),
			Author: strings.Repeat("a", MaxChangeIDBytes), TimeMS: 1 << 41,
		}
		tree.applyRecord(uint64(i), record{Changes: []recordChange{long}}, nil)
	}
	for i := range maxOutcomes {
		lost := recordChange{Path: longPath(i, MaxPathBytes-8), Base: 1, ChangeID: fmt.Sprintf("x%0*d", MaxChangeIDBytes-1, i)}
		tree.applyRecord(uint64(MaxPaths+i), record{Changes: []recordChange{lost}}, nil)
	}
	return tree
}

func longPath(i, length int) string {
	name := fmt.Sprintf("t%d", i)
	for len(name) < length-len("teams//weight") {
		name += "/" + strings.Repeat("a", min(MaxSegmentBytes, max(1, length-len("teams//weight")-len(name)-1)))
	}
	return "teams/" + name + "/weight"
}

// An instance must be able to start from the snapshot of a tree at its limits.
func TestSnapshotOfAFullTreeCanBeRead(t *testing.T) {
	tree := fullTree()
	data, err := tree.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	restored := NewTree()
	if took, err := restored.Restore(data); !took || err != nil {
		t.Fatalf("%d paths of %d bytes, snapshot of %d bytes: restored %v, %v", len(tree.entries), tree.size, len(data), took, err)
	}
	t.Logf("%d paths of %d bytes, snapshot of %d bytes", len(tree.entries), tree.size, len(data))
}
