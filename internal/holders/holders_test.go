package holders

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/banyanglade/banyanglade/internal/directory"
	"github.com/banyanglade/banyanglade/internal/structs"
)

func newTestRing(t *testing.T, others int) (*Ring, *directory.Directory) {
	t.Helper()
	dir := directory.New(structs.Peer{ID: directory.InstanceID("self", "1")})
	for i := range others {
		dir.Put(structs.Peer{ID: directory.InstanceID(fmt.Sprint("m", i), "1")})
	}
	return NewRing(Config{Directory: dir, Slots: 8, Key: func(slot int) string { return fmt.Sprint("slot/", slot) }, Count: 3}), dir
}

func TestHoldersAreOtherUsableInstances(t *testing.T) {
	ring, dir := newTestRing(t, 6)
	for key := range 50 {
		before := slices.Clone(ring.Of(fmt.Sprint(key)))
		if len(before) != 3 || slices.Contains(before, dir.Self().ID) {
			t.Fatalf("key %d has holders %v", key, before)
		}
		dir.SetUnresponsive(before[0], true)
		if after := ring.Of(fmt.Sprint(key)); slices.Contains(after, before[0]) {
			t.Errorf("key %d keeps the unresponsive holder %s", key, before[0])
		}
		dir.SetUnresponsive(before[0], false)
	}
}

func TestInstancesThatShutDownHoldWhatOthersCannot(t *testing.T) {
	ring, dir := newTestRing(t, 4)
	var leaving []structs.InstanceID
	for i := range 3 {
		id := directory.InstanceID(fmt.Sprint("m", i), "1")
		dir.SetLeaving(id)
		leaving = append(leaving, id)
	}
	last := directory.InstanceID("m3", "1")
	if got, want := ring.Of("key"), append([]structs.InstanceID{last}, leaving[:2]...); !slices.Equal(got, want) {
		t.Errorf("got holders %v, want %v", got, want)
	}
}

func TestHoldersAreStableAfterTheLastChange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ring, dir := newTestRing(t, 6)
		const age = 10 * time.Second
		first, _ := ring.OfStable("key", age)
		time.Sleep(age)
		if _, stable := ring.OfStable("key", age); !stable {
			t.Error("not stable without a change")
		}
		dir.SetUnresponsive(first[0], true)
		if _, stable := ring.OfStable("key", age); stable {
			t.Error("stable after a holder was lost")
		}
		time.Sleep(age)
		dir.Put(structs.Peer{ID: first[1], Address: "as before"})
		if _, stable := ring.OfStable("key", age); !stable {
			t.Error("not stable after a change of the directory that keeps the holders")
		}
	})
}

func TestCollect(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var queries Queries[int]
		to := []structs.InstanceID{"a", "b", "c", "d", "unsent"}
		numbers := make(map[structs.InstanceID]uint64)
		round := queries.Begin(to, func(id structs.InstanceID, number uint64) bool {
			numbers[id] = number
			return id != "unsent"
		})
		queries.Receive("a", numbers["a"], 1)
		queries.Receive("a", numbers["b"], 2) // not its number
		queries.PeerDown("b")
		queries.Receive("c", numbers["c"], 3)
		replies, silent := round.Collect(context.Background(), time.Second, func(int) bool { return false })
		if !slices.Equal(replies, []int{1, 3}) || !slices.Equal(silent, []structs.InstanceID{"d"}) {
			t.Errorf("got replies %v, silent %v", replies, silent)
		}
		queries.Receive("d", numbers["d"], 4)
		if len(queries.pending) != 0 {
			t.Errorf("%d queries are pending", len(queries.pending))
		}
	})
}
