package settings

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/banyanglade/banyanglade/internal/structs"
)

func TestAcceptedOnlyAfterReadBack(t *testing.T) {
	w := newWorld(t)
	a, b := w.start("a"), w.start("b")
	w.settle()
	w.propose(a, "r1", priority("x", 0, 3))
	w.tick(a)
	if len(a.replies) != 0 {
		t.Fatalf("answered before the record was read back: %v", a.replies)
	}
	w.settle()
	got := a.expect(t, "r1", structs.SettingsAccepted)
	if got.Version != 1 || got.Offset != 0 || got.Winner != "a" {
		t.Fatalf("got %+v", got)
	}
	if p := b.tree.Policy("x"); p.Priority != 3 {
		t.Fatalf("not in force at the other instance: %+v", p)
	}
}

func TestRacingOperatorsExactlyOneWins(t *testing.T) {
	w := newWorld(t)
	a, b := w.start("a"), w.start("b")
	w.settle()
	w.propose(a, "ra", priority("x", 0, 1))
	w.propose(b, "rb", priority("x", 0, 2))
	w.settle()
	a.expect(t, "ra", structs.SettingsAccepted)
	lost := b.expect(t, "rb", structs.SettingsLost)
	if lost.Version != 1 || lost.Winner != "a" || lost.Path != "teams/x/priority" {
		t.Fatalf("got %+v", lost)
	}
	w.propose(b, "rc", priority("x", 0, 2))
	b.expect(t, "rc", structs.SettingsLost)
	if w.end != 2 {
		t.Fatalf("a change known to be stale was published: %d records", w.end)
	}
}

func TestLostAppendReplyIsResolvedByReadBack(t *testing.T) {
	w := newWorld(t)
	a := w.start("a")
	w.settle()
	w.faults = []appendFault{appendReplyLost}
	w.propose(a, "r1", priority("x", 0, 1))
	w.settle()
	a.expect(t, "r1", structs.SettingsAccepted)
	w.pass(5*time.Second, time.Second)
	if w.end != 1 {
		t.Fatalf("%d records for one change", w.end)
	}
}

func TestLostAppendIsTriedAgainAndAppliesOnce(t *testing.T) {
	w := newWorld(t)
	a := w.start("a")
	w.settle()
	w.faults = []appendFault{appendLost, appendReplyLost}
	w.propose(a, "r1", priority("x", 0, 1))
	w.settle()
	if len(a.replies) != 0 {
		t.Fatalf("guessed: %v", a.replies)
	}
	w.pass(2*time.Second, time.Second)
	a.expect(t, "r1", structs.SettingsAccepted)
}

func TestCertainRefusalIsNotPublished(t *testing.T) {
	w := newWorld(t)
	a := w.start("a")
	w.settle()
	w.faults = []appendFault{appendRefused}
	w.propose(a, "r1", priority("x", 0, 1))
	w.settle()
	a.expect(t, "r1", structs.SettingsNotPublished)
}

// After an append that may have taken effect, a later refusal proves nothing.
func TestRefusalAfterUncertainAppendIsUnknown(t *testing.T) {
	w := newWorld(t)
	a := w.start("a")
	w.settle()
	w.faults = []appendFault{appendLost}
	w.propose(a, "r1", priority("x", 0, 1))
	w.tick(a)
	w.down = true
	w.pass(9*time.Second, time.Second)
	if len(a.replies) != 0 {
		t.Fatalf("guessed: %v", a.replies)
	}
	w.pass(2*time.Second, time.Second)
	a.expect(t, "r1", structs.SettingsUnknown)
}

func TestUnknownAtDeadlineWithoutReadBack(t *testing.T) {
	w := newWorld(t)
	a := w.start("a")
	w.settle()
	w.faults = []appendFault{appendSilent}
	w.propose(a, "r1", priority("x", 0, 1))
	w.now = w.now.Add(11 * time.Second)
	w.tick(a)
	a.expect(t, "r1", structs.SettingsUnknown)
	w.settle()
	if p := a.tree.Policy("x"); p.Priority != 1 {
		t.Fatal("the record on the log did not come into force")
	}
}

