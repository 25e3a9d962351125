package conversation

import (
	"context"
	"time"

	"github.com/banyanglade/banyanglade/internal/serve"
	"github.com/banyanglade/banyanglade/internal/structs"
)

// maxAsked is how many instances are asked for one partition, each after one
// that could not read it.
const maxAsked = 3

// finding is what became of the search for a turn in one partition.
type finding struct {
	outcome structs.ConversationOutcome
	turns   []structs.StoredTurn
	// partition holds the turns, if they were found.
	partition int
}

// verdict is what the findings of all partitions together say: the turn is
// found if any partition holds it, and unknown only if every one was read.
func verdict(findings []finding) structs.ConversationOutcome {
	outcome := structs.ConversationUnknown
	for _, f := range findings {
		switch f.outcome {
		case structs.ConversationFound:
			return structs.ConversationFound
		case structs.ConversationUnknown:
		default:
			outcome = structs.ConversationUnreadable
		}
	}
	return outcome
}

// History is what a conversation holds up to and with a turn. It returns
// serve.ErrTurnNotFound if there is no such turn, serve.ErrTurnUncertain if that is not
// known.
func (k *Manager) History(ctx context.Context, program, turn string) ([]byte, error) {
	if text, ok := k.text(turn); ok {
		k.metrics.local.Inc(1)
		return text, nil
	}
	home := k.partitionOf(program)
	found := k.find(ctx, home, turn)
	k.metrics.asked.Inc(1)
	outcome := found.outcome
	if outcome != structs.ConversationFound {
		// The turn may be another program's, in any partition.
		outcome = k.findElsewhere(ctx, home, found, turn)
	}
	if text, ok := k.text(turn); ok {
		return text, nil
	}
	if outcome == structs.ConversationUnknown {
		k.metrics.unknown.Inc(1)
		k.log.Info("no such turn", "turn", turn, "program", program, "partition", home.number)
		return nil, serve.ErrTurnNotFound
	}
	k.metrics.uncertain.Inc(1)
	k.log.Info("turn not found for now", "turn", turn, "program", program, "partition", home.number,
		"home_outcome", int(found.outcome))
	return nil, serve.ErrTurnUncertain
}

// text joins a turn and all before it, if this instance has them.
func (k *Manager) text(id string) ([]byte, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	entries, ok := k.memory.chain(id, time.Now())
	if !ok {
		return nil, false
	}
	size := 0
	for _, e := range entries {
		size += len(e.Input) + len(e.Output)
	}
	text := make([]byte, 0, size)
	for _, e := range entries {
		text = append(text, e.Input...)
		text = append(text, e.Output...)
	}
	return text, true
}

// find looks for a turn in one partition, at the instance that indexes it.
func (k *Manager) find(ctx context.Context, p *partition, turn string) finding {
	var passOver []structs.InstanceID
	for range maxAsked {
		id := k.indexOf(p, passOver)
		if id == "" {
			break
		}
		found := k.findAt(ctx, id, p, turn)
		if found.outcome != structs.ConversationUnreadable || ctx.Err() != nil {
			return found
		}
		k.setUnable(id)
		passOver = append(passOver, id)
	}
	return finding{outcome: structs.ConversationUnreadable}
}

// findAt looks for a turn at one instance and remembers what it finds.
func (k *Manager) findAt(ctx context.Context, id structs.InstanceID, p *partition, turn string) finding {
	if id == k.self.ID {
		return k.findHere(ctx, p, turn)
	}
	answer := k.ask(ctx, id, func(number uint64) structs.Message {
		return &structs.ConversationRequest{Number: number, Partition: p.number, Turn: turn}
	})
	reply, ok := answer.(*structs.ConversationReply)
	if !ok {
		return finding{outcome: structs.ConversationUnreadable}
	}
	if reply.Outcome == structs.ConversationFound {
		k.learn(reply.Turns, reply.Partition)
	}
	return finding{reply.Outcome, reply.Turns, reply.Partition}
}

// findHere looks for a turn in memory, then in the store.
func (k *Manager) findHere(ctx context.Context, p *partition, turn string) finding {
	if found, ok := k.findInMemory(turn); ok {
		return found
	}
	if err := k.catchUp(ctx, p); err != nil {
		return finding{outcome: structs.ConversationUnreadable}
	}
	if found, ok := k.findInMemory(turn); ok {
		return found
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	e := k.memory.find(turn, time.Now())
	// A turn that another partition holds may be here without those before it:
	// whoever indexes that partition has them.
	if e != nil && e.in(p.number) || p.spoilt[turn] {
		// A turn before it is missing or cannot be read, which the invariant
		// rules out: the conversation exists, but not whole.
		k.log.Error("conversation is not whole", "partition", p.number, "turn", turn)
		return finding{outcome: structs.ConversationUnreadable}
	}
	return finding{outcome: structs.ConversationUnknown}
}

// findInMemory looks for a turn among those that this instance has.
func (k *Manager) findInMemory(turn string) (finding, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	entries, ok := k.memory.chain(turn, time.Now())
	if !ok {
		return finding{}, false
	}
	newest := entries[len(entries)-1]
	return finding{structs.ConversationFound, turnsOf(entries), newest.partitions[0]}, true
}

// findElsewhere looks for a turn in all partitions but one, whose finding is
// given.
func (k *Manager) findElsewhere(
	ctx context.Context, home *partition, found finding, turn string,
) structs.ConversationOutcome {
	findings := make(chan finding, len(k.partitions))
	for _, p := range k.partitions {
		if p != home {
			go func() { findings <- k.find(ctx, p, turn) }()
		}
	}
	all := []finding{found}
	for range len(k.partitions) - 1 {
		f := <-findings
		if f.outcome == structs.ConversationFound {
			return f.outcome
		}
		all = append(all, f)
	}
	return verdict(all)
}

// receiveRequest answers another instance's question.
func (k *Manager) receiveRequest(from structs.InstanceID, m *structs.ConversationRequest) {
	if m.Partition < 0 || m.Partition >= len(k.partitions) {
		k.log.Warn("question for an unknown partition ignored", "peer", from, "partition", m.Partition)
		return
	}
	p := k.partitions[m.Partition]
	if found, ok := k.findInMemory(m.Turn); ok {
		k.peers.Send(from, found.reply(m.Number))
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.spawn(func() {
		ctx, cancel := context.WithTimeout(k.ctx, replyTimeout)
		defer cancel()
		found := k.findHere(ctx, p, m.Turn)
		k.peers.Send(from, found.reply(m.Number))
	})
}

func (f finding) reply(number uint64) *structs.ConversationReply {
	return &structs.ConversationReply{
		Number: number, Outcome: f.outcome, Turns: f.turns, Partition: f.partition,
	}
}
