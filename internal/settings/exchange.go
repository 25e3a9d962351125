package settings

import (
	"time"

	"github.com/banyanglade/banyanglade/internal/structs"
)

// Timing of the questions to peers.
const (
	// startupRequestInterval is the time between two rounds of questions at the
	// start, and for how long a round waits for its answers.
	startupRequestInterval = time.Second
	// requestInterval is the time between two rounds while the log is down.
	requestInterval = 2 * time.Second
	// maxStartupRequests and maxRequests bound the peers asked in a round.
	maxStartupRequests = 32
	maxRequests        = 3
)

// exchange asks peers for their state while the log gives none.
type exchange struct {
	// wakeAt is the time of the next round, zero if none is wanted.
	wakeAt time.Time
	// awaiting are the peers of the present round that have not answered, and
	// answered tells that one with a state has.
	awaiting      map[structs.InstanceID]bool
	stateReceived bool
	// nextPeer rotates the peers asked.
	nextPeer  int
	malformed uint64
	// encoded is the tree's snapshot at encodedNext, for answers.
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

// stateReply gives the state for a peer that has applied up to an offset.
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

// endRound ends the catch-up if a peer gave its state.
func (p *Proposer) endRound() {
	c, x := &p.catchUp, &p.exchange
	if !c.done && x.stateReceived {
		c.done, c.source = true, sourcePeer
	}
	x.stateReceived, x.awaiting = false, nil
}

// advanceExchange starts rounds of questions while they are wanted.
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

// requestStates asks the next peers in turn for a newer state.
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
