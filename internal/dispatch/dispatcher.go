package dispatch

import (
	"cmp"
	"iter"
	"slices"
	"time"

	"github.com/banyanglade/banyanglade/internal/structs"
)

// Dispatcher queues the calls of all pools whose requests reach this instance.
// It is not safe for concurrent use.
type Dispatcher struct {
	config   structs.InstanceConfig
	members  structs.Members
	settings structs.Settings

	// epoch is the time of the first tick; queue keys are relative to it.
	epoch time.Time
	now   time.Time
	// pools is sorted by ID.
	pools   []*pool
	calls   map[structs.RunID]*call
	ended   endedRuns
	timers  timerHeap
	watched []structs.Target
	// commands are those emitted so far in the current tick.
	commands []structs.Command
}

// New returns a Dispatcher without pools.
func New(cfg structs.InstanceConfig, members structs.Members, settings structs.Settings) *Dispatcher {
	return &Dispatcher{
		config: cfg, members: members, settings: settings,
		calls: make(map[structs.RunID]*call),
		ended: newEndedRuns(),
	}
}

// Tick processes events and returns the resulting commands.
func (d *Dispatcher) Tick(now time.Time, events []structs.Event) []structs.Command {
	if d.epoch.IsZero() {
		d.epoch = now
	}
	d.now = now
	d.commands = nil
	d.refreshPools(now)
	for _, event := range events {
		d.handle(now, event)
	}
	d.expireCalls(now)
	for _, p := range d.pools {
		d.maintain(now, p)
		d.grantWaiting(now, p)
	}
	d.dropIdlePools(now)
	d.watchTargets()
	return d.commands
}

func (d *Dispatcher) handle(now time.Time, event structs.Event) {
	switch e := event.(type) {
	case structs.PeerMessage:
		d.handleMessage(now, e.From, e.Msg)
	case structs.PeerDown:
		d.handlePeerDown(now, e.Peer)
	case structs.MembersListed:
		for _, p := range d.pools {
			p.refreshTargets(now, d.members)
		}
	case structs.TargetLoad:
		d.withTarget(e.Target, func(p *pool, t *target) { t.applyLoad(now, p, e.Load) })
	case structs.TargetUnreachable:
		d.withTarget(e.Target, func(p *pool, t *target) { p.recordFailure(now, t) })
	case structs.TargetCache:
		d.withTarget(e.Target, func(p *pool, t *target) { p.applyCacheEvents(now, t, e) })
	case structs.CacheReleased:
		d.withTarget(e.Target, func(p *pool, t *target) { p.confirmRelease(now, t, e) })
	}
}

func (d *Dispatcher) handleMessage(now time.Time, from structs.InstanceID, msg structs.Message) {
	switch m := msg.(type) {
	case *structs.PermitRequest:
		d.handleRequest(now, from, m)
	case *structs.PermitCancel:
		d.handleCancel(now, m)
	case *structs.PermitFinish:
		d.handleFinish(now, m)
	case *structs.ProgramEnded:
		if p := d.findPool(m.Pool); p != nil {
			p.endProgram(now, m.Program)
		}
	}
}

func (d *Dispatcher) emit(command structs.Command) { d.commands = append(d.commands, command) }

func (d *Dispatcher) send(to structs.InstanceID, msg structs.Message) {
	d.emit(structs.SendPeer{To: to, Msg: msg})
}

// Waiting returns the number of waiting calls in all pools.
func (d *Dispatcher) Waiting() int {
	count := 0
	for _, p := range d.pools {
		count += p.queue.size
	}
	return count
}

// NextWake returns the time of the earliest timer, zero if none is set.
func (d *Dispatcher) NextWake() time.Time {
	var next time.Time
	if len(d.timers) > 0 {
		next = d.timers[0].timerAt
	}
	for _, p := range d.pools {
		next = earliest(next, p.wakeAt)
		next = earliest(next, p.maintainAt)
	}
	return next
}

// earliest returns the earlier of two times; zero means unset.
func earliest(a, b time.Time) time.Time {
	if a.IsZero() || (!b.IsZero() && b.Before(a)) {
		return b
	}
	return a
}

func (d *Dispatcher) findPool(id structs.PoolID) *pool {
	if i, ok := d.searchPool(id); ok {
		return d.pools[i]
	}
	return nil
}

// poolFor returns the pool with the given ID, creating it if needed.
func (d *Dispatcher) poolFor(now time.Time, id structs.PoolID) *pool {
	i, ok := d.searchPool(id)
	if ok {
		return d.pools[i]
	}
	p := newPool(id, d.serviceSettings(id.Service))
	p.refreshTargets(now, d.members)
	d.pools = slices.Insert(d.pools, i, p)
	return p
}

func (d *Dispatcher) searchPool(id structs.PoolID) (int, bool) {
	return slices.BinarySearchFunc(d.pools, id, func(p *pool, id structs.PoolID) int {
		return cmp.Or(cmp.Compare(p.id.Service, id.Service), cmp.Compare(p.id.Region, id.Region))
	})
}

// serviceSettings returns the settings of a service, or the defaults if it is
// not configured.
func (d *Dispatcher) serviceSettings(name structs.ServiceName) structs.Service {
	if service, ok := d.settings.Service(name); ok {
		return service
	}
	return structs.DefaultService(name, structs.ServicePlain)
}

func (d *Dispatcher) withTarget(id structs.TargetID, fn func(*pool, *target)) {
	for _, p := range d.pools {
		if t := p.target(id); t != nil {
			fn(p, t)
		}
	}
}

// refreshPools applies changed settings, and refreshes the targets of each pool
// periodically.
func (d *Dispatcher) refreshPools(now time.Time) {
	for _, p := range d.pools {
		p.setService(d.serviceSettings(p.id.Service))
		if now.Sub(p.refreshedAt) >= membersRefreshInterval {
			p.refreshTargets(now, d.members)
		}
	}
}

// dropIdlePools removes idle pools that are assigned to another dispatcher.
func (d *Dispatcher) dropIdlePools(now time.Time) {
	d.pools = slices.DeleteFunc(d.pools, func(p *pool) bool {
		if p.busy() || now.Sub(p.usedAt) < poolIdleTimeout {
			return false
		}
		self, ok := d.members.DispatcherOf(p.id)
		return !ok || self != d.config.Self.ID
	})
}

// watchTargets subscribes to the load and cache events of all listed targets.
func (d *Dispatcher) watchTargets() {
	if d.watchListCurrent() {
		return
	}
	d.watched = nil
	for t := range d.listedTargets() {
		d.watched = append(d.watched, t.info)
	}
	d.emit(structs.WatchTargets{Targets: slices.Clone(d.watched)})
}

// watchListCurrent reports whether the watched targets are exactly the listed
// ones. It runs on every tick and does not allocate.
func (d *Dispatcher) watchListCurrent() bool {
	n := 0
	for t := range d.listedTargets() {
		if n == len(d.watched) || d.watched[n] != t.info {
			return false
		}
		n++
	}
	return n == len(d.watched)
}

// listedTargets returns the targets of all pools that are still in the
// membership, in order.
func (d *Dispatcher) listedTargets() iter.Seq[*target] {
	return func(yield func(*target) bool) {
		for _, p := range d.pools {
			for _, t := range p.targets {
				if !t.unlisted && !yield(t) {
					return
				}
			}
		}
	}
}
