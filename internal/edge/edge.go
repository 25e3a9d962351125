// Package edge runs an instance on the platform: it connects the adapter in platform/
// with the components that serve callers, account for budgets and follow the store. The
// components are wired by fx.
package edge

import (
	"cmp"
	"context"
	"io"
	"log/slog"
	"os"
	"os/signal"
	"runtime/debug"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/uber-go/tally/v4"
	"go.uber.org/fx"
	"go.uber.org/fx/fxevent"

	"github.com/banyanglade/banyanglade/internal/allowance"
	"github.com/banyanglade/banyanglade/internal/budget"
	"github.com/banyanglade/banyanglade/internal/conversation"
	"github.com/banyanglade/banyanglade/internal/directory"
	"github.com/banyanglade/banyanglade/internal/exchange"
	"github.com/banyanglade/banyanglade/internal/feed"
	"github.com/banyanglade/banyanglade/internal/httpapi"
	"github.com/banyanglade/banyanglade/internal/logqueue"
	"github.com/banyanglade/banyanglade/internal/lostruns"
	"github.com/banyanglade/banyanglade/internal/memlimit"
	"github.com/banyanglade/banyanglade/internal/peer"
	"github.com/banyanglade/banyanglade/internal/relay"
	"github.com/banyanglade/banyanglade/internal/route"
	"github.com/banyanglade/banyanglade/internal/serve"
	"github.com/banyanglade/banyanglade/internal/streampin"
	"github.com/banyanglade/banyanglade/internal/targets"
	"github.com/banyanglade/banyanglade/platform"
)

// metricsInterval is the reporting interval of tally. It is shorter than the platform's
// interval of reading metrics.
const metricsInterval = 2 * time.Second

// Run runs an instance on the machine described by the platform's settings file, until
// the context ends and the instance has drained.
func Run(ctx context.Context, options Options, out io.Writer) error {
	// SIGHUP ends a process that does not handle it.
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	machine, err := platform.ReadMachine()
	if err != nil {
		return err
	}
	return runOn(ctx, machine, options, hangups, out)
}

// runOn runs an instance on a machine. It checks the settings file with each signal of
// hangups.
func runOn(ctx context.Context, machine platform.Machine, options Options, hangups <-chan os.Signal, out io.Writer) error {
	started := time.Now()
	peerListen := cmp.Or(options.PeerListen, machine.PeerAddress)
	queue := logqueue.New(out)
	defer queue.Close()
	handler := slog.NewJSONHandler(queue, &slog.HandlerOptions{Level: options.LogLevel})
	log := slog.New(handler).With("instance", machine.Name)
	if machine.MemoryBytes > 0 {
		debug.SetMemoryLimit(int64(float64(machine.MemoryBytes) * heapLimitFraction))
	}
	background, cancel := context.WithCancel(context.Background())
	defer cancel()
	var e *edge
	app := fx.New(
		fx.Supply(machine, log, options, backgroundContext{background}, new(eventRouter)),
		fx.Provide(
			newMetrics, newStore, feed.NewHealth, newRegistry, newPool, newConnections, newDirectory,
			newTransport, newBudgets, newConversations, newInstanceList, newAllowances, newTopicAges, newMemory, newGuards, newServer,
			newTargetList, newStreamPins, newStoreRecords, newLostRuns, newVersionListener, newTargetFeed, newEdge,
		),
		fx.Populate(&e),
		fx.WithLogger(func() fxevent.Logger { return fxevent.NopLogger }),
	)
	if err := app.Err(); err != nil {
		return errors.Wrap(err, "build the instance")
	}
	e.peerListen, e.hangups = peerListen, hangups
	return e.run(ctx, background, cancel, started)
}

func newMetrics() (*httpapi.Metrics, tally.Scope) {
	reporter := httpapi.NewMetrics()
	scope, _ := tally.NewRootScope(tally.ScopeOptions{
		Prefix: "banyanglade", Separator: "_", Reporter: reporter, OmitCardinalityMetrics: true,
	}, metricsInterval)
	return reporter, scope
}

func newStore(machine platform.Machine, scope tally.Scope) *platform.Store {
	return platform.NewStore(machine.Store.Address, scope)
}

func newRegistry(machine platform.Machine, pool *exchange.Pool) *targets.Registry {
	registry := targets.NewRegistry(machine.DataCentre, pool)
	if machine.OverloadExpected {
		registry.LearnSpeeds()
	}
	return registry
}

func newConnections(pool *exchange.Pool) connections { return pool }

func newVersionListener(pins *streampin.Manager) versionListener { return pins }

// topicAges reports the ages of topics. They are set after the server is built.
type topicAges struct{ settings, targets *feed.Topic }

func newTopicAges() *topicAges { return new(topicAges) }

