package directory

import (
	"testing"

	"github.com/banyanglade/banyanglade/internal/structs"
)

func peerAt(machine, start string) structs.Peer {
	return structs.Peer{ID: InstanceID(machine, start), Address: machine + ":1"}
}

func TestNewIncarnationReplacesTheEarlierOne(t *testing.T) {
	d := New(peerAt("self", "1"))
	old, next := peerAt("m", "1"), peerAt("m", "2")
	d.Put(old)
	if d.Ended(old.ID) || !d.Usable(old.ID) {
		t.Error("the first incarnation counts as ended")
	}
	d.SetUnresponsive(old.ID, true)
	d.Put(next)
	if !d.Ended(old.ID) || d.Usable(old.ID) || !d.Usable(next.ID) {
		t.Error("the second incarnation did not replace the first")
	}
	if _, ok := d.Resolve(old.ID); ok {
		t.Error("an ended instance was resolved")
	}
	d.Remove("m")
	if d.Usable(next.ID) || len(d.Others()) != 0 {
		t.Error("a removed machine is still listed")
	}
}

func TestRankingMovesOnlyKeysOfTheRemovedInstance(t *testing.T) {
	d := New(peerAt("a", "1"))
	for _, m := range []string{"b", "c", "d"} {
		d.Put(peerAt(m, "1"))
	}
	keys := []string{"k1", "k2", "k3", "k4", "k5", "k6", "k7", "k8"}
	before := map[string]structs.InstanceID{}
	for _, key := range keys {
		before[key] = d.Ranked(key)[0]
	}
	removed := peerAt("b", "1").ID
	d.SetUnresponsive(removed, true)
	for _, key := range keys {
		if first := d.Ranked(key)[0]; before[key] != removed && first != before[key] {
			t.Errorf("%s moved from %s to %s", key, before[key], first)
		}
	}
	d.SetUnresponsive(removed, false)
	d.SetLeaving(removed)
	for _, key := range keys {
		if d.Ranked(key)[0] == removed {
			t.Errorf("%s ranks an instance first that is shutting down", key)
		}
	}
}

func TestOwnRecordIsIgnored(t *testing.T) {
	d := New(peerAt("self", "2"))
	d.Put(peerAt("self", "1"))
	d.Remove("self")
	if !d.Usable(peerAt("self", "2").ID) {
		t.Error("this instance is not listed")
	}
}