func TestRepeatedRequestGetsTheSameAnswer(t *testing.T) {
	w := newWorld(t)
	a, b := w.start("a"), w.start("b")
	w.settle()
	one := priority("x", 0, 1)
	one.ChangeID = "same"
	w.propose(a, "r1", one)
	w.propose(a, "r2", one)
	w.settle()
	w.propose(b, "r3", one)
	a.expect(t, "r1", structs.SettingsAccepted)
	a.expect(t, "r2", structs.SettingsAccepted)
	b.expect(t, "r3", structs.SettingsAccepted)
	other := priority("y", 0, 1)
	other.ChangeID = "same"
	w.propose(b, "r4", other)
	b.expect(t, "r4", structs.SettingsInvalid)
	if w.end != 1 {
		t.Fatalf("%d records", w.end)
	}
}

func TestInvalidIsRefusedBeforePublishing(t *testing.T) {
	w := newWorld(t)
	a := w.start("a")
	w.settle()
	w.propose(a, "r1", structs.SettingChange{Path: "teams/x/priority", Value: []byte(`"high"`)})
	got := a.expect(t, "r1", structs.SettingsInvalid)
	if got.Path != "teams/x/priority" || !strings.Contains(got.Detail, `"high"`) || !strings.Contains(got.Expected, "whole number") || w.end != 0 {
		t.Fatalf("got %+v", got)
	}
}

func TestNoTrafficBeforeCatchUp(t *testing.T) {
	w := newWorld(t)
	a := w.start("a")
	w.settle()
	w.propose(a, "r1", priority("x", 0, 1))
	w.settle()
	b := w.start("b")
	if b.CaughtUp() {
		t.Fatal("caught up without reading")
	}
	w.propose(b, "r2", priority("x", 1, 2))
	b.expect(t, "r2", structs.SettingsNotPublished)
	w.settle()
	if !b.CaughtUp() || b.Next() != 1 {
		t.Fatalf("caught up %v, next %d", b.CaughtUp(), b.Next())
	}
}

func TestLogDownAtStartTakesNewestPeer(t *testing.T) {
	w := newWorld(t)
	a, b := w.start("a"), w.start("b")
	w.settle()
	w.propose(a, "r1", priority("x", 0, 1))
	w.settle()
	w.propose(a, "r2", priority("x", 1, 2))
	w.read(a) // b has not read the second change
	w.read(a)
	if a.Next() != 2 || b.Next() != 1 {
		t.Fatalf("next %d, %d", a.Next(), b.Next())
	}
	w.down = true
	c := w.start("c")
	w.settle()
	w.pass(2*time.Second, time.Second)
	if !c.CaughtUp() || c.Next() != 2 || c.tree.Policy("x").Priority != 2 {
		t.Fatalf("caught up %v, next %d", c.CaughtUp(), c.Next())
	}
	w.pass(4*time.Second, time.Second)
	if b.Next() != 2 {
		t.Fatalf("a running instance did not learn the newer settings: %d", b.Next())
	}
	w.down = false
	w.settle()
	w.propose(c, "r3", priority("x", 2, 3))
	w.settle()
	c.expect(t, "r3", structs.SettingsAccepted)
}

func TestLogDownWithoutPeersIsNotReady(t *testing.T) {
	w := newWorld(t)
	w.down = true
	a, b := w.start("a"), w.start("b")
	w.pass(5*time.Second, time.Second)
	if a.CaughtUp() || b.CaughtUp() {
		t.Fatal("caught up from nothing")
	}
	w.down = false
	w.settle()
	if !a.CaughtUp() || !b.CaughtUp() {
		t.Fatal("not caught up with the log back")
	}
}

func TestSnapshotsBeatRetention(t *testing.T) {
	w := newWorld(t)
	a, b := w.start("a"), w.start("b")
	w.settle()
	w.propose(a, "r1", priority("x", 0, 1))
	w.settle()
	w.pass(7*time.Hour, 10*time.Minute)
	if a.appends != 2 || b.appends != 0 {
		t.Fatalf("appends %d and %d, want the lowest id to write one snapshot", a.appends, b.appends)
	}
	w.expire(1)
	c := w.start("c")
	w.settle()
	if !c.CaughtUp() || c.tree.Policy("x").Priority != 1 || c.tree.Version("teams/x/priority") != 1 {
		t.Fatalf("caught up %v, dump %+v", c.CaughtUp(), c.Dump())
	}
	w.members.peers = w.members.peers[:0]
	w.propose(c, "r2", priority("x", 1, 2))
	w.settle()
	c.expect(t, "r2", structs.SettingsAccepted)
}

