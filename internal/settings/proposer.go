package settings

import (
	"time"

	"github.com/banyanglade/banyanglade/internal/structs"
	"github.com/banyanglade/banyanglade/internal/wire"
)

// appendIDBit is set only in the append ids of this component.
const appendIDBit = structs.AppendID(1) << 63

// Proposer keeps a Tree up to date from the log, publishes the changes of operators
// and reports their results. It starts with the first Tick.
type Proposer struct {
	cfg     structs.InstanceConfig
	tree    *Tree
	members structs.Members

	now     time.Time
	out     []structs.Command
	started bool
	appends structs.AppendID

	catchUp    catchUp
	exchange   exchange
	checkpoint checkpoint
	pending    map[string]*proposal
}

// NewProposer returns a Proposer for a tree that nothing else may change. The members
// determine which peers to query while the log is unavailable and which instance
// writes snapshots.
func NewProposer(cfg structs.InstanceConfig, tree *Tree, members structs.Members) *Proposer {
	return &Proposer{cfg: cfg, tree: tree, members: members, pending: make(map[string]*proposal)}
}

// CaughtUp reports whether since the start the tree was ever as new as the log, or as
// the newest peer if the log was unavailable. It stays true.
func (p *Proposer) CaughtUp() bool { return p.catchUp.done }

// Next returns the offset of the next settings record to apply.
func (p *Proposer) Next() uint64 { return p.tree.Next() }

// Tick processes the events that occurred by now and returns the resulting commands.
func (p *Proposer) Tick(now time.Time, events []structs.Event) []structs.Command {
	p.now, p.out = now, nil
	if !p.started {
		p.started = true
		p.tail(p.tree.Next())
	}
	for _, ev := range events {
		p.handle(ev)
	}
	p.replyToApplied()
	p.advancePending()
	p.advanceExchange()
	p.advanceCheckpoint()
	return p.out
}

func (p *Proposer) handle(ev structs.Event) {
	switch ev := ev.(type) {
	case structs.SettingsPropose:
		p.propose(ev)
	case structs.LogRead:
		if ev.Stream == structs.SettingsStream {
			p.logRead(ev)
		}
	case structs.LogReadFailed:
		if ev.Stream == structs.SettingsStream {
			p.logReadFailed(ev)
		}
	case structs.LogAppended:
		p.appended(ev.ID)
	case structs.LogAppendFailed:
		p.appendFailed(ev.ID, ev.Refused)
	case structs.PeerMessage:
		p.receiveMessage(ev)
	}
}

func (p *Proposer) appended(id structs.AppendID) {
	if id == p.checkpoint.inFlight {
		p.checkpoint.inFlight = 0
	}
	if proposal := p.proposalOf(id); proposal != nil {
		proposal.appended()
	}
}

func (p *Proposer) appendFailed(id structs.AppendID, refused bool) {
	if id == p.checkpoint.inFlight {
		p.checkpoint.writeFailed(p.now, p.retention())
	}
	if proposal := p.proposalOf(id); proposal != nil {
		p.proposalFailed(proposal, refused)
	}
}

// append emits an append of records and returns its id.
func (p *Proposer) append(records ...[]byte) structs.AppendID {
	p.appends++
	id := p.appends | appendIDBit
	p.emit(structs.LogAppend{ID: id, Stream: structs.SettingsStream, Records: records})
	return id
}

func (p *Proposer) emit(cmd structs.Command) { p.out = append(p.out, cmd) }

func (p *Proposer) retention() time.Duration {
	if p.cfg.Retention <= 0 {
		return structs.DefaultInstanceConfig(p.cfg.Self, "").Retention
	}
	return p.cfg.Retention
}

// NextWake returns the time of the earliest timer, zero if there is none.
func (p *Proposer) NextWake() time.Time {
	next := earliest(p.exchange.wakeAt, p.checkpoint.wakeAt)
	for _, proposal := range p.pending {
		next = earliest(next, earliest(proposal.deadline, proposal.retryAt))
	}
	return next
}

// earliest returns the earlier of two times, where zero means never.
func earliest(a, b time.Time) time.Time {
	if a.IsZero() || !b.IsZero() && b.Before(a) {
		return b
	}
	return a
}

// recordTime returns the log's time of a record, at most now.
func (p *Proposer) recordTime(record wire.LogRecord) time.Time {
	at := time.UnixMilli(record.TimeMS)
	if at.After(p.now) {
		return p.now
	}
	return at
}
