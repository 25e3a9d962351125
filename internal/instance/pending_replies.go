package instance

import (
	"slices"

	"github.com/banyanglade/banyanglade/internal/structs"
)

// pendingReplies tracks the peers from which this instance expects a reply. Only
// these are sent heartbeats, so that control traffic grows with the load and not
// with the square of the number of instances.
type pendingReplies struct {
	self    structs.InstanceID
	keys    map[structs.InstanceID]map[string]bool
	watched []structs.InstanceID
}

func newPendingReplies(self structs.InstanceID) *pendingReplies {
	return &pendingReplies{self: self, keys: map[structs.InstanceID]map[string]bool{}}
}

// recordSent records a sent message that the peer must reply to, or that ends
// the wait for a reply.
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

// recordReceived records a message that completes a pending reply.
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

// removePeer removes all pending replies of an unreachable peer. The components
// retry elsewhere.
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

// watchCommand returns the command to update the watched peers and true, if they
// changed.
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
