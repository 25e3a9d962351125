package directory

import (
	"testing"

	"github.com/banyanglade/banyanglade/internal/structs"
)

func peerAt(machine, start string) structs.Peer {
	return structs.Peer{ID: InstanceID(machine, start), Address: machine + ":1"}
}

func TestANewStartReplacesTheEarlierOne(t *testing.T) {
	d := New(peerAt("self", "1"))
	old, next := peerAt("m", "1"), peerAt("m", "2")
	d.Put(old)
	if d.Ended(old.ID) || !d.Usable(old.ID) {
		t.Error("the first start counts as ended")
	}
	d.SetUnresponsive(old.ID, true)
	d.Put(next)
	if !d.Ended(old.ID) || d.Usable(old.ID) || !d.Usable(next.ID) {
		t.Error("the second start did not replace the first")
	}
	if _, ok := d.Resolve(old.ID); ok {
		t.Error("an ended instance was found")
	}
	d.Remove("m")
	if d.Usable(next.ID) || len(d.Others()) != 0 {
		t.Error("a removed machine is still listed")
	}
}

func TestRankingMovesOnlyWhatAnInstanceHeld(t *testing.T) {
	d := New(peerAt("a", "1"))
	for _, m := range []string{"b", "c", "d"} {
		d.Put(peerAt(m, "1"))
	}
	keys := []string{"k1", "k2", "k3", "k4", "k5", "k6", "k7", "k8"}
	before := map[string]structs.InstanceID{}
	for _, key := range keys {
		before[key] = d.Ranked(key)[0]
	}
	gone := peerAt("b", "1").ID
	d.SetUnresponsive(gone, true)
	for _, key := range keys {
		if first := d.Ranked(key)[0]; before[key] != gone && first != before[key] {
			t.Errorf("%s moved from %s to %s", key, before[key], first)
		}
	}
	d.SetUnresponsive(gone, false)
	d.SetLeaving(gone)
	for _, key := range keys {
		if d.Ranked(key)[0] == gone {
			t.Errorf("%s is given to an instance that leaves", key)
		}
	}
}

func TestOwnRecordIsNotTakenFromTheStore(t *testing.T) {
	d := New(peerAt("self", "2"))
	d.Put(peerAt("self", "1"))
	d.Remove("self")
	if !d.Usable(peerAt("self", "2").ID) {
		t.Error("this instance lost itself")
	}
}
