package bench

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/banyanglade/banyanglade/internal/dispatch"
	"github.com/banyanglade/banyanglade/internal/standin/engine"
	"github.com/banyanglade/banyanglade/internal/structs"
)

const (
	benchService = structs.ServiceName("engines")
	benchRegion  = structs.Region("bench")
	selfID       = structs.InstanceID("dispatcher")
	ownerID      = structs.InstanceID("owner")
	// idleTimeout closes programs that never come back.
	idleTimeout = 60 * time.Second
	// closeDelay is the time from a program's last answer to its close.
	closeDelay = 20 * time.Millisecond
	// defaultCallTimeout bounds a call of a kind that names no bound.
	defaultCallTimeout = 2 * time.Minute
	// maxRefusals is the number of refusals in a row after which a program
	// gives up.
	maxRefusals = 5
)

var benchPool = structs.PoolID{Service: benchService, Region: benchRegion}

// driver runs one workload under one rule set.
type driver struct {
	options    Options
	workload   Workload
	clock      clock
	random     *rand.Rand
	dispatcher *dispatch.Dispatcher
	runners    []*runner
	byTarget   map[structs.TargetID]*runner
	programs   map[structs.ProgramID]*liveProgram
	calls      map[structs.RunID]*liveCall
	open       int
	wake       time.Duration
	runs       int
	figures    *Sample
}

// start is the wall time of virtual time 0.
var start = time.Unix(1_700_000_000, 0)

func newDriver(o Options, w Workload, rules structs.Rules, seed uint64) *driver {
	d := &driver{
		options: o, workload: w, random: rand.New(rand.NewPCG(seed, 0)),
		byTarget: make(map[structs.TargetID]*runner),
		programs: make(map[structs.ProgramID]*liveProgram),
		calls:    make(map[structs.RunID]*liveCall),
		figures:  newSample(),
	}
	view := &benchMembers{}
	for i := range o.Runners {
		target := structs.Target{
			ID: structs.TargetID(fmt.Sprintf("runner-%02d", i)), Service: benchService, Region: benchRegion,
		}
		r := &runner{
			driver: d, target: target, model: engine.NewModel(o.Engine),
			runs: make(map[string]*liveCall), holds: newHoldMeter(),
		}
		d.runners = append(d.runners, r)
		d.byTarget[target.ID] = r
		view.targets = append(view.targets, target)
	}
	config := structs.DefaultInstanceConfig(structs.Peer{ID: selfID}, "bench")
	config.Seed = seed
	d.dispatcher = dispatch.New(config, view, newBenchSettings(o, rules))
	return d
}

// run plays a workload to its end and gives its figures.
func (d *driver) run(programs []*Program) *Sample {
	for _, spec := range programs {
		d.open++
		d.clock.at(spec.Arrival, func() { d.arrive(spec) })
	}
	for _, r := range d.runners {
		d.repeat(r.reportLoad)
	}
	for d.open > 0 && d.clock.step() {
	}
	d.figures.finish(d)
	return d.figures
}

// repeat does something at each load report interval while programs are open.
func (d *driver) repeat(do func()) {
	d.clock.after(d.options.LoadInterval, func() {
		do()
		if d.open > 0 {
			d.repeat(do)
		}
	})
}

func (d *driver) wall() time.Time { return start.Add(d.clock.now) }

// tick gives the dispatcher events and carries out its commands.
func (d *driver) tick(events ...structs.Event) {
	for _, command := range d.dispatcher.Tick(d.wall(), events) {
		switch c := command.(type) {
		case structs.SendPeer:
			d.clock.after(d.options.HopDelay, func() { d.ownerGets(c.Msg) })
		case structs.ReleaseCache:
			d.byTarget[c.Target.ID].release(c.Program)
		}
	}
	d.scheduleWake()
}

func (d *driver) scheduleWake() {
	next := d.dispatcher.NextWake()
	if next.IsZero() {
		return
	}
	at := max(next.Sub(start), d.clock.now)
	if d.wake > d.clock.now && d.wake <= at {
		return
	}
	d.wake = at
	d.clock.at(at, func() {
		if d.wake == at {
			d.wake = 0
			d.tick()
		}
	})
}

// toDispatcher sends a message of the owner.
func (d *driver) toDispatcher(msg structs.Message) {
	d.clock.after(d.options.HopDelay, func() { d.tick(structs.PeerMessage{From: ownerID, Msg: msg}) })
}

// ownerGets handles a message of the dispatcher as an owner does.
func (d *driver) ownerGets(msg structs.Message) {
	switch m := msg.(type) {
	case *structs.PermitGrant:
		c := d.calls[m.Ref.Run]
		c.target = m.Target.ID
		c.granted = d.clock.now
		c.program.enter(d.byTarget[c.target])
		d.clock.after(d.options.HopDelay, func() { d.byTarget[c.target].submit(c) })
	case *structs.PermitRefuse:
		d.refused(d.calls[m.Ref.Run], m)
	}
}

// benchMembers is a membership with fixed targets and one dispatcher.
type benchMembers struct {
	structs.Members
	targets []structs.Target
}

// Targets lists the engines.
func (m *benchMembers) Targets(structs.ServiceName) []structs.Target { return m.targets }

// DispatcherOf names the one dispatcher.
func (m *benchMembers) DispatcherOf(structs.PoolID) (structs.InstanceID, bool) { return selfID, true }

// benchSettings is one service and one policy.
type benchSettings struct {
	structs.Settings
	service structs.Service
}

func newBenchSettings(o Options, rules structs.Rules) *benchSettings {
	service := structs.DefaultService(benchService, structs.ServiceEngine)
	service.Slots = o.Engine.Slots
	service.CacheTokens = o.Engine.CacheCapacity
	service.Rules = rules
	return &benchSettings{service: service}
}

// Service gives the one service.
func (s *benchSettings) Service(structs.ServiceName) (structs.Service, bool) { return s.service, true }

// Policy gives the default policy.
func (s *benchSettings) Policy(structs.Team) structs.Policy { return structs.DefaultPolicy() }
