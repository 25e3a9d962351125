package settings

import (
	"time"

	"github.com/banyanglade/banyanglade/internal/structs"
	"github.com/banyanglade/banyanglade/internal/wire"
)

// appendIDBit is set in the append ids of this component and in no other's.
const appendIDBit = structs.AppendID(1) << 63

// Proposer keeps a Tree up to date from the log, publishes the changes of
// operators and tells them what became of them. It starts with the first Tick.
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

// NewProposer returns a Proposer that alone changes the tree. The members tell
// whom to ask while the log is down and who writes snapshots.
func NewProposer(cfg structs.InstanceConfig, tree *Tree, members structs.Members) *Proposer {
	return &Proposer{cfg: cfg, tree: tree, members: members, pending: make(map[string]*proposal)}
}

// CaughtUp tells whether the tree was as new as the log at some time since the
// start, or as the newest peer if the log was down. It stays true.
func (p *Proposer) CaughtUp() bool { return p.catchUp.done }

// Next is the offset of the next settings record to apply.
func (p *Proposer) Next() uint64 { return p.tree.Next() }

// Tick takes in events that happened by now and gives the commands that follow.
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

// append asks for records to be appended and gives the id of the append.
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

// NextWake gives the time of the earliest timer, zero if there is none.
func (p *Proposer) NextWake() time.Time {
	next := earliest(p.exchange.wakeAt, p.checkpoint.wakeAt)
	for _, proposal := range p.pending {
		next = earliest(next, earliest(proposal.deadline, proposal.retryAt))
	}
	return next
}

// earliest gives the earlier of two times, of which zero means never.
func earliest(a, b time.Time) time.Time {
	if a.IsZero() || !b.IsZero() && b.Before(a) {
		return b
	}
	return a
}

// recordTime is the log's time of a record, but never after now.
func (p *Proposer) recordTime(record wire.LogRecord) time.Time {
	at := time.UnixMilli(record.TimeMS)
	if at.After(p.now) {
		return p.now
	}
	return at
}
