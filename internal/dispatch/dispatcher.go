package dispatch

import (
	"cmp"
	"iter"
	"slices"
	"time"

	"github.com/banyanglade/banyanglade/internal/structs"
)

// Dispatcher queues for all pools whose requests reach this instance.
type Dispatcher struct {
	config   structs.InstanceConfig
	members  structs.Members
	settings structs.Settings

	// epoch is the time of the first tick; queue keys count from it.
	epoch time.Time
	// now is the time of the last tick.
	now time.Time
	// pools is ordered by id.
	pools   []*pool
	calls   map[structs.RunID]*call
	ended   endedRuns
	timers  timerHeap
	watched []structs.Target
	// out collects the commands of the running tick.
	out []structs.Command
}

// New returns a dispatcher without any pool.
func New(cfg structs.InstanceConfig, members structs.Members, settings structs.Settings) *Dispatcher {
	return &Dispatcher{
		config: cfg, members: members, settings: settings,
		calls: make(map[structs.RunID]*call),
		ended: newEndedRuns(),
	}
}

// Tick takes events into account and gives the commands that follow.
func (d *Dispatcher) Tick(now time.Time, events []structs.Event) []structs.Command {
	if d.epoch.IsZero() {
		d.epoch = now
	}
	d.now = now
	d.out = nil
	d.refreshPools(now)
	for _, event := range events {
		d.handle(now, event)
	}
	d.expire(now)
	for _, p := range d.pools {
		d.check(now, p)
		d.grantWaiting(now, p)
	}
	d.dropIdlePools(now)
	d.watchTargets()
	return d.out
}

func (d *Dispatcher) handle(now time.Time, event structs.Event) {
	switch e := event.(type) {
	case structs.PeerMessage:
		d.handleMessage(now, e.From, e.Msg)
	case structs.PeerDown:
		d.peerDown(now, e.Peer)
	case structs.MembersListed:
		for _, p := range d.pools {
			p.refreshTargets(now, d.members)
		}
	case structs.TargetLoad:
		d.withTarget(e.Target, func(p *pool, t *target) { t.loadReported(now, p, e.Load) })
	case structs.TargetUnreachable:
		d.withTarget(e.Target, func(p *pool, t *target) { p.targetFailed(now, t) })
	case structs.TargetCache:
		d.withTarget(e.Target, func(p *pool, t *target) { p.cacheReported(now, t, e) })
	case structs.CacheReleased:
		d.withTarget(e.Target, func(p *pool, t *target) { p.released(now, t, e) })
	}
}

func (d *Dispatcher) handleMessage(now time.Time, from structs.InstanceID, msg structs.Message) {
	switch m := msg.(type) {
	case *structs.PermitRequest:
		d.request(now, from, m)
	case *structs.PermitCancel:
		d.cancel(now, m)
	case *structs.PermitFinish:
		d.finish(now, m)
	case *structs.ProgramEnded:
		if p := d.findPool(m.Pool); p != nil {
			p.programGone(now, m.Program)
		}
	}
}

func (d *Dispatcher) emit(command structs.Command) { d.out = append(d.out, command) }

func (d *Dispatcher) send(to structs.InstanceID, msg structs.Message) {
	d.emit(structs.SendPeer{To: to, Msg: msg})
}

// Waiting counts the waiting calls of all pools.
func (d *Dispatcher) Waiting() int {
	count := 0
	for _, p := range d.pools {
		count += p.queue.size
	}
	return count
}

// NextWake gives the time of the earliest timer, zero if there is none.
func (d *Dispatcher) NextWake() time.Time {
	var next time.Time
	if len(d.timers) > 0 {
		next = d.timers[0].timer
	}
	for _, p := range d.pools {
		next = earliest(next, p.wakeAt)
		next = earliest(next, p.checkAt)
	}
	return next
}

// earliest gives the earlier of two times, where zero is none.
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

// poolFor finds or makes a pool.
func (d *Dispatcher) poolFor(now time.Time, id structs.PoolID) *pool {
	i, ok := d.searchPool(id)
	if ok {
		return d.pools[i]
	}
	p := newPool(id, d.service(id.Service))
	p.refreshTargets(now, d.members)
	d.pools = slices.Insert(d.pools, i, p)
	return p
}

func (d *Dispatcher) searchPool(id structs.PoolID) (int, bool) {
	return slices.BinarySearchFunc(d.pools, id, func(p *pool, id structs.PoolID) int {
		return cmp.Or(cmp.Compare(p.id.Service, id.Service), cmp.Compare(p.id.Region, id.Region))
	})
}

// service gives the setting of a service, the default if settings lack it.
func (d *Dispatcher) service(name structs.ServiceName) structs.Service {
	if service, ok := d.settings.Service(name); ok {
		return service
	}
	return structs.DefaultService(name, structs.ServicePlain)
}

func (d *Dispatcher) withTarget(id structs.TargetID, do func(*pool, *target)) {
	for _, p := range d.pools {
		if t := p.target(id); t != nil {
			do(p, t)
		}
	}
}

// refreshPools takes over changed settings, and the membership now and then.
func (d *Dispatcher) refreshPools(now time.Time) {
	for _, p := range d.pools {
		p.setService(d.service(p.id.Service))
		if now.Sub(p.refreshed) >= membersRefresh {
			p.refreshTargets(now, d.members)
		}
	}
}

// dropIdlePools forgets pools that this instance need not queue for.
func (d *Dispatcher) dropIdlePools(now time.Time) {
	d.pools = slices.DeleteFunc(d.pools, func(p *pool) bool {
		if p.busy() || now.Sub(p.used) < poolIdle {
			return false
		}
		self, ok := d.members.DispatcherOf(p.id)
		return !ok || self != d.config.Self.ID
	})
}

// watchTargets asks for the load and cache events of the targets of all pools.
func (d *Dispatcher) watchTargets() {
	if d.watchesAll() {
		return
	}
	d.watched = nil
	for t := range d.presentTargets() {
		d.watched = append(d.watched, t.info)
	}
	d.emit(structs.WatchTargets{Targets: slices.Clone(d.watched)})
}

// watchesAll tells whether the targets watched are those present. It runs in
// each tick and allocates nothing.
func (d *Dispatcher) watchesAll() bool {
	n := 0
	for t := range d.presentTargets() {
		if n == len(d.watched) || d.watched[n] != t.info {
			return false
		}
		n++
	}
	return n == len(d.watched)
}

// presentTargets gives the targets of all pools that are not gone, in order.
func (d *Dispatcher) presentTargets() iter.Seq[*target] {
	return func(yield func(*target) bool) {
		for _, p := range d.pools {
			for _, t := range p.targets {
				if !t.gone && !yield(t) {
					return
				}
			}
		}
	}
}