// SettingsAge implements serve.Freshness.
func (a *topicAges) SettingsAge() time.Duration { return a.settings.Age(time.Now()) }

// TargetsAge implements serve.Freshness.
func (a *topicAges) TargetsAge() time.Duration { return a.targets.Age(time.Now()) }

// instanceList reports whether the list of instances is loaded. Its topic is set after
// the components that use it are built.
type instanceList struct{ topic atomic.Pointer[feed.Topic] }

func newInstanceList() *instanceList { return new(instanceList) }

func (l *instanceList) loaded() bool {
	topic := l.topic.Load()
	return topic != nil && topic.Loaded()
}

func newServer(
	machine platform.Machine, freshness *topicAges, allowances *allowance.Manager,
	registry *targets.Registry, pool *exchange.Pool, budgets *budget.Manager, conversations *conversation.Manager,
	streamPins *streampin.Manager, lostRuns *lostruns.Manager, health *feed.Health, memory *memlimit.Limiter, bounds *guards,
	scope tally.Scope, log *slog.Logger,
) *serve.Server {
	return serve.New(serve.Config{
		Codec: platform.Codec{}, Targets: registry, Pool: pool, Budgets: budgets, Allowances: allowances,
		Conversations: conversations, StreamVersions: streamPins, LostRuns: lostRuns, FailureReporter: budgets, Health: health, Freshness: freshness,
		Memory: memory, Inbound: bounds.callers, KeyPolicy: keyPolicy(machine),
		Scope: scope, Log: log,
	})
}

// edge is a running instance.
type edge struct {
	machine platform.Machine
	// peerListen is the address on which to listen for other instances.
	peerListen string
	// hangups receives SIGHUP.
	hangups <-chan os.Signal

	log        *slog.Logger
	reporter   *httpapi.Metrics
	store      *platform.Store
	health     *feed.Health
	pool       *exchange.Pool
	server     *serve.Server
	guards     *guards
	targetFeed *targetFeed

	directory *directory.Directory
	transport *peer.Transport
	budgets   *budget.Manager
	// conversations holds the conversations of routes whose turns carry only their own
	// input.
	conversations *conversation.Manager
	allowances    *allowance.Manager
	streamPins    *streampin.Manager
	lostRuns      *lostruns.Manager

	settings  *feed.Topic
	targets   *feed.Topic
	instances *feed.Topic
	// relay keeps the topics up to date.
	relay *relay.Node
	// storesTurns indicates that this instance writes turns of conversations to the
	// store.
	storesTurns atomic.Bool
	// reregister signals that this instance's record has to be written again.
	reregister chan struct{}

	work sync.WaitGroup
}

func newEdge(
	machine platform.Machine, log *slog.Logger, reporter *httpapi.Metrics, store *platform.Store,
	health *feed.Health, pool *exchange.Pool, server *serve.Server, targetFeed *targetFeed,
	dir *directory.Directory, transport *peer.Transport, budgets *budget.Manager, conversations *conversation.Manager,
	freshness *topicAges, instances *instanceList, allowances *allowance.Manager,
	streamPins *streampin.Manager, lostRuns *lostruns.Manager, list *targetList, records *lostruns.StoreRecords, bounds *guards,
) *edge {
	e := &edge{
		machine: machine, log: log, reporter: reporter, store: store, health: health,
		pool: pool, server: server, guards: bounds, targetFeed: targetFeed,
		directory: dir, transport: transport, budgets: budgets,
		conversations: conversations, allowances: allowances, streamPins: streamPins, lostRuns: lostRuns, reregister: make(chan struct{}, 1),
	}
	e.settings = feed.NewTopic(platform.TopicOperator, e.applySettings)
	e.targets = feed.NewHeartbeatTopic(platform.TopicTargets, platform.EqualExceptSequence, targetFeed.apply)
	e.targets.OnConfirm = targetFeed.confirmed
	freshness.settings, freshness.targets = e.settings, e.targets
	list.topic.Store(e.targets)
	e.instances = feed.NewTopic(topicInstances, applyRecord(applyInstance(dir, e.reregister, lostRuns.InstanceEnded, log), lostRuns.ApplyRecord))
	instances.topic.Store(e.instances)
	records.SetTopic(e.instances)
	e.relay = e.newRelay()
	return e
}

// newRelay returns the node that keeps the topics up to date.
func (e *edge) newRelay() *relay.Node {
	m := e.machine
	return relay.New(relay.Config{
		Self:     relay.Holder{Machine: m.Name, Address: m.PeerAddress, DataCentre: m.DataCentre},
		CPUShare: m.CPUCores, Seeds: m.Seeds, Store: e.store, Peers: newTopicsClient(),
		Topics: []relay.FollowedTopic{
			{Topic: e.settings, Wait: readWait(m.ConfigDelay), Bounded: true},
			{Topic: e.targets, Wait: readWait(m.DrainDelay), Pause: targetsPause(m.DrainDelay), Bounded: true, Large: true},
			{Topic: e.instances, Wait: instancesWait, Pause: instancesPause},
		},
		MaxStaleness:  minBound(m.ConfigDelay, m.DrainDelay),
		WritesToStore: func() bool { return e.storesTurns.Load() || e.budgets.OwnsPartitions() },
		PeerAddresses: e.otherAddresses, Health: e.health, Log: e.log,
	})
}

