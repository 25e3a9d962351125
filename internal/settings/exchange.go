package settings

import (
	"time"

	"github.com/banyanglade/banyanglade/internal/structs"
)

// Timing of the questions to peers.
const (
	// startAskEvery is the time between two rounds of questions at the
	// start, and for how long a round waits for its answers.
	startAskEvery = time.Second
	// laterAskEvery is the time between two rounds while the log is down.
	laterAskEvery = 2 * time.Second
	// startAskPeers and laterAskPeers bound the peers asked in a round.
	startAskPeers = 32
	laterAskPeers = 3
)

// exchange asks peers for their state while the log gives none.
type exchange struct {
	// wake is the time of the next round, zero if none is wanted.
	wake time.Time
	// asked are the peers of the present round that have not answered, and
	// answered tells that one with a state has.
	asked    map[structs.InstanceID]bool
	answered bool
	// turn rotates the peers asked.
	turn      int
	malformed uint64
	// encoded is the tree's snapshot at encodedNext, for answers.
	encoded     []byte
	encodedNext uint64
}

func (p *Proposer) handlePeer(ev structs.PeerMessage) {
	switch msg := ev.Msg.(type) {
	case *structs.SettingsRequest:
		p.emit(structs.SendPeer{To: ev.From, Msg: p.stateFor(msg.Next)})
	case *structs.SettingsState:
		p.peerState(ev.From, msg)
	case *structs.AppliedRequest:
		p.emit(structs.SendPeer{To: ev.From, Msg: &structs.AppliedReply{Request: msg.Request, Next: p.tree.Next()}})
	}
}

// stateFor gives the state for a peer that has applied up to an offset.
func (p *Proposer) stateFor(have uint64) *structs.SettingsState {
	next := p.tree.Next()
	if !p.catchUp.done {
		return &structs.SettingsState{}
	}
	if next <= have {
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

func (p *Proposer) peerState(from structs.InstanceID, msg *structs.SettingsState) {
	if len(msg.State) > 0 {
		p.takeState(msg.State)
	}
	x := &p.exchange
	if !x.asked[from] {
		return
	}
	delete(x.asked, from)
	if msg.Next > 0 && p.tree.Next() >= msg.Next {
		x.answered = true
	}
	if len(x.asked) == 0 {
		p.endRound()
	}
}

// endRound ends the catch-up if a peer gave its state.
func (p *Proposer) endRound() {
	c, x := &p.catchUp, &p.exchange
	if !c.done && x.answered {
		c.done, c.source = true, sourcePeer
	}
	x.answered, x.asked = false, nil
}

// advanceExchange starts rounds of questions while they are wanted.
func (p *Proposer) advanceExchange() {
	x, c := &p.exchange, &p.catchUp
	if !c.stuck() {
		x.wake, x.asked, x.answered = time.Time{}, nil, false
		return
	}
	if !x.wake.IsZero() && p.now.Before(x.wake) {
		return
	}
	p.endRound()
	if c.done {
		p.ask(laterAskPeers)
		x.wake = p.now.Add(laterAskEvery)
		return
	}
	p.ask(startAskPeers)
	x.wake = p.now.Add(startAskEvery)
}

// ask asks the next peers in turn for a newer state.
func (p *Proposer) ask(most int) {
	var others []structs.InstanceID
	for _, peer := range p.members.Peers() {
		if peer.ID != p.cfg.Self.ID {
			others = append(others, peer.ID)
		}
	}
	x := &p.exchange
	x.asked = make(map[structs.InstanceID]bool)
	for range min(most, len(others)) {
		to := others[x.turn%len(others)]
		x.turn++
		x.asked[to] = true
		p.emit(structs.SendPeer{To: to, Msg: &structs.SettingsRequest{Next: p.tree.Next()}})
	}
}
