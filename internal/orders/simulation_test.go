package orders

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/banyanglade/banyanglade/internal/structs"
	"github.com/banyanglade/banyanglade/internal/wire"
)

const (
	step    = 100 * time.Millisecond
	service = structs.ServiceName("mark-agents")
)

// engine is a fake target. It records the orders that took effect, in order.
type engine struct {
	state        wire.OrderState
	unresponsive bool
	loadTime     time.Duration // from acceptance of an order until it takes effect
	removed      bool
	applied      []wire.Order
	rejected     int
	loading      int
}

func (e *engine) order(s *simulation, o wire.Order) structs.OrderResult {
	if e.state.ChecksFencing && o.Fencing < e.state.Fencing {
		e.rejected++
		return structs.OrderFenced
	}
	e.state.Fencing = o.Fencing
	e.applied = append(e.applied, o)
	e.loading++
	s.loadTimes = append(s.loadTimes, s.now)
	s.schedule(e.loadTime, func() {
		e.loading--
		switch o.Kind {
		case wire.OrderLoadModel:
			e.state.Model = o.Value
		case wire.OrderLoadAdapter:
			e.state.Adapter = o.Value
		case wire.OrderSetVersion:
			e.state.Version = o.Value
		case wire.OrderSetRole:
			e.state.Role = o.Value
		}
	})
	return structs.OrderAccepted
}

// scheduledEvent is a function that runs at a given time.
type scheduledEvent struct {
	at time.Time
	fn func()
}

// simulation drives controllers against a fake log and fake targets with a
// virtual clock. The clocks of the nodes differ by hours.
type simulation struct {
	t             *testing.T
	rand          *rand.Rand
	now           time.Time
	records       []wire.LogRecord
	firstOffset   uint64 // oldest offset retained
	logDown       bool
	append        func() (delay time.Duration, failed bool)
	engines       map[structs.TargetID]*engine
	leaving       map[structs.TargetID]bool
	orders        structs.Orders
	version       uint64
	checksFencing bool
	nodes         []*node
	scheduled     []scheduledEvent
	maxLoading    int
	loadTimes     []time.Time
}

// node is an instance: its controller and its adapters.
type node struct {
	structs.Members
	structs.Settings
	sim         *simulation
	id          structs.InstanceID
	starts      int
	skew        time.Duration
	selected    bool // by the node's view of the membership
	paused      bool
	partitioned bool          // from the log
	sendDelay   time.Duration // of an order in flight, after the adapter's check
	sendAtLimit bool          // the adapter sends orders at NotAfter
	controller  *Controller
	inbox       []structs.Event
	outbox      []structs.Command
	tail        *uint64
}

func newSimulation(t *testing.T, checks bool, targets, nodes int) *simulation {
	s := &simulation{t: t, rand: rand.New(rand.NewPCG(1, 2)), now: time.Unix(1e9, 0), checksFencing: checks,
		engines: map[structs.TargetID]*engine{}, leaving: map[structs.TargetID]bool{},
		append: func() (time.Duration, bool) { return 0, false },
		orders: structs.Orders{Model: "m1", Parallel: targets}, version: 1}
	for i := range targets {
		s.engines[structs.TargetID(fmt.Sprint("t", i))] = &engine{state: wire.OrderState{ChecksFencing: checks}}
	}
	for i := range nodes {
		n := &node{sim: s, id: structs.InstanceID(fmt.Sprint("i", i)), skew: time.Duration(i) * time.Hour}
		n.start()
		s.nodes = append(s.nodes, n)
	}
	s.nodes[0].selected = true
	return s
}

// start starts a new incarnation of the node.
func (n *node) start() {
	n.starts++
	cfg := structs.DefaultInstanceConfig(structs.Peer{ID: n.id, Region: "r"}, fmt.Sprint(n.starts))
	n.controller, n.inbox, n.outbox, n.tail = New(cfg, n, n), nil, nil, nil
}

func (n *node) DispatcherOf(structs.PoolID) (structs.InstanceID, bool) {
	if n.selected {
		return n.id, true
	}
	return "other", true
}

func (n *node) Targets(structs.ServiceName) []structs.Target {
	var all []structs.Target
	for id, e := range n.sim.engines {
		if !e.removed {
			all = append(all, structs.Target{ID: id, Service: service, Address: string(id), Leaving: n.sim.leaving[id]})
		}
	}
	slices.SortFunc(all, func(a, b structs.Target) int { return compare(a.ID, b.ID) })
	return all
}

func compare(a, b structs.TargetID) int {
	if a < b {
		return -1
	}
	return 1
}

func (n *node) Next() uint64 { return n.sim.version }

func (n *node) Services() []structs.Service {
	return []structs.Service{{Name: service, Kind: structs.ServiceEngine, ChecksFencing: n.sim.checksFencing, Orders: n.sim.orders}}
}

func (s *simulation) setModel(model string) { s.orders.Model, s.version = model, s.version+1 }

func (s *simulation) schedule(d time.Duration, fn func()) {
	s.scheduled = append(s.scheduled, scheduledEvent{s.now.Add(d), fn})
}

// sendWindow is the time within which a node sends an order after deciding on
// it.
func (s *simulation) sendWindow() time.Duration { return s.nodes[0].controller.cfg.SendWindow }