// minBound returns the shorter of two bounds, where 0 stands for no bound.
func minBound(a, b time.Duration) time.Duration {
	if a <= 0 || b <= 0 {
		return max(a, b)
	}
	return min(a, b)
}

func (e *edge) otherAddresses() []string {
	var addresses []string
	for _, p := range e.directory.Others() {
		addresses = append(addresses, p.Address)
	}
	return addresses
}

// applySettings puts a new version of the operator's settings in force. Versions are
// applied in the order of their offsets.
func (e *edge) applySettings(r platform.Record) {
	if r.Key != platform.KeySettings || len(r.Value) == 0 {
		return
	}
	settings, err := platform.DecodeSettings(r.Value)
	if err != nil {
		e.log.Error("settings ignored", "offset", r.Offset, "error", err.Error())
		return
	}
	e.server.SetTable(route.NewTable(settings))
	e.budgets.ExtendLifetimes(lifetimesOf(settings.Routes))
	e.storesTurns.Store(slices.ContainsFunc(settings.Routes, func(r *route.Route) bool { return r.StoresTurns }))
	e.allowances.SetActive(settings.Organisations.Limited())
	e.log.Info("settings in force", "settings_version", settings.Version, "offset", r.Offset,
		"routes", len(settings.Routes), "organisations", settings.Organisations.Len())
}

// lifetimesOf returns the longest times of the routes' turns and programs.
func lifetimesOf(routes []*route.Route) budget.Lifetimes {
	var longest budget.Lifetimes
	for _, r := range routes {
		if r.Kind == route.Stream {
			longest.Turn = max(longest.Turn, r.Timeout)
			longest.Retention = max(longest.Retention, r.Retention)
		}
	}
	return longest
}

// run serves until the context ends or a listener fails, then drains.
func (e *edge) run(ctx, background context.Context, cancel context.CancelFunc, started time.Time) error {
	servers, err := e.listen(background)
	if err != nil {
		return err
	}
	e.startWorkers(background)
	e.log.Info("started", "ms", time.Since(started).Milliseconds(), "callers", e.machine.CallerAddress)
	var failure error
	select {
	case <-ctx.Done():
	case failure = <-servers.failed:
		e.log.Error("listener failed", "error", failure.Error())
	}
	stopped := time.Now()
	e.drain(servers, stopped)
	e.lostRuns.HandOver()
	e.transport.CloseBy(drainDeadline(closeMargin, stopped, e.machine.GracePeriod))
	cancel()
	e.work.Wait()
	e.log.Info("stopped")
	return failure
}

func (e *edge) startWorkers(ctx context.Context) {
	e.spawn(func() { e.pool.Run(ctx) })
	e.spawn(func() { e.relay.Run(ctx) })
	e.spawn(func() { e.register(ctx) })
	e.spawn(func() { e.writeCopies(ctx) })
	e.spawn(func() { e.readCopies(ctx) })
	e.spawn(func() { e.budgets.Run(ctx) })
	e.spawn(func() { e.conversations.Run(ctx) })
	e.spawn(func() { e.allowances.Run(ctx) })
	e.spawn(func() { e.streamPins.Run(ctx) })
	e.spawn(func() { e.lostRuns.Run(ctx) })
	for _, g := range e.guards.all() {
		e.spawn(func() { g.Run(ctx) })
	}
	e.spawn(func() { e.sweep(ctx) })
	e.spawn(func() { e.reload(ctx) })
}

func (e *edge) spawn(work func()) { e.work.Go(work) }

// sweep periodically removes targets that have not registered again in time.
func (e *edge) sweep(ctx context.Context) {
	ticker := time.NewTicker(reregisterGrace / 8)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			e.targetFeed.sweep(now)
		}
	}
}

// reload validates the settings file on SIGHUP and logs errors. Changes take effect at
// the next start.
func (e *edge) reload(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-e.hangups:
			if _, err := platform.ReadMachine(); err != nil {
				e.log.Error("settings file is malformed", "error", err.Error())
				continue
			}
			e.log.Info("settings file is valid; changes take effect at the next start")
		}
	}
}

// ready reports whether callers can be served: settings and targets are known and the
// instance is not draining.
func (e *edge) ready() bool {
	return e.server.Table() != nil && e.targets.Loaded() && !e.server.Draining()
}
