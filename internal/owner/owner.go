package owner

import (
	"strconv"
	"time"

	"github.com/banyanglade/banyanglade/internal/journal"
	"github.com/banyanglade/banyanglade/internal/structs"
)

// Owner holds the state of the shards of this instance.
type Owner struct {
	cfg      structs.InstanceConfig
	members  structs.Members
	settings structs.Settings
	// writer identifies this incarnation in journal records.
	writer string

	now time.Time
	// lastTick is the time of the last tick. resumedAt is the time of the last
	// tick before which this process may have been paused.
	lastTick  time.Time
	resumedAt time.Time
	commands  []structs.Command
	timers    timers

	shards  map[structs.ShardID]*shard
	streams map[string]*shard
	appends map[structs.AppendID]*shard
	// sequences holds the last sequence number used in each shard's stream. It
	// outlives the shard's state, since an append of an earlier tenure may still
	// take effect.
	sequences      map[structs.ShardID]uint64
	requests       map[structs.RequestID]*call
	runs           map[structs.RunID]*call
	pools          map[structs.PoolID]*pool
	outcomeQueries map[structs.RunID]*outcomeQuery

	// appendTokens is the token bucket that limits the rate of appends. It was
	// refilled last at refilledAt.
	appendTokens float64
	refilledAt   time.Time
	lastAppend   uint64
	lastRun      uint64
	draining     bool
	// heartbeatTimer limits the time between two ticks; see scheduleHeartbeat.
	heartbeatTimer *timer
	// inspected holds the shards that were read for pending work since this
	// instance became their preferred owner. inspectTimer fires at the next
	// inspection.
	inspected    map[structs.ShardID]bool
	inspectTimer *timer
	// snapshotInterval is the number of records between two snapshots.
	snapshotInterval uint64
}

// New returns an owner without any shard.
func New(cfg structs.InstanceConfig, members structs.Members, settings structs.Settings) *Owner {
	return &Owner{
		cfg: cfg, members: members, settings: settings,
		writer:           string(cfg.Self.ID) + "." + cfg.Incarnation,
		snapshotInterval: defaultSnapshotInterval,
		shards:           make(map[structs.ShardID]*shard),
		streams:          make(map[string]*shard),
		appends:          make(map[structs.AppendID]*shard),
		sequences:        make(map[structs.ShardID]uint64),
		requests:         make(map[structs.RequestID]*call),
		runs:             make(map[structs.RunID]*call),
		pools:            make(map[structs.PoolID]*pool),
		outcomeQueries:   make(map[structs.RunID]*outcomeQuery),
		inspected:        make(map[structs.ShardID]bool),
	}
}

// Tick handles the events in order, fires the timers that are due and returns the
// resulting commands.
func (o *Owner) Tick(now time.Time, events []structs.Event) []structs.Command {
	o.now = now
	o.commands = nil
	o.detectPause()
	for _, ev := range events {
		o.handle(ev)
	}
	for tm := o.timers.due(now); tm != nil; tm = o.timers.due(now) {
		tm.fire()
	}
	return o.commands
}

// NextWake returns the time of the earliest timer, zero if no timer is set.
func (o *Owner) NextWake() time.Time { return o.timers.next() }

// InFlight returns the number of live calls, held messages and journal records
// not yet in the log.
func (o *Owner) InFlight() int {
	n := len(o.requests)
	for _, s := range o.shards {
		n += len(s.held) + s.app.unfencedCount()
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
		o.onOutcomeQueried(e)
	case structs.CacheReleased:
		o.onCacheReleased(e)
	case structs.PeerUp:
		o.onPeerUp(e.Peer)
	case structs.PeerDown:
		o.onPeerDown(e.Peer)
	case structs.MembersListed:
		o.onMembersListed()
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

func (o *Owner) emit(cmd structs.Command) { o.commands = append(o.commands, cmd) }

func (o *Owner) send(to structs.InstanceID, msg structs.Message) {
	o.emit(structs.SendPeer{To: to, Msg: msg})
}

// after sets a timer that fires after d.
func (o *Owner) after(d time.Duration, fire func()) *timer {
	return o.timers.set(o.now.Add(d), fire)
}

// newRun returns a new run id. Engines use it as a path segment, so it contains
// no slash.
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
