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
	// idleTimeout is the time until abandoned programs are closed.
	idleTimeout = 60 * time.Second
	// closeDelay is the time from the last response of a program to its close.
	closeDelay = 20 * time.Millisecond
	// defaultCallTimeout applies to programs without a CallTimeout.
	defaultCallTimeout = 2 * time.Minute
	// maxRefusals is the number of consecutive refusals after which a program
	// fails.
	maxRefusals = 5
)

var benchPool = structs.PoolID{Service: benchService, Region: benchRegion}

// driver runs one workload with one rule set.
type driver struct {
	options         Options
	workload        Workload
	clock           clock
	random          *rand.Rand
	dispatcher      *dispatch.Dispatcher
	engines         []*simEngine
	enginesByTarget map[structs.TargetID]*simEngine
	programs        map[structs.ProgramID]*liveProgram
	calls           map[structs.RunID]*liveCall
	openPrograms    int
	wakeAt          time.Duration
	runCount        int
	sample          *Sample
}

// wallStart is the wall time at virtual time 0.
var wallStart = time.Unix(1_700_000_000, 0)

func newDriver(o Options, w Workload, rules structs.Rules, seed uint64) *driver {
	d := &driver{
		options: o, workload: w, random: rand.New(rand.NewPCG(seed, 0)),
		enginesByTarget: make(map[structs.TargetID]*simEngine),
		programs:        make(map[structs.ProgramID]*liveProgram),
		calls:           make(map[structs.RunID]*liveCall),
		sample:          newSample(),
	}
	view := &benchMembers{}
	for i := range o.Engines {
		target := structs.Target{
			ID: structs.TargetID(fmt.Sprintf("runner-%02d", i)), Service: benchService, Region: benchRegion,
		}
		r := &simEngine{
			driver: d, target: target, model: engine.NewModel(o.EngineModel),
			calls: make(map[string]*liveCall), wasteMeter: newWasteMeter(),
		}
		d.engines = append(d.engines, r)
		d.enginesByTarget[target.ID] = r
		view.targets = append(view.targets, target)
	}
	config := structs.DefaultInstanceConfig(structs.Peer{ID: selfID}, "bench")
	config.Seed = seed
	d.dispatcher = dispatch.New(config, view, newBenchSettings(o, rules))
	return d
}

// run simulates the programs until all have been closed and returns the
// measurements.
func (d *driver) run(programs []*Program) *Sample {
	for _, spec := range programs {
		d.openPrograms++
		d.clock.at(spec.Arrival, func() { d.startProgram(spec) })
	}
	for _, r := range d.engines {
		d.everyLoadInterval(r.reportLoad)
	}
	for d.openPrograms > 0 && d.clock.step() {
	}
	d.sample.collectWaste(d)
	return d.sample
}

// everyLoadInterval calls run at each load report interval while programs are
// open.
func (d *driver) everyLoadInterval(run func()) {
	d.clock.after(d.options.LoadInterval, func() {
		run()
		if d.openPrograms > 0 {
			d.everyLoadInterval(run)
		}
	})
}

func (d *driver) wallTime() time.Time { return wallStart.Add(d.clock.now) }

// tick passes events to the dispatcher and executes its commands.
func (d *driver) tick(events ...structs.Event) {
	for _, command := range d.dispatcher.Tick(d.wallTime(), events) {
		switch c := command.(type) {
		case structs.SendPeer:
			d.clock.after(d.options.HopDelay, func() { d.deliverToOwner(c.Msg) })
		case structs.ReleaseCache:
			d.enginesByTarget[c.Target.ID].release(c.Program)
		}
	}
	d.scheduleWake()
}

func (d *driver) scheduleWake() {
	next := d.dispatcher.NextWake()
	if next.IsZero() {
		return
	}
	at := max(next.Sub(wallStart), d.clock.now)
	if d.wakeAt > d.clock.now && d.wakeAt <= at {
		return
	}
	d.wakeAt = at
	d.clock.at(at, func() {
		if d.wakeAt == at {
			d.wakeAt = 0
			d.tick()
		}
	})
}

// sendToDispatcher delivers a message from the owner after the hop delay.
func (d *driver) sendToDispatcher(msg structs.Message) {
	d.clock.after(d.options.HopDelay, func() { d.tick(structs.PeerMessage{From: ownerID, Msg: msg}) })
}

// deliverToOwner handles a message from the dispatcher as an owner would.
func (d *driver) deliverToOwner(msg structs.Message) {
	switch m := msg.(type) {
	case *structs.PermitGrant:
		c := d.calls[m.Ref.Run]
		c.target = m.Target.ID
		c.grantedAt = d.clock.now
		c.program.callStarted(d.enginesByTarget[c.target])
		d.clock.after(d.options.HopDelay, func() { d.enginesByTarget[c.target].submit(c) })
	case *structs.PermitRefuse:
		d.callRefused(d.calls[m.Ref.Run], m)
	}
}

// benchMembers implements structs.Members with fixed targets and one dispatcher.
type benchMembers struct {
	structs.Members
	targets []structs.Target
}

// Targets returns the engines.
func (m *benchMembers) Targets(structs.ServiceName) []structs.Target { return m.targets }

// DispatcherOf returns the only dispatcher.
func (m *benchMembers) DispatcherOf(structs.PoolID) (structs.InstanceID, bool) { return selfID, true }

// benchSettings implements structs.Settings with one service and the default
// policy.
type benchSettings struct {
	structs.Settings
	service structs.Service
}

func newBenchSettings(o Options, rules structs.Rules) *benchSettings {
	service := structs.DefaultService(benchService, structs.ServiceEngine)
	service.Slots = o.EngineModel.Slots
	service.CacheTokens = o.EngineModel.CacheCapacity
	service.Rules = rules
	return &benchSettings{service: service}
}

// Service returns the only service.
func (s *benchSettings) Service(structs.ServiceName) (structs.Service, bool) { return s.service, true }

// Policy returns the default policy.
func (s *benchSettings) Policy(structs.Team) structs.Policy { return structs.DefaultPolicy() }
