package journal

import (
	"slices"

	"github.com/banyanglade/banyanglade/internal/structs"
)

// State is what the counted records of a shard's stream amount to. It is the
// same for every reader that applied the stream up to Next.
type State struct {
	// Next is the offset after the last record applied.
	Next uint64
	// Epoch, Writer and Owner are those of the newest claim that won.
	Epoch  structs.Epoch
	Writer string
	Owner  structs.InstanceID
	// Snapshot is Header.Snapshot of the next records.
	Snapshot uint64
	Writers  map[string]*Writer
	Programs map[structs.ProgramID]*Program
	Ledgers  map[structs.Team]*Ledger
	Accounts map[structs.Team]*Account
	// Bytes is the size of all recorded answers.
	Bytes int64
	// TimeMS is the greatest time of any record, Unix milliseconds.
	TimeMS int64
}

// Writer is what was seen of one writer's records, to drop duplicates.
type Writer struct {
	// High is the greatest sequence number read from the log.
	High uint64
	// Ahead lists, in ascending order, the records applied by the writer
	// itself before they were read back.
	Ahead  []uint64
	TimeMS int64
}

// Program is the durable row of a program.
type Program struct {
	ID        structs.ProgramID
	Team      structs.Team
	Single    bool
	CreatedMS int64
	UpdatedMS int64
	Closed    bool
	Reason    structs.Reason
	Turns     int64
	// ServedNS is the attained service in nanoseconds of target time.
	ServedNS int64
	Lanes    map[structs.Lane]*Lane
	// Calls holds the idempotency records by key.
	Calls map[string]*Call
	// Open holds the runs that have an Intent or Started record and no Done
	// or Abandoned.
	Open map[structs.RunID]*OpenRun
	// Chunks holds the reservations for repeatable calls by epoch.
	Chunks map[structs.Epoch]*Chunk
	// Spent is the cost of all done calls; Direct the part of it that was
	// not spent from chunks.
	Spent  Amount
	Direct Amount
	// Placements holds the targets that may hold cache of the program.
	Placements map[structs.TargetID]*Placement
	Services   map[structs.ServiceName]bool
	// Epoch is that of the program's first record. It is the last field, as
	// new ones must be: records and snapshots hold fields by position.
	Epoch structs.Epoch
}

// Lane is the durable row of a lane.
type Lane struct {
	// Last is the number of the last call that was done.
	Last          uint64
	HistoryCount  int
	HistoryDigest structs.ChainDigest
	// RepeatDigest was sent RepeatCount times in a row.
	RepeatDigest structs.Digest
	RepeatCount  int
	// Skipped holds the numbers up to Last that were passed without a record
	// of their calls, in ascending order: these may have run.
	Skipped []Span
}

// Span is a range of call numbers, both ends included.
type Span struct {
	First uint64
	Last  uint64
}

// maxSpans bounds Lane.Skipped.
const maxSpans = 32

// skip notes the missing numbers before a call's. Beyond the bound the oldest
// two spans become one, which errs on the safe side: a number that is called
// skipped is never said not to have run.
func (l *Lane) skip(number uint64) {
	if number <= l.Last+1 {
		return
	}
	l.Skipped = append(l.Skipped, Span{First: l.Last + 1, Last: number - 1})
	if len(l.Skipped) > maxSpans {
		l.Skipped[1].First = l.Skipped[0].First
		l.Skipped = slices.Delete(l.Skipped, 0, 1)
	}
}

// HasSkipped tells whether a number was passed without a record of its call.
func (l *Lane) HasSkipped(number uint64) bool {
	return slices.ContainsFunc(l.Skipped, func(s Span) bool { return s.First <= number && number <= s.Last })
}

// Call is an idempotency record: a call that was done.
type Call struct {
	Run   structs.RunID
	Epoch structs.Epoch
	// Charged is the epoch whose reservations paid for the call.
	Charged       structs.Epoch
	TimeMS        int64
	Lane          structs.Lane
	Number        uint64
	Digest        structs.Digest
	NotRepeatable bool
	Cost          Amount
	Outcome       structs.Outcome
}

// OpenRun is a run whose end is not known.
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

// Chunk is what the owner of one epoch may spend, and did.
type Chunk struct {
	Reserved Amount
	Used     Amount
	Settled  bool
	// Writer reserved it; only that writer can settle it.
	Writer string
}

// Placement tells how much prefix cache a target held last.
type Placement struct {
	Service structs.ServiceName
	Tokens  int64
	TimeMS  int64
}

// NewState is the state of an empty stream.
func NewState() *State {
	return &State{
		Writers:  make(map[string]*Writer),
		Programs: make(map[structs.ProgramID]*Program),
		Ledgers:  make(map[structs.Team]*Ledger),
		Accounts: make(map[structs.Team]*Account),
	}
}

// Committed is the most that the program may have spent: an open chunk counts
// as spent until it is settled, and so does the hold of an open Intent.
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

// Lane gives the row of a lane, made if missing.
func (p *Program) Lane(name structs.Lane) *Lane {
	l := p.Lanes[name]
	if l == nil {
		l = new(Lane)
		p.Lanes[name] = l
	}
	return l
}

// OpenRuns lists the open runs in order of id.
func (p *Program) OpenRuns() []*OpenRun {
	runs := make([]*OpenRun, 0, len(p.Open))
	for _, id := range SortedKeys(p.Open) {
		runs = append(runs, p.Open[id])
	}
	return runs
}

// SortedKeys lists a table's keys in order, so that no decision depends on the
// order of a map.
func SortedKeys[K ~string | ~uint64 | ~uint16, V any](m map[K]V) []K {
	keys := make([]K, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}
