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
	cluster := newCluster(t)
	a, b := cluster.start("a"), cluster.start("b")
	cluster.settle()
	cluster.propose(a, "r1", priority("x", 0, 3))
	cluster.tick(a)
	if len(a.replies) != 0 {
		t.Fatalf("reply before the record was read back: %v", a.replies)
	}
	cluster.settle()
	got := a.expect(t, "r1", structs.SettingsAccepted)
	if got.Version != 1 || got.Offset != 0 || got.Winner != "a" {
		t.Fatalf("got %+v", got)
	}
	if p := b.tree.Policy("x"); p.Priority != 3 {
		t.Fatalf("change did not take effect at the other instance: %+v", p)
	}
}

func TestRacingOperatorsExactlyOneWins(t *testing.T) {
	cluster := newCluster(t)
	a, b := cluster.start("a"), cluster.start("b")
	cluster.settle()
	cluster.propose(a, "ra", priority("x", 0, 1))
	cluster.propose(b, "rb", priority("x", 0, 2))
	cluster.settle()
	a.expect(t, "ra", structs.SettingsAccepted)
	lost := b.expect(t, "rb", structs.SettingsLost)
	if lost.Version != 1 || lost.Winner != "a" || lost.Path != "teams/x/priority" {
		t.Fatalf("got %+v", lost)
	}
	cluster.propose(b, "rc", priority("x", 0, 2))
	b.expect(t, "rc", structs.SettingsLost)
	if cluster.end != 2 {
		t.Fatalf("stale change was published: %d records", cluster.end)
	}
}

func TestLostAppendReplyIsResolvedByReadBack(t *testing.T) {
	cluster := newCluster(t)
	a := cluster.start("a")
	cluster.settle()
	cluster.faults = []appendFault{appendReplyLost}
	cluster.propose(a, "r1", priority("x", 0, 1))
	cluster.settle()
	a.expect(t, "r1", structs.SettingsAccepted)
	cluster.advance(5*time.Second, time.Second)
	if cluster.end != 1 {
		t.Fatalf("%d records for one change", cluster.end)
	}
}

func TestLostAppendIsRetriedAndAppliesOnce(t *testing.T) {
	cluster := newCluster(t)
	a := cluster.start("a")
	cluster.settle()
	cluster.faults = []appendFault{appendLost, appendReplyLost}
	cluster.propose(a, "r1", priority("x", 0, 1))
	cluster.settle()
	if len(a.replies) != 0 {
		t.Fatalf("premature reply: %v", a.replies)
	}
	cluster.advance(2*time.Second, time.Second)
	a.expect(t, "r1", structs.SettingsAccepted)
}

func TestCertainRefusalIsNotPublished(t *testing.T) {
	cluster := newCluster(t)
	a := cluster.start("a")
	cluster.settle()
	cluster.faults = []appendFault{appendRefused}
	cluster.propose(a, "r1", priority("x", 0, 1))
	cluster.settle()
	a.expect(t, "r1", structs.SettingsNotPublished)
}

// After an append that may have taken effect, a later refusal does not prove that the
// change was not published.
func TestRefusalAfterUncertainAppendIsUnknown(t *testing.T) {
	cluster := newCluster(t)
	a := cluster.start("a")
	cluster.settle()
	cluster.faults = []appendFault{appendLost}
	cluster.propose(a, "r1", priority("x", 0, 1))
	cluster.tick(a)
	cluster.down = true
	cluster.advance(9*time.Second, time.Second)
	if len(a.replies) != 0 {
		t.Fatalf("premature reply: %v", a.replies)
	}
	cluster.advance(2*time.Second, time.Second)
	a.expect(t, "r1", structs.SettingsUnknown)
}

func TestUnknownAtDeadlineWithoutReadBack(t *testing.T) {
	cluster := newCluster(t)
	a := cluster.start("a")
	cluster.settle()
	cluster.faults = []appendFault{appendUnanswered}
	cluster.propose(a, "r1", priority("x", 0, 1))
	cluster.now = cluster.now.Add(11 * time.Second)
	cluster.tick(a)
	a.expect(t, "r1", structs.SettingsUnknown)
	cluster.settle()
	if p := a.tree.Policy("x"); p.Priority != 1 {
		t.Fatal("the record on the log did not take effect")
	}
}

