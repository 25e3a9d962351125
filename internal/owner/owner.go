package owner

import (
	"strconv"
	"time"

	"github.com/banyanglade/banyanglade/internal/journal"
	"github.com/banyanglade/banyanglade/internal/structs"
)

// Owner holds the tables of the shards of this instance.
type Owner struct {
	cfg      structs.InstanceConfig
	members  structs.Members
	settings structs.Settings
	// writer is the nonce of this incarnation in journal records.
	writer string

	now time.Time
	// tickedAt is the time of the last tick, resumedAt that of the last one
	// before which this process may have been paused.
	tickedAt  time.Time
	resumedAt time.Time
	out       []structs.Command
	timers    timers

	shards  map[structs.ShardID]*shard
	streams map[string]*shard
	appends map[structs.AppendID]*shard
	// sequences holds the last sequence number used in each shard's stream.
	// It outlives the shard's row, since an append of an earlier tenure may
	// still take effect.
	sequences map[structs.ShardID]uint64
	requests  map[structs.RequestID]*call
	runs      map[structs.RunID]*call
	pools     map[structs.PoolID]*pool
	asks      map[structs.RunID]*ask

	// tokens limits the rate of appends, refilled at the last one.
	tokens     float64
	refilled   time.Time
	lastAppend uint64
	lastRun    uint64
	draining   bool
	// heartbeat keeps the ticks close together; see watchPause.
	heartbeat *timer
	// inspected holds the shards that were read for owed work since this
	// instance became first for them; inspecting is the next look.
	inspected  map[structs.ShardID]bool
	inspecting *timer
	// snapshotEvery is the number of records between two snapshots.
	snapshotEvery uint64
}

// New makes an owner that owns no shard yet.
func New(cfg structs.InstanceConfig, members structs.Members, settings structs.Settings) *Owner {
	return &Owner{
		cfg: cfg, members: members, settings: settings,
		writer:        string(cfg.Self.ID) + "." + cfg.Incarnation,
		snapshotEvery: snapshotRecords,
		shards:        make(map[structs.ShardID]*shard),
		streams:       make(map[string]*shard),
		appends:       make(map[structs.AppendID]*shard),
		sequences:     make(map[structs.ShardID]uint64),
		requests:      make(map[structs.RequestID]*call),
		runs:          make(map[structs.RunID]*call),
		pools:         make(map[structs.PoolID]*pool),
		asks:          make(map[structs.RunID]*ask),
		inspected:     make(map[structs.ShardID]bool),
	}
}

// Tick takes the events in order, fires the timers that are due and gives the
// commands that follow.
func (o *Owner) Tick(now time.Time, events []structs.Event) []structs.Command {
	o.now = now
	o.out = nil
	o.noticePause()
	for _, ev := range events {
		o.handle(ev)
	}
	for tm := o.timers.due(now); tm != nil; tm = o.timers.due(now) {
		tm.fire()
	}
	return o.out
}

// NextWake gives the time of the earliest timer, zero if there is none.
func (o *Owner) NextWake() time.Time { return o.timers.next() }

// InFlight counts the calls held and the journal records not yet in the log.
func (o *Owner) InFlight() int {
	n := len(o.requests)
	for _, s := range o.shards {
		n += len(s.held) + s.app.unfenced()
	}
	return n
}

func (o *Owner) handle(ev structs.Event) {
	switch e := ev.(type) {
	case structs.PeerMessage:
		o.handleMessage(e.From, e.Msg)
	case structs.LogRead:
		o.onLogRead(e)
	case structs.LogReadFailed:
		o.onLogReadFailed(e)
	case structs.LogAppended:
		delete(o.appends, e.ID)
	case structs.LogAppendFailed:
		o.onAppendFailed(e)
	case structs.RunChunk:
		o.onRunChunk(e)
	case structs.RunEnded:
		o.onRunEnded(e)
	case structs.OutcomeQueried:
		o.onOutcomeAsked(e)
	case structs.CacheReleased:
		o.onCacheReleased(e)
	case structs.PeerUp:
		o.onPeerUp(e.Peer)
	case structs.PeerDown:
		o.onPeerDown(e.Peer)
	case structs.MembersListed:
		o.onMembers()
	case structs.DrainStart:
		o.onDrain()
	}
}

func (o *Owner) handleMessage(from structs.InstanceID, msg structs.Message) {
	switch m := msg.(type) {
	case *structs.Submit:
		o.onSubmit(from, m)
	case *structs.Withdraw:
		o.onWithdraw(m)
	case *structs.ProgramRequest:
		o.onProgramRequest(from, m)
	case *structs.BudgetRequest:
		o.onBudgetRequest(from, m)
	case *structs.BudgetGrant:
		o.onBudgetGrant(m)
	case *structs.BudgetReturn:
		o.onBudgetReturn(m)
	case *structs.PermitQueued:
		o.onPermitQueued(from, m)
	case *structs.PermitGrant:
		o.onPermitGrant(from, m)
	case *structs.PermitRefuse:
		o.onPermitRefuse(from, m)
	}
}

func (o *Owner) emit(cmd structs.Command) { o.out = append(o.out, cmd) }

func (o *Owner) send(to structs.InstanceID, msg structs.Message) {
	o.emit(structs.SendPeer{To: to, Msg: msg})
}

// after sets a timer.
func (o *Owner) after(d time.Duration, fire func()) *timer {
	return o.timers.set(o.now.Add(d), fire)
}

// newRun makes a run id. It is a path segment at engines, so it has no slash.
func (o *Owner) newRun() structs.RunID {
	o.lastRun++
	return structs.RunID(o.writer + "." + strconv.FormatUint(o.lastRun, 10))
}

func (o *Owner) sortedShards() []*shard {
	list := make([]*shard, 0, len(o.shards))
	for _, id := range journal.SortedKeys(o.shards) {
		list = append(list, o.shards[id])
	}
	return list
}