// run advances the clock. In each step every node receives a membership update.
func (s *simulation) run(d time.Duration) {
	for end := s.now.Add(d); s.now.Before(end); {
		s.now = s.now.Add(step)
		due := s.scheduled
		s.scheduled = nil
		for _, event := range due {
			if event.at.After(s.now) {
				s.scheduled = append(s.scheduled, event)
				continue
			}
			event.fn()
		}
		for _, n := range s.nodes {
			if !n.paused {
				n.step()
			}
		}
		loading := 0
		for _, e := range s.engines {
			loading += e.loading
		}
		s.maxLoading = max(s.maxLoading, loading)
	}
}

// step makes a node execute the commands of the previous step, process the
// events received then, and read the log. A paused node therefore holds stale
// reads and orders in its buffers.
func (n *node) step() {
	for _, cmd := range n.outbox {
		n.execute(cmd)
	}
	events := append(n.inbox, structs.MembersListed{})
	n.inbox = nil
	n.outbox = n.controller.Tick(n.now(), events)
	n.readLog()
}

func (n *node) readLog() {
	if n.tail == nil || n.sim.logDown || n.partitioned {
		return
	}
	if *n.tail < n.sim.firstOffset {
		n.inbox = append(n.inbox, structs.LogReadFailed{Stream: n.stream(), Truncated: true, First: n.sim.firstOffset})
		return
	}
	end := uint64(len(n.sim.records))
	read := structs.LogRead{Stream: n.stream(), From: *n.tail, Records: n.sim.records[*n.tail:], Next: end, End: end}
	*n.tail = end
	n.inbox = append(n.inbox, read)
}

func (n *node) stream() string { return structs.PoolID{Service: service, Region: "r"}.Stream() }

// execute acts as the node's adapters.
func (n *node) execute(cmd structs.Command) {
	s, starts := n.sim, n.starts
	reply := func(ev structs.Event) {
		if n.starts == starts {
			n.inbox = append(n.inbox, ev)
		}
	}
	switch cmd := cmd.(type) {
	case structs.LogTailEnd:
		from := max(s.firstOffset, uint64(max(0, len(s.records)-1)))
		n.tail = &from
	case structs.LogStop:
		n.tail = nil
	case structs.LogAppend:
		n.executeAppend(cmd, reply)
	case structs.ReadOrders:
		if e := s.engines[cmd.Target.ID]; !e.unresponsive {
			reply(structs.OrdersRead{ID: cmd.ID, Target: cmd.Target.ID, Reached: !e.removed, State: e.state})
		}
	case structs.SendOrder:
		if n.now().After(cmd.NotAfter) {
			reply(structs.OrderSent{ID: cmd.ID, Target: cmd.Target.ID, Result: structs.OrderNotSent})
			return
		}
		flight := n.sendDelay
		if n.sendAtLimit {
			flight += cmd.NotAfter.Sub(n.now())
		}
		s.schedule(flight, func() {
			if e := s.engines[cmd.Target.ID]; !e.unresponsive {
				reply(structs.OrderSent{ID: cmd.ID, Target: cmd.Target.ID, Result: e.order(s, cmd.Order)})
			}
		})
	default:
		s.t.Fatalf("unexpected command %T", cmd)
	}
}

// executeAppend appends with an optional delay and an optional loss of the
// reply.
func (n *node) executeAppend(cmd structs.LogAppend, reply func(structs.Event)) {
	s := n.sim
	if uint64(cmd.ID)>>62 != 1 {
		s.t.Fatalf("append ID %x has the wrong top bits", cmd.ID)
	}
	if s.logDown || n.partitioned {
		reply(structs.LogAppendFailed{ID: cmd.ID, Stream: cmd.Stream, Refused: true})
		return
	}
	delay, failed := s.append()
	s.schedule(delay, func() {
		for _, data := range cmd.Records {
			s.records = append(s.records, wire.LogRecord{Offset: uint64(len(s.records)), Data: data})
		}
	})
	if failed {
		reply(structs.LogAppendFailed{ID: cmd.ID, Stream: cmd.Stream})
	}
}

// converged reports whether every target has the desired state.
func (s *simulation) converged() bool {
	for _, e := range s.engines {
		if _, differs := nextOrder(s.orders, e.state); differs && !e.removed {
			return false
		}
	}
	return true
}

// waitFor runs the simulation until the condition holds.
func (s *simulation) waitFor(what string, condition func() bool) {
	s.t.Helper()
	for limit := s.now.Add(3 * time.Minute); !condition(); s.run(step) {
		if s.now.After(limit) {
			s.t.Fatalf("timed out waiting for %s: %+v", what, s.nodes[0].controller.Dump())
		}
	}
}

// checkEpochOrder checks the invariant that no target applies an order of an
// old epoch after one of a newer epoch.
func (s *simulation) checkEpochOrder() error {
	for id, e := range s.engines {
		for i := 1; i < len(e.applied); i++ {
			if e.applied[i].Fencing < e.applied[i-1].Fencing {
				return fmt.Errorf("target %s: order of epoch %d applied after epoch %d", id, e.applied[i].Fencing, e.applied[i-1].Fencing)
			}
		}
	}
	return nil
}

// now is the time on the node's clock.
func (n *node) now() time.Time { return n.sim.now.Add(n.skew) }

// isController reports whether a node considers itself the controller.
func (n *node) isController() bool {
	return len(n.controller.pools) == 1 && n.controller.pools[0].phase == phaseHolding
}

// claims returns the number of claims in the log.
func (s *simulation) claims() (count int) {
	for _, rec := range s.records {
		if r, err := decodeRecord(rec.Offset, rec.Data); err == nil && r.Kind == kindClaim {
			count++
		}
	}
	return count
}
