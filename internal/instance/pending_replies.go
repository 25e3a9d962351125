package instance

import (
	"slices"

	"github.com/banyanglade/banyanglade/internal/structs"
)

// pendingReplies is the table of the peers that owe this instance an answer. Only
// these get heartbeats: an idle pair of instances exchanges nothing, so that
// the control traffic follows the load and not the square of the instances.
type pendingReplies struct {
	self    structs.InstanceID
	keys    map[structs.InstanceID]map[string]bool
	watched []structs.InstanceID
}

func newPendingReplies(self structs.InstanceID) *pendingReplies {
	return &pendingReplies{self: self, keys: map[structs.InstanceID]map[string]bool{}}
}

// recordSent notes a message that the peer owes an answer to.
func (p *pendingReplies) recordSent(to structs.InstanceID, msg structs.Message) {
	switch msg := msg.(type) {
	case *structs.Submit:
		p.add(to, requestKey(msg.Request))
	case *structs.ProgramRequest:
		p.add(to, requestKey(msg.Request))
	case *structs.ProgramsRequest:
		p.add(to, requestKey(msg.Request))
	case *structs.AppliedRequest:
		p.add(to, requestKey(msg.Request))
	case *structs.Withdraw:
		p.remove(to, requestKey(msg.Request))
	case *structs.PermitRequest:
		p.add(to, permitKey(msg.Ref))
	case *structs.PermitCancel:
		p.remove(to, permitKey(msg.Ref))
	case *structs.PermitFinish:
		p.remove(to, permitKey(msg.Ref))
	case *structs.PermitRefuse:
		p.remove(to, grantKey(msg.Ref))
	case *structs.PermitGrant:
		p.add(to, grantKey(msg.Ref))
	}
}

// recordReceived notes a message that settles what the peer owed.
func (p *pendingReplies) recordReceived(from structs.InstanceID, msg structs.Message) {
	if from == p.self {
		return
	}
	switch msg := msg.(type) {
	case *structs.CallEnd:
		p.remove(from, requestKey(msg.Request))
	case *structs.NotOwner:
		p.remove(from, requestKey(msg.Request))
	case *structs.ProgramReply:
		p.remove(from, requestKey(msg.Request))
	case *structs.ProgramsReply:
		p.remove(from, requestKey(msg.Request))
	case *structs.AppliedReply:
		p.remove(from, requestKey(msg.Request))
	case *structs.PermitRefuse:
		p.remove(from, permitKey(msg.Ref))
	case *structs.PermitFinish:
		p.remove(from, grantKey(msg.Ref))
	case *structs.PermitCancel:
		p.remove(from, grantKey(msg.Ref))
	}
}

// removePeer forgets what a lost peer owed: the components ask another.
func (p *pendingReplies) removePeer(peer structs.InstanceID) { delete(p.keys, peer) }

func (p *pendingReplies) add(peer structs.InstanceID, key string) {
	if p.keys[peer] == nil {
		p.keys[peer] = map[string]bool{}
	}
	p.keys[peer][key] = true
}

func (p *pendingReplies) remove(peer structs.InstanceID, key string) {
	delete(p.keys[peer], key)
	if len(p.keys[peer]) == 0 {
		delete(p.keys, peer)
	}
}

// watchCommand gives the command that names the peers to watch, if they changed.
func (p *pendingReplies) watchCommand() (structs.WatchPeers, bool) {
	peers := make([]structs.InstanceID, 0, len(p.keys))
	for id := range p.keys {
		peers = append(peers, id)
	}
	slices.Sort(peers)
	if slices.Equal(peers, p.watched) {
		return structs.WatchPeers{}, false
	}
	p.watched = peers
	return structs.WatchPeers{Peers: peers}, true
}

func requestKey(id structs.RequestID) string { return "request/" + string(id) }

func permitKey(ref structs.CallRef) string { return "permit/" + string(ref.Run) }

func grantKey(ref structs.CallRef) string { return "grant/" + string(ref.Run) }
