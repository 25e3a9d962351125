package conversation

import (
	"context"
	"time"

	"github.com/banyanglade/banyanglade/internal/serve"
	"github.com/banyanglade/banyanglade/internal/structs"
)

// maxQueried bounds the instances queried for one partition. Each is tried
// after the previous one could not read the partition.
const maxQueried = 3

// lookupResult is the result of looking up a turn in one partition.
type lookupResult struct {
	outcome structs.ConversationOutcome
	turns   []structs.StoredTurn
	// partition holds the turns if they were found.
	partition int
}

// combineOutcomes combines the results of all partitions: the turn is found if
// any partition holds it, and unknown only if every partition was read.
func combineOutcomes(results []lookupResult) structs.ConversationOutcome {
	outcome := structs.ConversationUnknown
	for _, r := range results {
		switch r.outcome {
		case structs.ConversationFound:
			return structs.ConversationFound
		case structs.ConversationUnknown:
		default:
			outcome = structs.ConversationUnreadable
		}
	}
	return outcome
}

// History returns the text of a conversation up to and including a turn. It
// returns serve.ErrTurnNotFound if the turn does not exist and
// serve.ErrTurnUncertain if that could not be determined.
func (m *Manager) History(ctx context.Context, program, turn string) ([]byte, error) {
	if text, ok := m.conversationText(turn); ok {
		m.metrics.local.Inc(1)
		return text, nil
	}
	home := m.partitionOf(program)
	found := m.find(ctx, home, turn)
	m.metrics.remote.Inc(1)
	outcome := found.outcome
	if outcome != structs.ConversationFound {
		// The turn may belong to another program, in any partition.
		outcome = m.findElsewhere(ctx, home, found, turn)
	}
	if text, ok := m.conversationText(turn); ok {
		return text, nil
	}
	if outcome == structs.ConversationUnknown {
		m.metrics.unknown.Inc(1)
		m.log.Info("no such turn", "turn", turn, "program", program, "partition", home.number)
		return nil, serve.ErrTurnNotFound
	}
	m.metrics.uncertain.Inc(1)
	m.log.Info("turn not found for now", "turn", turn, "program", program, "partition", home.number,
		"home_outcome", int(found.outcome))
	return nil, serve.ErrTurnUncertain
}

// conversationText returns the text of a turn and its predecessors if all of
// them are in memory.
func (m *Manager) conversationText(id string) ([]byte, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	entries, ok := m.memory.liveChain(id, time.Now())
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

// find looks up a turn in one partition through its indexer.
func (m *Manager) find(ctx context.Context, p *partition, turn string) lookupResult {
	var exclude []structs.InstanceID
	for range maxQueried {
		id := m.indexer(p, exclude)
		if id == "" {
			break
		}
		found := m.findAt(ctx, id, p, turn)
		if found.outcome != structs.ConversationUnreadable || ctx.Err() != nil {
			return found
		}
		m.avoidInstance(id)
		exclude = append(exclude, id)
	}
	return lookupResult{outcome: structs.ConversationUnreadable}
}

// findAt looks up a turn at one instance and adds the turns found to memory.
func (m *Manager) findAt(ctx context.Context, id structs.InstanceID, p *partition, turn string) lookupResult {
	if id == m.self.ID {
		return m.findLocally(ctx, p, turn)
	}
	msg := m.query(ctx, id, func(number uint64) structs.Message {
		return &structs.ConversationRequest{Number: number, Partition: p.number, Turn: turn}
	})
	reply, ok := msg.(*structs.ConversationReply)
	if !ok {
		return lookupResult{outcome: structs.ConversationUnreadable}
	}
	if reply.Outcome == structs.ConversationFound {
		m.addTurns(reply.Turns, reply.Partition)
	}
	return lookupResult{reply.Outcome, reply.Turns, reply.Partition}
}

// findLocally looks up a turn in memory, then in the store.
func (m *Manager) findLocally(ctx context.Context, p *partition, turn string) lookupResult {
	if found, ok := m.findInMemory(turn); ok {
		return found
	}
	if err := m.catchUp(ctx, p); err != nil {
		return lookupResult{outcome: structs.ConversationUnreadable}
	}
	if found, ok := m.findInMemory(turn); ok {
		return found
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	e := m.memory.find(turn, time.Now())
	// A turn stored in another partition may be in memory without its
	// predecessors, which are known to that partition's indexer.
	if e != nil && e.storedIn(p.number) || p.corrupt[turn] {
		// A predecessor is missing or cannot be decoded, which violates the
		// package's invariant: the conversation exists but is incomplete.
		m.log.Error("conversation is not whole", "partition", p.number, "turn", turn)
		return lookupResult{outcome: structs.ConversationUnreadable}
	}
	return lookupResult{outcome: structs.ConversationUnknown}
}

// findInMemory looks up a turn and its predecessors in memory.
func (m *Manager) findInMemory(turn string) (lookupResult, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	entries, ok := m.memory.liveChain(turn, time.Now())
	if !ok {
		return lookupResult{}, false
	}
	newest := entries[len(entries)-1]
	return lookupResult{structs.ConversationFound, turnsOf(entries), newest.partitions[0]}, true
}

// findElsewhere looks up a turn in all partitions but the home partition, whose
// result is given.
func (m *Manager) findElsewhere(
	ctx context.Context, home *partition, homeResult lookupResult, turn string,
) structs.ConversationOutcome {
	results := make(chan lookupResult, len(m.partitions))
	for _, p := range m.partitions {
		if p != home {
			go func() { results <- m.find(ctx, p, turn) }()
		}
	}
	all := []lookupResult{homeResult}
	for range len(m.partitions) - 1 {
		result := <-results
		if result.outcome == structs.ConversationFound {
			return result.outcome
		}
		all = append(all, result)
	}
	return combineOutcomes(all)
}

// receiveLookup replies to another instance's lookup.
func (m *Manager) receiveLookup(from structs.InstanceID, msg *structs.ConversationRequest) {
	if msg.Partition < 0 || msg.Partition >= len(m.partitions) {
		m.log.Warn("lookup in an unknown partition ignored", "peer", from, "partition", msg.Partition)
		return
	}
	p := m.partitions[msg.Partition]
	if found, ok := m.findInMemory(msg.Turn); ok {
		m.peers.Send(from, found.reply(msg.Number))
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.spawn(func() {
		ctx, cancel := context.WithTimeout(m.ctx, replyTimeout)
		defer cancel()
		found := m.findLocally(ctx, p, msg.Turn)
		m.peers.Send(from, found.reply(msg.Number))
	})
}

func (r lookupResult) reply(number uint64) *structs.ConversationReply {
	return &structs.ConversationReply{
		Number: number, Outcome: r.outcome, Turns: r.turns, Partition: r.partition,
	}
}