func TestRepeatedRequestGetsTheSameResult(t *testing.T) {
	cluster := newCluster(t)
	a, b := cluster.start("a"), cluster.start("b")
	cluster.settle()
	one := priority("x", 0, 1)
	one.ChangeID = "same"
	cluster.propose(a, "r1", one)
	cluster.propose(a, "r2", one)
	cluster.settle()
	cluster.propose(b, "r3", one)
	a.expect(t, "r1", structs.SettingsAccepted)
	a.expect(t, "r2", structs.SettingsAccepted)
	b.expect(t, "r3", structs.SettingsAccepted)
	other := priority("y", 0, 1)
	other.ChangeID = "same"
	cluster.propose(b, "r4", other)
	b.expect(t, "r4", structs.SettingsInvalid)
	if cluster.end != 1 {
		t.Fatalf("%d records", cluster.end)
	}
}

func TestInvalidIsRefusedBeforePublishing(t *testing.T) {
	cluster := newCluster(t)
	a := cluster.start("a")
	cluster.settle()
	cluster.propose(a, "r1", structs.SettingChange{Path: "teams/x/priority", Value: []byte(`"high"`)})
	got := a.expect(t, "r1", structs.SettingsInvalid)
	if got.Path != "teams/x/priority" || !strings.Contains(got.Detail, `"high"`) || !strings.Contains(got.Expected, "whole number") || cluster.end != 0 {
		t.Fatalf("got %+v", got)
	}
}

func TestNoTrafficBeforeCatchUp(t *testing.T) {
	cluster := newCluster(t)
	a := cluster.start("a")
	cluster.settle()
	cluster.propose(a, "r1", priority("x", 0, 1))
	cluster.settle()
	b := cluster.start("b")
	if b.CaughtUp() {
		t.Fatal("caught up before the first read")
	}
	cluster.propose(b, "r2", priority("x", 1, 2))
	b.expect(t, "r2", structs.SettingsNotPublished)
	cluster.settle()
	if !b.CaughtUp() || b.Next() != 1 {
		t.Fatalf("caught up %v, next %d", b.CaughtUp(), b.Next())
	}
}

func TestLogDownAtStartTakesNewestPeer(t *testing.T) {
	cluster := newCluster(t)
	a, b := cluster.start("a"), cluster.start("b")
	cluster.settle()
	cluster.propose(a, "r1", priority("x", 0, 1))
	cluster.settle()
	cluster.propose(a, "r2", priority("x", 1, 2))
	cluster.read(a) // b has not read the second change
	cluster.read(a)
	if a.Next() != 2 || b.Next() != 1 {
		t.Fatalf("next %d, %d", a.Next(), b.Next())
	}
	cluster.down = true
	c := cluster.start("c")
	cluster.settle()
	cluster.advance(2*time.Second, time.Second)
	if !c.CaughtUp() || c.Next() != 2 || c.tree.Policy("x").Priority != 2 {
		t.Fatalf("caught up %v, next %d", c.CaughtUp(), c.Next())
	}
	cluster.advance(4*time.Second, time.Second)
	if b.Next() != 2 {
		t.Fatalf("running instance did not receive the newer settings: next %d", b.Next())
	}
	cluster.down = false
	cluster.settle()
	cluster.propose(c, "r3", priority("x", 2, 3))
	cluster.settle()
	c.expect(t, "r3", structs.SettingsAccepted)
}

func TestLogDownWithoutPeersIsNotReady(t *testing.T) {
	cluster := newCluster(t)
	cluster.down = true
	a, b := cluster.start("a"), cluster.start("b")
	cluster.advance(5*time.Second, time.Second)
	if a.CaughtUp() || b.CaughtUp() {
		t.Fatal("caught up without log and peers")
	}
	cluster.down = false
	cluster.settle()
	if !a.CaughtUp() || !b.CaughtUp() {
		t.Fatal("not caught up after the log recovered")
	}
}

func TestSnapshotIsWrittenBeforeRetentionEnds(t *testing.T) {
	cluster := newCluster(t)
	a, b := cluster.start("a"), cluster.start("b")
	cluster.settle()
	cluster.propose(a, "r1", priority("x", 0, 1))
	cluster.settle()
	cluster.advance(7*time.Hour, 10*time.Minute)
	if a.appends != 2 || b.appends != 0 {
		t.Fatalf("appends %d and %d, want the lowest id to write one snapshot", a.appends, b.appends)
	}
	cluster.expire(1)
	c := cluster.start("c")
	cluster.settle()
	if !c.CaughtUp() || c.tree.Policy("x").Priority != 1 || c.tree.Version("teams/x/priority") != 1 {
		t.Fatalf("caught up %v, dump %+v", c.CaughtUp(), c.Dump())
	}
	cluster.members.peers = cluster.members.peers[:0]
	cluster.propose(c, "r2", priority("x", 1, 2))
	cluster.settle()
	c.expect(t, "r2", structs.SettingsAccepted)
}

