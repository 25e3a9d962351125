package owner

import (
	"time"

	"github.com/banyanglade/banyanglade/internal/journal"
	"github.com/banyanglade/banyanglade/internal/structs"
)

// tenure tells how far this instance is with a shard.
type tenure string

// Tenures of a shard.
const (
	// tenureNone: not read, not owned.
	tenureNone tenure = "none"
	// tenureProbing: another instance should own it; its liveness is asked.
	tenureProbing tenure = "probing"
	// tenureLocating: reading the newest record, for the snapshot's offset.
	tenureLocating tenure = "locating"
	// tenureReplaying: reading up to the end of the stream.
	tenureReplaying tenure = "replaying"
	// tenureClaiming: the claim is not read back yet.
	tenureClaiming tenure = "claiming"
	// tenureOwned: this instance is the owner as far as it has read.
	tenureOwned tenure = "owned"
	// tenureLost: a newer claim was read; what was sent is still awaited
	// and recorded.
	tenureLost tenure = "lost"
)

// shard is the row of one shard at this instance.
type shard struct {
	o      *Owner
	id     structs.ShardID
	ref    structs.ShardRef
	stream string
	tenure tenure
	// epoch is the newest epoch that this instance won, 0 if none.
	epoch structs.Epoch
	state *journal.State
	// next is the next offset to read.
	next   uint64
	replay *replay
	app    appender
	// held are the messages that wait for the claim.
	held []*heldMessage
	// probed is the instance asked while probing; winner the instance that
	// took the shard from this one at lostAt.
	probed   structs.InstanceID
	newOwner structs.InstanceID
	lostAt   time.Time
	// claimedAt is when the claim was read back.
	claimedAt time.Time
	// ownedAt is when the shard was last known to be owned; see setOwnedAt.
	ownedAt  time.Time
	readDown bool
	// readFailures counts failed reads since the last that succeeded.
	readFailures int
	programs     map[structs.ProgramID]*program
	calls        int
	accounts     map[structs.Team]*account
	// pendingGrants holds the ledger grants not counted yet, pendingGrantAmounts their
	// sums by team path.
	pendingGrants       map[string]bool
	pendingGrantAmounts map[structs.Team]journal.Amount
	// claimWanted tells that the shard is to be claimed once read.
	claimWanted bool
	logTimer    *timer
	// snapshotting tells that a snapshot is on its way into the log,
	// snapshotAt when the newest one was taken.
	snapshotting bool
	// checkPending tells that a Check is on its way into the log, proofs what
	// waits for it; proving that the ownership was just proven.
	checkPending    bool
	verified        bool
	ownershipChecks []ownershipCheck
	snapshotAt      time.Time
	snapshotTimer   *timer
	purgeTimer      *timer
	// truncated tells that records were dropped unread, so that the state is not
	// complete.
	truncated bool
	// undecodable counts records that could not be decoded, void those refused.
	undecodable int
	void        int
}

// heldMessage is a Submit or ProgramRequest that waits for the claim.
type heldMessage struct {
	from     structs.InstanceID
	msg      structs.Message
	arrived  time.Time
	deadline *timer
}

func (o *Owner) refOf(id structs.ShardID) structs.ShardRef {
	return structs.ShardRef{Region: o.cfg.Self.Region, Shard: id}
}

// shardRow gives the row of a shard, made if missing.
func (o *Owner) shardRow(id structs.ShardID) *shard {
	s := o.shards[id]
	if s != nil {
		return s
	}
	ref := o.refOf(id)
	s = &shard{o: o, id: id, ref: ref, stream: ref.Stream(), tenure: tenureNone}
	s.reset()
	o.shards[id] = s
	o.streams[s.stream] = s
	return s
}

// reset forgets what was read and all live rows.
func (s *shard) reset() {
	s.state = journal.NewState()
	s.programs = make(map[structs.ProgramID]*program)
	for _, a := range s.accounts {
		s.o.timers.stop(a.timer)
	}
	s.accounts = make(map[structs.Team]*account)
	s.pendingGrants = make(map[string]bool)
	s.pendingGrantAmounts = make(map[structs.Team]journal.Amount)
	s.replay = nil
	s.next, s.epoch = 0, 0
	s.claimWanted, s.readDown, s.snapshotting, s.truncated = false, false, false, false
	s.checkPending, s.ownershipChecks = false, nil
	s.o.timers.stop(s.snapshotTimer)
	s.o.timers.stop(s.purgeTimer)
	s.app.stop()
	s.app = appender{s: s}
}

// owned tells whether calls may be taken.
func (s *shard) owned() bool { return s.tenure == tenureOwned }

// logDown tells whether the log is taken to be unreachable.
func (s *shard) logDown() bool { return s.readDown || s.app.stalled }

// verifiedRecently tells whether the shard was owned so recently that an owner which
// claimed since then still waits out the recovery time.
func (s *shard) verifiedRecently() bool {
	limit := s.o.cfg.RecoveryWait - s.o.cfg.SendWindow
	return !s.readDown && s.o.now.Sub(s.ownedAt) <= limit
}

func (s *shard) sortedPrograms() []*program {
	list := make([]*program, 0, len(s.programs))
	for _, id := range journal.SortedKeys(s.programs) {
		list = append(list, s.programs[id])
	}
	return list
}

// row gives the durable row of a program, nil if there is none.
func (s *shard) row(id structs.ProgramID) *journal.Program { return s.state.Programs[id] }
