package journal

import (
	"slices"

	"github.com/banyanglade/banyanglade/internal/structs"
)

// State is the result of applying a shard's stream up to Next. It is the same for
// every reader.
type State struct {
	// Next is the offset after the last record read.
	Next uint64
	// Epoch, Writer and Owner are those of the newest winning claim.
	Epoch  structs.Epoch
	Writer string
	Owner  structs.InstanceID
	// Snapshot is the value of Header.Snapshot for the next records.
	Snapshot uint64
	Writers  map[string]*Writer
	Programs map[structs.ProgramID]*Program
	Ledgers  map[structs.Team]*Ledger
	Accounts map[structs.Team]*Account
	// Bytes is the size of all recorded outcomes.
	Bytes int64
	// TimeMS is the maximum time of any record, in Unix milliseconds.
	TimeMS int64
}

// Writer tracks the sequence numbers of one writer to drop duplicates.
type Writer struct {
	// High is the maximum sequence number read from the log.
	High uint64
	// Ahead lists, in ascending order, the sequence numbers of records that
	// the writer applied before reading them back.
	Ahead  []uint64
	TimeMS int64
}

// Program is the durable state of a program.
type Program struct {
	ID        structs.ProgramID
	Team      structs.Team
	Single    bool
	CreatedMS int64
	UpdatedMS int64
	Closed    bool
	Reason    structs.Reason
	Turns     int64
	// ServedNS is the attained service: target time in nanoseconds.
	ServedNS int64
	Lanes    map[structs.Lane]*Lane
	// Calls holds the idempotency records by key.
	Calls map[string]*Call
	// Open holds the runs that have an Intent or Started record but no Done
	// or Abandoned record.
	Open map[structs.RunID]*OpenRun
	// Chunks holds the reservations for repeatable calls by epoch.
	Chunks map[structs.Epoch]*Chunk
	// Spent is the cost of all completed calls. Direct is the part of it that
	// was not charged to chunks.
	Spent  Amount
	Direct Amount
	// Placements holds the targets that may hold cache of the program.
	Placements map[structs.TargetID]*Placement
	Services   map[structs.ServiceName]bool
	// Epoch is the epoch of the program's first record. New fields must be
	// appended at the end: records and snapshots encode fields by position.
	Epoch structs.Epoch
}

// Lane is the durable state of a lane.
type Lane struct {
	// Last is the highest number of a completed call.
	Last          uint64
	HistoryCount  int
	HistoryDigest structs.ChainDigest
	// RepeatDigest is the digest of the last call, completed RepeatCount times
	// in a row.
	RepeatDigest structs.Digest
	RepeatCount  int
	// Skipped holds, in ascending order, the numbers below Last without a
	// record of their call. These calls may have run.
	Skipped []Span
}

// Span is a range of call numbers, both ends included.
type Span struct {
	First uint64
	Last  uint64
}

// maxSkippedSpans bounds Lane.Skipped.
const maxSkippedSpans = 32

// recordSkipped records the numbers missing between Last and a call's number.
// Above maxSkippedSpans the two oldest spans are merged. This is safe: a number
// wrongly listed as skipped is only treated as one that may have run.
func (l *Lane) recordSkipped(number uint64) {
	if number <= l.Last+1 {
		return
	}
	l.Skipped = append(l.Skipped, Span{First: l.Last + 1, Last: number - 1})
	if len(l.Skipped) > maxSkippedSpans {
		l.Skipped[1].First = l.Skipped[0].First
		l.Skipped = slices.Delete(l.Skipped, 0, 1)
	}
}

// HasSkipped reports whether a number was skipped without a record of its call.
func (l *Lane) HasSkipped(number uint64) bool {
	return slices.ContainsFunc(l.Skipped, func(s Span) bool { return s.First <= number && number <= s.Last })
}

// Call is the idempotency record of a completed call.
type Call struct {
	Run   structs.RunID
	Epoch structs.Epoch
	// Charged is the epoch whose reservations the call was charged to.
	Charged       structs.Epoch
	TimeMS        int64
	Lane          structs.Lane
	Number        uint64
	Digest        structs.Digest
	NotRepeatable bool
	Cost          Amount
	Outcome       structs.Outcome
}

// OpenRun is a run without a known outcome.
type OpenRun struct {
	CallID
	Epoch         structs.Epoch
	TimeMS        int64
	Service       structs.ServiceName
	Target        structs.TargetID
	NotRepeatable bool
	Hold          Amount
	HistoryCount  int
	HistoryDigest structs.ChainDigest
}

// Chunk is the amount that the owner of one epoch reserved and used.
type Chunk struct {
	Reserved Amount
	Used     Amount
	Settled  bool
	// Writer made the reservation; only that writer can settle it.
	Writer string
}

// Placement is the last known prefix cache of a program at a target.
type Placement struct {
	Service structs.ServiceName
	Tokens  int64
	TimeMS  int64
}

// NewState returns the state of an empty stream.
func NewState() *State {
	return &State{
		Writers:  make(map[string]*Writer),
		Programs: make(map[structs.ProgramID]*Program),
		Ledgers:  make(map[structs.Team]*Ledger),
		Accounts: make(map[structs.Team]*Account),
	}
}

// Committed returns the maximum that the program may have spent: a chunk counts
// as spent until it is settled, and so does the hold of an open run.
func (p *Program) Committed() Amount {
	sum := p.Direct
	for _, c := range p.Chunks {
		if c.Settled {
			sum = sum.Add(c.Used)
		} else {
			sum = sum.Add(c.Reserved.Max(c.Used))
		}
	}
	for _, run := range p.Open {
		sum = sum.Add(run.Hold)
	}
	return sum
}

// Lane returns the state of a lane and creates it if missing.
func (p *Program) Lane(name structs.Lane) *Lane {
	l := p.Lanes[name]
	if l == nil {
		l = new(Lane)
		p.Lanes[name] = l
	}
	return l
}

// OpenRuns returns the open runs ordered by id.
func (p *Program) OpenRuns() []*OpenRun {
	runs := make([]*OpenRun, 0, len(p.Open))
	for _, id := range SortedKeys(p.Open) {
		runs = append(runs, p.Open[id])
	}
	return runs
}

// SortedKeys returns the keys of a map in order, so that no decision depends on
// map iteration order.
func SortedKeys[K ~string | ~uint64 | ~uint16, V any](m map[K]V) []K {
	keys := make([]K, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}
