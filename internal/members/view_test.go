package members

import (
	"testing"
	"time"

	"github.com/banyanglade/banyanglade/internal/structs"
	"github.com/banyanglade/banyanglade/internal/wire"
)

var start = time.Unix(1_700_000_000, 0)

func instanceMember(id string) wire.Member {
	return wire.Member{ID: id, Role: wire.MemberRoleInstance, State: wire.MemberStateLive, Region: "r", DataCentre: "d"}
}

func newView(t *testing.T, ids ...string) *View {
	t.Helper()
	v := New(structs.Peer{ID: structs.InstanceID(ids[0]), Region: "r"})
	list := wire.MemberList{Version: 1}
	for _, id := range ids {
		list.Members = append(list.Members, instanceMember(id))
	}
	v.Tick(start, []structs.Event{structs.MembersListed{List: list}})
	return v
}

func TestAllInstancesAgreeOnOwners(t *testing.T) {
	a, b := newView(t, "a", "b", "c"), newView(t, "c", "b", "a")
	for shard := structs.ShardID(0); shard < 64; shard++ {
		ref := structs.ShardRef{Region: "r", Shard: shard}
		x, _ := a.OwnerOf(ref)
		y, _ := b.OwnerOf(ref)
		if x != y {
			t.Fatalf("shard %d: owners %s and %s differ", shard, x, y)
		}
	}
}

func TestSuspectLosesOnlyItsOwnShards(t *testing.T) {
	v := newView(t, "a", "b", "c")
	before := ownersByShard(v)
	v.Tick(start, []structs.Event{structs.PeerDown{Peer: "b"}})
	for ref, owner := range ownersByShard(v) {
		if before[ref] != "b" && owner != before[ref] {
			t.Fatalf("%v moved from %s to %s", ref, before[ref], owner)
		}
		if owner == "b" {
			t.Fatalf("%v is still assigned to the suspected instance", ref)
		}
	}
}

func TestSuspectIsProbedAndCleared(t *testing.T) {
	v := newView(t, "a", "b")
	v.Tick(start, []structs.Event{structs.PeerDown{Peer: "b"}})
	cmds := v.Tick(start.Add(probeInterval), nil)
	if len(cmds) != 1 || cmds[0] != (structs.ProbePeer{To: "b"}) {
		t.Fatalf("commands %v", cmds)
	}
	v.Tick(start.Add(probeInterval), []structs.Event{structs.PeerUp{Peer: "b"}})
	if v.Suspected("b") {
		t.Fatal("still suspected after PeerUp")
	}
}

func TestAnnouncedLeavingExpires(t *testing.T) {
	v := newView(t, "a", "b")
	v.Tick(start, []structs.Event{structs.PeerMessage{From: "b", Msg: &structs.Leaving{}}})
	if p, _ := v.Peer("b"); !p.Leaving {
		t.Fatal("announcement was ignored")
	}
	v.Tick(start.Add(announcementTTL+time.Second), nil)
	if p, _ := v.Peer("b"); p.Leaving {
		t.Fatal("announcement did not expire")
	}
}

func TestOlderListIsDropped(t *testing.T) {
	v := newView(t, "a", "b")
	v.Tick(start, []structs.Event{structs.MembersListed{List: wire.MemberList{Version: 0}}})
	if len(v.Peers()) != 2 {
		t.Fatalf("peers %v", v.Peers())
	}
}

func ownersByShard(v *View) map[structs.ShardRef]structs.InstanceID {
	all := map[structs.ShardRef]structs.InstanceID{}
	for shard := structs.ShardID(0); shard < 64; shard++ {
		ref := structs.ShardRef{Region: "r", Shard: shard}
		all[ref], _ = v.OwnerOf(ref)
	}
	return all
}