func TestNextInstanceWritesSnapshotIfTheFirstCannot(t *testing.T) {
	cluster := newCluster(t)
	a := cluster.start("a")
	b := cluster.start("b")
	cluster.settle()
	cluster.propose(a, "r1", priority("x", 0, 1))
	cluster.settle()
	cluster.order = []structs.InstanceID{"b"} // a is unresponsive but not yet suspected
	cluster.advance(7*time.Hour, 10*time.Minute)
	if b.appends != 1 {
		t.Fatalf("%d snapshots written", b.appends)
	}
}

func TestInstanceThatFellBehindRetentionRecovers(t *testing.T) {
	cluster := newCluster(t)
	a, b := cluster.start("a"), cluster.start("b")
	cluster.settle()
	cluster.order = []structs.InstanceID{"a"}
	cluster.propose(a, "r1", priority("x", 0, 1))
	cluster.settle()
	cluster.advance(7*time.Hour, 10*time.Minute)
	cluster.propose(a, "r2", priority("x", 1, 2))
	cluster.settle()
	cluster.expire(1)
	cluster.partitioned["b"] = true
	cluster.order = []structs.InstanceID{"a", "b"}
	cluster.settle()
	if b.Next() != a.Next() || b.tree.Policy("x").Priority != 2 {
		t.Fatalf("next %d, want %d: %+v", b.Next(), a.Next(), b.Dump())
	}
}

func TestProposalAfterAllSettingsWereLost(t *testing.T) {
	cluster := newCluster(t)
	cluster.end = 9
	cluster.expire(9)
	a, b := cluster.start("a"), cluster.start("b")
	cluster.settle()
	if a.CaughtUp() || !a.Dump().Lost {
		t.Fatalf("dump %+v", a.Dump())
	}
	cluster.propose(a, "ra", priority("x", 0, 1))
	cluster.propose(b, "rb", priority("y", 0, 2))
	cluster.settle()
	a.expect(t, "ra", structs.SettingsAccepted)
	b.expect(t, "rb", structs.SettingsAccepted)
	if !a.CaughtUp() || fmt.Sprint(entries(a.tree)) != fmt.Sprint(entries(b.tree)) {
		t.Fatalf("trees differ: %v, %v", entries(a.tree), entries(b.tree))
	}
}

func TestLogThatLostRecordsDoesNotRevert(t *testing.T) {
	cluster := newCluster(t)
	a := cluster.start("a")
	cluster.settle()
	cluster.propose(a, "r1", priority("x", 0, 1))
	cluster.settle()
	cluster.records, cluster.end = nil, 0
	cluster.settle()
	if a.Next() != 1 || a.tree.Policy("x").Priority != 1 || !a.Dump().LogBehind {
		t.Fatalf("dump %+v", a.Dump())
	}
	cluster.propose(a, "r2", priority("x", 1, 2))
	a.expect(t, "r2", structs.SettingsNotPublished)
}

func TestGarbageFromPeersIsCounted(t *testing.T) {
	cluster := newCluster(t)
	a := cluster.start("a")
	cluster.tick(a, structs.PeerMessage{From: "z", Msg: &structs.SettingsState{Next: 99, State: []byte("garbage")}})
	if a.Next() != 0 || a.CaughtUp() || a.Dump().MalformedStates != 1 {
		t.Fatalf("dump %+v", a.Dump())
	}
}

func TestDumpShowsNoSecret(t *testing.T) {
	cluster := newCluster(t)
	a := cluster.start("a")
	cluster.settle()
	hash := KeyHash("s3cret")
	value := fmt.Sprintf(`{"role":"caller","sha256":"%s"}`, hash)
	cluster.propose(a, "r1", structs.SettingChange{Path: "teams/x/credentials/ada", Value: []byte(value)})
	cluster.settle()
	a.expect(t, "r1", structs.SettingsAccepted)
	data, err := json.Marshal(a.Dump())
	if err != nil || bytes.Contains(data, []byte(hash)) || !bytes.Contains(data, []byte(hash[:8]+"...")) {
		t.Fatalf("%v: %s", err, data)
	}
}
