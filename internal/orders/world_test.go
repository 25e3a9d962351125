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

// engine is a fake target. It notes the orders that took effect, in order.
type engine struct {
	state   wire.OrderState
	silent  bool
	slow    time.Duration // from an order's acceptance to its effect
	gone    bool
	applied []wire.Order
	refused int
	loading int
}

func (e *engine) order(w *world, o wire.Order) structs.OrderResult {
	if e.state.ChecksFencing && o.Fencing < e.state.Fencing {
		e.refused++
		return structs.OrderFenced
	}
	e.state.Fencing = o.Fencing
	e.applied = append(e.applied, o)
	e.loading++
	w.loads = append(w.loads, w.now)
	w.after(e.slow, func() {
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

// later is something that happens at a time.
type later struct {
	at time.Time
	do func()
}

// world drives controllers against a fake log and fake targets by a virtual
// clock. All nodes' clocks differ by hours.
type world struct {
	t       *testing.T
	rand    *rand.Rand
	now     time.Time
	records []wire.LogRecord
	first   uint64 // oldest offset retained
	logDown bool
	append  func() (delay time.Duration, failed bool)
	engines map[structs.TargetID]*engine
	leaving map[structs.TargetID]bool
	orders  structs.Orders
	version uint64
	checks  bool
	nodes   []*node
	queue   []later
	maxLoad int
	loads   []time.Time
}

// node is an instance: its controller and its adapters.
type node struct {
	structs.Members
	structs.Settings
	w      *world
	id     structs.InstanceID
	starts int
	skew   time.Duration
	chosen bool // the node's view names itself
	paused bool
	cut    bool          // from the log
	flight time.Duration // of an order, after the adapter's check
	last   bool          // the adapter sends at the last allowed moment
	c      *Controller
	inbox  []structs.Event
	outbox []structs.Command
	tail   *uint64
}

func newWorld(t *testing.T, checks bool, targets, nodes int) *world {
	w := &world{t: t, rand: rand.New(rand.NewPCG(1, 2)), now: time.Unix(1e9, 0), checks: checks,
		engines: map[structs.TargetID]*engine{}, leaving: map[structs.TargetID]bool{},
		append: func() (time.Duration, bool) { return 0, false },
		orders: structs.Orders{Model: "m1", Parallel: targets}, version: 1}
	for i := range targets {
		w.engines[structs.TargetID(fmt.Sprint("t", i))] = &engine{state: wire.OrderState{ChecksFencing: checks}}
	}
	for i := range nodes {
		n := &node{w: w, id: structs.InstanceID(fmt.Sprint("i", i)), skew: time.Duration(i) * time.Hour}
		n.start()
		w.nodes = append(w.nodes, n)
	}
	w.nodes[0].chosen = true
	return w
}

// start begins a new process of the node.
func (n *node) start() {
	n.starts++
	cfg := structs.DefaultInstanceConfig(structs.Peer{ID: n.id, Region: "r"}, fmt.Sprint(n.starts))
	n.c, n.inbox, n.outbox, n.tail = New(cfg, n, n), nil, nil, nil
}

func (n *node) DispatcherOf(structs.PoolID) (structs.InstanceID, bool) {
	if n.chosen {
		return n.id, true
	}
	return "other", true
}

func (n *node) Targets(structs.ServiceName) []structs.Target {
	var all []structs.Target
	for id, e := range n.w.engines {
		if !e.gone {
			all = append(all, structs.Target{ID: id, Service: service, Address: string(id), Leaving: n.w.leaving[id]})
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

func (n *node) Next() uint64 { return n.w.version }

func (n *node) Services() []structs.Service {
	return []structs.Service{{Name: service, Kind: structs.ServiceEngine, ChecksFencing: n.w.checks, Orders: n.w.orders}}
}

// want sets the desired model.
func (w *world) want(model string) { w.orders.Model, w.version = model, w.version+1 }

func (w *world) after(d time.Duration, do func()) { w.queue = append(w.queue, later{w.now.Add(d), do}) }

// window is the time within which a node sends what it decided to send.
func (w *world) window() time.Duration { return w.nodes[0].c.cfg.SendWindow }

// run passes time. Every node hears of the membership in each step.
func (w *world) run(d time.Duration) {
	for end := w.now.Add(d); w.now.Before(end); {
		w.now = w.now.Add(step)
		due := w.queue
		w.queue = nil
		for _, l := range due {
			if l.at.After(w.now) {
				w.queue = append(w.queue, l)
				continue
			}
			l.do()
		}
		for _, n := range w.nodes {
			if !n.paused {
				n.step()
			}
		}
		loading := 0
		for _, e := range w.engines {
			loading += e.loading
		}
		w.maxLoad = max(w.maxLoad, loading)
	}
}

// step lets a node carry out what it decided in the step before, take in what it
// read then, and read. So a pause leaves old reads and orders in its buffers.
func (n *node) step() {
	for _, cmd := range n.outbox {
		n.carry(cmd)
	}
	events := append(n.inbox, structs.MembersListed{})
	n.inbox = nil
	n.outbox = n.c.Tick(n.now(), events)
	n.readLog()
}

func (n *node) readLog() {
	if n.tail == nil || n.w.logDown || n.cut {
		return
	}
	if *n.tail < n.w.first {
		n.inbox = append(n.inbox, structs.LogReadFailed{Stream: n.stream(), Truncated: true, First: n.w.first})
		return
	}
	end := uint64(len(n.w.records))
	read := structs.LogRead{Stream: n.stream(), From: *n.tail, Records: n.w.records[*n.tail:], Next: end, End: end}
	*n.tail = end
	n.inbox = append(n.inbox, read)
}

func (n *node) stream() string { return structs.PoolID{Service: service, Region: "r"}.Stream() }

// carry is the node's adapters.
func (n *node) carry(cmd structs.Command) {
	w, starts := n.w, n.starts
	answer := func(ev structs.Event) {
		if n.starts == starts {
			n.inbox = append(n.inbox, ev)
		}
	}
	switch cmd := cmd.(type) {
	case structs.LogTailEnd:
		from := max(w.first, uint64(max(0, len(w.records)-1)))
		n.tail = &from
	case structs.LogStop:
		n.tail = nil
	case structs.LogAppend:
		n.carryAppend(cmd, answer)
	case structs.ReadOrders:
		if e := w.engines[cmd.Target.ID]; !e.silent {
			answer(structs.OrdersRead{ID: cmd.ID, Target: cmd.Target.ID, Reached: !e.gone, State: e.state})
		}
	case structs.SendOrder:
		if n.now().After(cmd.NotAfter) {
			answer(structs.OrderSent{ID: cmd.ID, Target: cmd.Target.ID, Result: structs.OrderNotSent})
			return
		}
		flight := n.flight
		if n.last {
			flight += cmd.NotAfter.Sub(n.now())
		}
		w.after(flight, func() {
			if e := w.engines[cmd.Target.ID]; !e.silent {
				answer(structs.OrderSent{ID: cmd.ID, Target: cmd.Target.ID, Result: e.order(w, cmd.Order)})
			}
		})
	default:
		w.t.Fatalf("unexpected %T", cmd)
	}
}

// carryAppend appends, perhaps late, perhaps with a lost reply.
func (n *node) carryAppend(cmd structs.LogAppend, answer func(structs.Event)) {
	w := n.w
	if uint64(cmd.ID)>>62 != 1 {
		w.t.Fatalf("append id %x", cmd.ID)
	}
	if w.logDown || n.cut {
		answer(structs.LogAppendFailed{ID: cmd.ID, Stream: cmd.Stream, Refused: true})
		return
	}
	delay, failed := w.append()
	w.after(delay, func() {
		for _, data := range cmd.Records {
			w.records = append(w.records, wire.LogRecord{Offset: uint64(len(w.records)), Data: data})
		}
	})
	if failed {
		answer(structs.LogAppendFailed{ID: cmd.ID, Stream: cmd.Stream})
	}
}

// settled tells whether every target has the desired state.
func (w *world) settled() bool {
	for _, e := range w.engines {
		if _, differs := difference(w.orders, e.state); differs && !e.gone {
			return false
		}
	}
	return true
}

// until runs until the condition holds.
func (w *world) until(what string, holds func() bool) {
	w.t.Helper()
	for limit := w.now.Add(3 * time.Minute); !holds(); w.run(step) {
		if w.now.After(limit) {
			w.t.Fatalf("not reached: %s; %+v", what, w.nodes[0].c.Dump())
		}
	}
}

// checkEpochs is the invariant, from what the targets saw: no order of an old
// epoch takes effect after one of a newer epoch.
func (w *world) checkEpochs() error {
	for id, e := range w.engines {
		for i := 1; i < len(e.applied); i++ {
			if e.applied[i].Fencing < e.applied[i-1].Fencing {
				return fmt.Errorf("target %s: epoch %d after %d", id, e.applied[i].Fencing, e.applied[i-1].Fencing)
			}
		}
	}
	return nil
}

// now is the time on the node's clock.
func (n *node) now() time.Time { return n.w.now.Add(n.skew) }

// holds tells whether a node takes itself for the controller.
func (n *node) holds() bool { return len(n.c.pools) == 1 && n.c.pools[0].phase == phaseHolding }

// claims counts the claims in the log.
func (w *world) claims() (count int) {
	for _, rec := range w.records {
		if r, err := decodeRecord(rec.Offset, rec.Data); err == nil && r.Kind == kindClaim {
			count++
		}
	}
	return count
}
