package instance

import (
	"slices"

	"github.com/banyanglade/banyanglade/internal/structs"
)

// interest is the table of the peers that owe this instance an answer. Only
// these get heartbeats: an idle pair of instances exchanges nothing, so that
// the control traffic follows the load and not the square of the instances.
type interest struct {
	self    structs.InstanceID
	owed    map[structs.InstanceID]map[string]bool
	watched []structs.InstanceID
}

func newInterest(self structs.InstanceID) *interest {
	return &interest{self: self, owed: map[structs.InstanceID]map[string]bool{}}
}

// sent notes a message that the peer owes an answer to.
func (t *interest) sent(to structs.InstanceID, msg structs.Message) {
	switch msg := msg.(type) {
	case *structs.Submit:
		t.add(to, requestKey(msg.Request))
	case *structs.ProgramRequest:
		t.add(to, requestKey(msg.Request))
	case *structs.ProgramsRequest:
		t.add(to, requestKey(msg.Request))
	case *structs.AppliedRequest:
		t.add(to, requestKey(msg.Request))
	case *structs.Withdraw:
		t.remove(to, requestKey(msg.Request))
	case *structs.PermitRequest:
		t.add(to, permitKey(msg.Ref))
	case *structs.PermitCancel:
		t.remove(to, permitKey(msg.Ref))
	case *structs.PermitFinish:
		t.remove(to, permitKey(msg.Ref))
	case *structs.PermitRefuse:
		t.remove(to, grantKey(msg.Ref))
	case *structs.PermitGrant:
		t.add(to, grantKey(msg.Ref))
	}
}

// received notes a message that settles what the peer owed.
func (t *interest) received(from structs.InstanceID, msg structs.Message) {
	if from == t.self {
		return
	}
	switch msg := msg.(type) {
	case *structs.CallEnd:
		t.remove(from, requestKey(msg.Request))
	case *structs.NotOwner:
		t.remove(from, requestKey(msg.Request))
	case *structs.ProgramReply:
		t.remove(from, requestKey(msg.Request))
	case *structs.ProgramsReply:
		t.remove(from, requestKey(msg.Request))
	case *structs.AppliedReply:
		t.remove(from, requestKey(msg.Request))
	case *structs.PermitRefuse:
		t.remove(from, permitKey(msg.Ref))
	case *structs.PermitFinish:
		t.remove(from, grantKey(msg.Ref))
	case *structs.PermitCancel:
		t.remove(from, grantKey(msg.Ref))
	}
}

// down forgets what a lost peer owed: the components ask another.
func (t *interest) down(peer structs.InstanceID) { delete(t.owed, peer) }

func (t *interest) add(peer structs.InstanceID, key string) {
	if t.owed[peer] == nil {
		t.owed[peer] = map[string]bool{}
	}
	t.owed[peer][key] = true
}

func (t *interest) remove(peer structs.InstanceID, key string) {
	delete(t.owed[peer], key)
	if len(t.owed[peer]) == 0 {
		delete(t.owed, peer)
	}
}

// watch gives the command that names the peers to watch, if they changed.
func (t *interest) watch() (structs.WatchPeers, bool) {
	peers := make([]structs.InstanceID, 0, len(t.owed))
	for id := range t.owed {
		peers = append(peers, id)
	}
	slices.Sort(peers)
	if slices.Equal(peers, t.watched) {
		return structs.WatchPeers{}, false
	}
	t.watched = peers
	return structs.WatchPeers{Peers: peers}, true
}

func requestKey(id structs.RequestID) string { return "request/" + string(id) }

func permitKey(ref structs.CallRef) string { return "permit/" + string(ref.Run) }

func grantKey(ref structs.CallRef) string { return "grant/" + string(ref.Run) }
