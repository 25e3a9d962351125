package settings

import (
	"time"

	"github.com/banyanglade/banyanglade/internal/structs"
)

// Timing of the state requests to peers.
const (
	// startupRequestInterval is the time between two rounds of requests before the
	// catch-up, and the time within which a round's replies count.
	startupRequestInterval = time.Second
	// requestInterval is the time between two rounds while the log is unavailable.
	requestInterval = 2 * time.Second
	// maxStartupRequests and maxRequests limit the peers queried in a round.
	maxStartupRequests = 32
	maxRequests        = 3
)

// exchange queries peers for their state while the log cannot provide it.
type exchange struct {
	// wakeAt is the time of the next round, zero if none is needed.
	wakeAt time.Time
	// awaiting are the peers of the current round that have not replied. stateReceived
	// indicates that a peer replied and that the tree is as new as the peer's state.
	awaiting      map[structs.InstanceID]bool
	stateReceived bool
	// nextPeer rotates the peers queried.
	nextPeer  int
	malformed uint64
	// encoded caches the tree's snapshot at offset encodedNext for replies.
	encoded     []byte
	encodedNext uint64
}

func (p *Proposer) receiveMessage(ev structs.PeerMessage) {
	switch msg := ev.Msg.(type) {
	case *structs.SettingsRequest:
		p.emit(structs.SendPeer{To: ev.From, Msg: p.stateReply(msg.Next)})
	case *structs.SettingsState:
		p.receiveState(ev.From, msg)
	case *structs.AppliedRequest:
		p.emit(structs.SendPeer{To: ev.From, Msg: &structs.AppliedReply{Request: msg.Request, Next: p.tree.Next()}})
	}
}

// stateReply returns the reply to a peer that has applied records up to peerNext.
func (p *Proposer) stateReply(peerNext uint64) *structs.SettingsState {
	next := p.tree.Next()
	if !p.catchUp.done {
		return &structs.SettingsState{}
	}
	if next <= peerNext {
		return &structs.SettingsState{Next: next}
	}
	if p.exchange.encoded == nil || p.exchange.encodedNext != next {
		data, err := p.tree.Snapshot()
		if err != nil {
			return &structs.SettingsState{}
		}
		p.exchange.encoded, p.exchange.encodedNext = data, next
	}
	return &structs.SettingsState{Next: next, State: p.exchange.encoded}
}

func (p *Proposer) receiveState(from structs.InstanceID, msg *structs.SettingsState) {
	if len(msg.State) > 0 {
		p.restoreState(msg.State)
	}
	x := &p.exchange
	if !x.awaiting[from] {
		return
	}
	delete(x.awaiting, from)
	if msg.Next > 0 && p.tree.Next() >= msg.Next {
		x.stateReceived = true
	}
	if len(x.awaiting) == 0 {
		p.endRound()
	}
}

// endRound completes the catch-up if a peer replied with its state.
func (p *Proposer) endRound() {
	c, x := &p.catchUp, &p.exchange
	if !c.done && x.stateReceived {
		c.done, c.source = true, sourcePeer
	}
	x.stateReceived, x.awaiting = false, nil
}

// advanceExchange starts rounds of requests while the log cannot provide the state.
func (p *Proposer) advanceExchange() {
	x, c := &p.exchange, &p.catchUp
	if !c.stuck() {
		x.wakeAt, x.awaiting, x.stateReceived = time.Time{}, nil, false
		return
	}
	if !x.wakeAt.IsZero() && p.now.Before(x.wakeAt) {
		return
	}
	p.endRound()
	if c.done {
		p.requestStates(maxRequests)
		x.wakeAt = p.now.Add(requestInterval)
		return
	}
	p.requestStates(maxStartupRequests)
	x.wakeAt = p.now.Add(startupRequestInterval)
}

// requestStates requests a newer state from the next peers, round-robin.
func (p *Proposer) requestStates(maxPeers int) {
	var others []structs.InstanceID
	for _, peer := range p.members.Peers() {
		if peer.ID != p.cfg.Self.ID {
			others = append(others, peer.ID)
		}
	}
	x := &p.exchange
	x.awaiting = make(map[structs.InstanceID]bool)
	for range min(maxPeers, len(others)) {
		to := others[x.nextPeer%len(others)]
		x.nextPeer++
		x.awaiting[to] = true
		p.emit(structs.SendPeer{To: to, Msg: &structs.SettingsRequest{Next: p.tree.Next()}})
	}
}
