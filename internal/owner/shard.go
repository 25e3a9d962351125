package owner

import (
	"time"

	"github.com/banyanglade/banyanglade/internal/journal"
	"github.com/banyanglade/banyanglade/internal/structs"
)

// tenure is the state of a shard at this instance.
type tenure string

const (
	// tenureNone: neither read nor owned.
	tenureNone tenure = "none"
	// tenureProbing: another instance should own the shard and is being probed.
	tenureProbing tenure = "probing"
	// tenureLocating: reading the newest record, which holds the snapshot's
	// offset.
	tenureLocating tenure = "locating"
	// tenureReplaying: reading up to the end of the stream.
	tenureReplaying tenure = "replaying"
	// tenureClaiming: the claim was not read back yet.
	tenureClaiming tenure = "claiming"
	// tenureOwned: this instance owns the shard according to the records read.
	tenureOwned tenure = "owned"
	// tenureLost: a newer claim was read. Runs in progress are still awaited and
	// recorded.
	tenureLost tenure = "lost"
)

// shard is the state of one shard at this instance.
type shard struct {
	o      *Owner
	id     structs.ShardID
	ref    structs.ShardRef
	stream string
	tenure tenure
	// epoch is the newest epoch that this instance claimed, 0 if unset.
	epoch structs.Epoch
	state *journal.State
	// next is the next offset to read.
	next   uint64
	replay *replay
	app    appender
	// held holds the messages that wait for the claim.
	held []*heldMessage
	// probed is the instance being probed. newOwner is the instance that claimed
	// the shard from this one at lostAt.
	probed   structs.InstanceID
	newOwner structs.InstanceID
	lostAt   time.Time
	// claimedAt is when the claim was read back.
	claimedAt time.Time
	// ownedAt is the last time at which the shard is known to have been owned;
	// see setOwnedAt.
	ownedAt  time.Time
	readDown bool
	// readFailures counts consecutive failed reads.
	readFailures int
	programs     map[structs.ProgramID]*program
	calls        int
	accounts     map[structs.Team]*account
	// pendingGrants holds the ledger grants that are not committed yet,
	// pendingGrantAmounts their sums by team path.
	pendingGrants       map[string]bool
	pendingGrantAmounts map[structs.Team]journal.Amount
	// claimWanted indicates that the shard is to be claimed once read.
	claimWanted bool
	logTimer    *timer
	// snapshotting indicates that a snapshot is not committed yet. snapshotAt is
	// when the newest one was taken.
	snapshotting bool
	// checkPending indicates that a Check record is not committed yet, and
	// ownershipChecks holds the callbacks that wait for it. verified is set while
	// callbacks run for an ownership that was just verified.
	checkPending    bool
	verified        bool
	ownershipChecks []ownershipCheck
	snapshotAt      time.Time
	snapshotTimer   *timer
	purgeTimer      *timer
	// truncated indicates that the log dropped records before they were read, so
	// the state is incomplete.
	truncated bool
	// undecodable counts records that could not be decoded, void those without
	// effect.
	undecodable int
	void        int
}

// heldMessage is a message that waits for the claim or for a verification of
// ownership.
type heldMessage struct {
	from     structs.InstanceID
	msg      structs.Message
	arrived  time.Time
	deadline *timer
}

func (o *Owner) refOf(id structs.ShardID) structs.ShardRef {
	return structs.ShardRef{Region: o.cfg.Self.Region, Shard: id}
}

// ensureShard returns the state of a shard and creates it if missing.
func (o *Owner) ensureShard(id structs.ShardID) *shard {
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

// reset drops all state of the shard.
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

// owned reports whether calls may be accepted.
func (s *shard) owned() bool { return s.tenure == tenureOwned }

// logDown reports whether the log is considered unavailable.
func (s *shard) logDown() bool { return s.readDown || s.app.stalled }

// verifiedRecently reports whether the shard was owned so recently that an owner
// which claimed it since still waits for the recovery time.
func (s *shard) verifiedRecently() bool {
	maxAge := s.o.cfg.RecoveryWait - s.o.cfg.SendWindow
	return !s.readDown && s.o.now.Sub(s.ownedAt) <= maxAge
}

func (s *shard) sortedPrograms() []*program {
	list := make([]*program, 0, len(s.programs))
	for _, id := range journal.SortedKeys(s.programs) {
		list = append(list, s.programs[id])
	}
	return list
}

// row returns the durable state of a program, nil if it has none.
func (s *shard) row(id structs.ProgramID) *journal.Program { return s.state.Programs[id] }