func TestNextInstanceWritesSnapshotIfTheFirstCannot(t *testing.T) {
	w := newWorld(t)
	a := w.start("a")
	b := w.start("b")
	w.settle()
	w.propose(a, "r1", priority("x", 0, 1))
	w.settle()
	w.order = []structs.InstanceID{"b"} // a is frozen, and not suspected yet
	w.pass(7*time.Hour, 10*time.Minute)
	if b.appends != 1 {
		t.Fatalf("%d snapshots written", b.appends)
	}
}

func TestInstanceThatFellBehindRetentionRecovers(t *testing.T) {
	w := newWorld(t)
	a, b := w.start("a"), w.start("b")
	w.settle()
	w.order = []structs.InstanceID{"a"}
	w.propose(a, "r1", priority("x", 0, 1))
	w.settle()
	w.pass(7*time.Hour, 10*time.Minute)
	w.propose(a, "r2", priority("x", 1, 2))
	w.settle()
	w.expire(1)
	w.cut["b"] = true
	w.order = []structs.InstanceID{"a", "b"}
	w.settle()
	if b.Next() != a.Next() || b.tree.Policy("x").Priority != 2 {
		t.Fatalf("next %d, want %d: %+v", b.Next(), a.Next(), b.Dump())
	}
}

func TestAllLostIsPublishedAnew(t *testing.T) {
	w := newWorld(t)
	w.end = 9
	w.expire(9)
	a, b := w.start("a"), w.start("b")
	w.settle()
	if a.CaughtUp() || !a.Dump().Lost {
		t.Fatalf("dump %+v", a.Dump())
	}
	w.propose(a, "ra", priority("x", 0, 1))
	w.propose(b, "rb", priority("y", 0, 2))
	w.settle()
	a.expect(t, "ra", structs.SettingsAccepted)
	b.expect(t, "rb", structs.SettingsAccepted)
	if !a.CaughtUp() || fmt.Sprint(listed(a.tree)) != fmt.Sprint(listed(b.tree)) {
		t.Fatalf("trees differ: %v, %v", listed(a.tree), listed(b.tree))
	}
}

func TestLogThatLostRecordsDoesNotRevert(t *testing.T) {
	w := newWorld(t)
	a := w.start("a")
	w.settle()
	w.propose(a, "r1", priority("x", 0, 1))
	w.settle()
	w.records, w.end = nil, 0
	w.settle()
	if a.Next() != 1 || a.tree.Policy("x").Priority != 1 || !a.Dump().LogBehind {
		t.Fatalf("dump %+v", a.Dump())
	}
	w.propose(a, "r2", priority("x", 1, 2))
	a.expect(t, "r2", structs.SettingsNotPublished)
}

func TestGarbageFromPeersIsCounted(t *testing.T) {
	w := newWorld(t)
	a := w.start("a")
	w.tick(a, structs.PeerMessage{From: "z", Msg: &structs.SettingsState{Next: 99, State: []byte("garbage")}})
	if a.Next() != 0 || a.CaughtUp() || a.Dump().MalformedStates != 1 {
		t.Fatalf("dump %+v", a.Dump())
	}
}

func TestDumpShowsNoSecret(t *testing.T) {
	w := newWorld(t)
	a := w.start("a")
	w.settle()
	hash := KeyHash("s3cret")
	value := fmt.Sprintf(`{"role":"caller","sha256":"%s"}`, hash)
	w.propose(a, "r1", structs.SettingChange{Path: "teams/x/credentials/ada", Value: []byte(value)})
	w.settle()
	a.expect(t, "r1", structs.SettingsAccepted)
	data, err := json.Marshal(a.Dump())
	if err != nil || bytes.Contains(data, []byte(hash)) || !bytes.Contains(data, []byte(hash[:8]+"...")) {
		t.Fatalf("%v: %s", err, data)
	}
}
