// Package edge runs an instance on the users' platform: it joins the adapter
// in platform/ with the parts that answer callers, keep budgets and follow the
// store. The parts are put together by fx.
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
	"github.com/banyanglade/banyanglade/internal/memlimit"
	"github.com/banyanglade/banyanglade/internal/peer"
	"github.com/banyanglade/banyanglade/internal/relay"
	"github.com/banyanglade/banyanglade/internal/route"
	"github.com/banyanglade/banyanglade/internal/serve"
	"github.com/banyanglade/banyanglade/internal/targets"
	"github.com/banyanglade/banyanglade/platform"
)

// metricsInterval is how often tally reports; the platform reads every 5 s.
const metricsInterval = 2 * time.Second

// Run runs an instance on the machine that the platform's settings file
// describes, until the context ends and the instance has drained.
func Run(ctx context.Context, options Options, out io.Writer) error {
	machine, err := platform.ReadMachine()
	if err != nil {
		return err
	}
	return runOn(ctx, machine, options, out)
}

func runOn(ctx context.Context, machine platform.Machine, options Options, out io.Writer) error {
	started := time.Now()
	peerListen := cmp.Or(options.PeerListen, machine.PeerAddress)
	queue := logqueue.New(out)
	defer queue.Close()
	handler := slog.NewJSONHandler(queue, &slog.HandlerOptions{Level: options.LogLevel})
	log := slog.New(handler).With("instance", machine.Name)
	if machine.MemoryBytes > 0 {
		debug.SetMemoryLimit(int64(float64(machine.MemoryBytes) * memoryShare))
	}
	background, cancel := context.WithCancel(context.Background())
	defer cancel()
	var e *edge
	app := fx.New(
		fx.Supply(machine, log, options, lifetime{background}, new(receiver)),
		fx.Provide(
			newMetrics, newStore, feed.NewHealth, newRegistry, exchange.NewPool, newConnections, newDirectory,
			newTransport, newKeeper, newConversations, newListing, newAllowances, newCurrency, newServer,
			newTargetFeed, newEdge,
		),
		fx.Populate(&e),
		fx.WithLogger(func() fxevent.Logger { return fxevent.NopLogger }),
	)
	if err := app.Err(); err != nil {
		return errors.Wrap(err, "build the instance")
	}
	e.peerListen = peerListen
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
	if machine.Contended {
		registry.LearnSpeeds()
	}
	return registry
}

func newConnections(pool *exchange.Pool) connections { return pool }

// settingsCurrency tells how old the settings are. The topic comes after the server.
type settingsCurrency struct{ topic *feed.Topic }

func newCurrency() *settingsCurrency { return new(settingsCurrency) }

// SettingsAge implements serve.Currency.
func (c *settingsCurrency) SettingsAge() time.Duration { return c.topic.Age(time.Now()) }

// listing tells whether all instances are known. The topic comes after those who
// ask.
type listing struct{ topic atomic.Pointer[feed.Topic] }

func newListing() *listing { return new(listing) }

func (l *listing) known() bool {
	topic := l.topic.Load()
	return topic != nil && topic.Loaded()
}

func newServer(
	machine platform.Machine, currency *settingsCurrency, allowances *allowance.Manager,
	registry *targets.Registry, pool *exchange.Pool, keeper *budget.Manager, conversations *conversation.Manager,
	health *feed.Health, scope tally.Scope, log *slog.Logger,
) *serve.Server {
	return serve.New(serve.Config{
		Codec: platform.Codec{}, Targets: registry, Pool: pool, Budgets: keeper, Allowances: allowances,
		Conversations: conversations, Notices: keeper, Health: health, Freshness: currency,
		Memory:    memlimit.New(int64(float64(machine.MemoryBytes)*requestsShare), scope),
		KeyPolicy: keyPolicy(machine),
		Scope:     scope, Log: log,
	})
}

// edge is a running instance.
type edge struct {
	machine platform.Machine
	// peerListen is where it listens for other instances.
	peerListen string

	log      *slog.Logger
	reporter *httpapi.Metrics
	store    *platform.Store
	health   *feed.Health
	pool     *exchange.Pool
	server   *serve.Server
	incoming *targetFeed

	directory *directory.Directory
	transport *peer.Transport
	keeper    *budget.Manager
	// conversations keeps those of routes whose turns carry their input only.
	conversations *conversation.Manager
	allowances    *allowance.Manager

	settings  *feed.Topic
	targets   *feed.Topic
	instances *feed.Topic
	// relay keeps the topics up to date.
	relay *relay.Node
	// keepsTurns tells that turns of conversations are written to the store here.
	keepsTurns atomic.Bool
	// reregister tells that this instance's record has to be written again.
	reregister chan struct{}

	work sync.WaitGroup
}

func newEdge(
	machine platform.Machine, log *slog.Logger, reporter *httpapi.Metrics, store *platform.Store,
	health *feed.Health, pool *exchange.Pool, server *serve.Server, incoming *targetFeed,
	dir *directory.Directory, transport *peer.Transport, keeper *budget.Manager, conversations *conversation.Manager,
	currency *settingsCurrency, instances *listing, allowances *allowance.Manager,
) *edge {
	e := &edge{
		machine: machine, log: log, reporter: reporter, store: store, health: health,
		pool: pool, server: server, incoming: incoming,
		directory: dir, transport: transport, keeper: keeper,
		conversations: conversations, allowances: allowances, reregister: make(chan struct{}, 1),
	}
	e.settings = feed.NewTopic(platform.TopicOperator, e.applySettings)
	currency.topic = e.settings
	e.targets = feed.NewHeartbeatTopic(platform.TopicTargets, platform.RepeatsTarget, incoming.apply)
	e.instances = feed.NewTopic(topicInstances, applyInstance(dir, e.reregister, log))
	instances.topic.Store(e.instances)
	e.relay = e.newRelay()
	return e
}

// newRelay makes what keeps the topics up to date.
func (e *edge) newRelay() *relay.Node {
	m := e.machine
	return relay.New(relay.Config{
		Self:     relay.Holder{Machine: m.Name, Address: m.PeerAddress, DataCentre: m.DataCentre},
		CPUShare: m.CPUShare, Seeds: m.Seeds, Store: e.store, Peers: newTopicsClient(),
		Topics: []relay.FollowedTopic{
			{Topic: e.settings, Wait: waitWithin(m.ConfigDelay), Bounded: true},
			{Topic: e.targets, Wait: waitWithin(m.DrainDelay), Pause: targetsPause(m.DrainDelay), Bounded: true, Large: true},
			{Topic: e.instances, Wait: instancesWait, Pause: instancesPause},
		},
		MaxStaleness:  leastBound(m.ConfigDelay, m.DrainDelay),
		WritesToStore: func() bool { return e.keepsTurns.Load() || e.keeper.OwnsPartitions() },
		PeerAddresses: e.otherAddresses, Health: e.health, Log: e.log,
	})
}

// leastBound is the shorter of two bounds of which 0 stands for none.
func leastBound(a, b time.Duration) time.Duration {
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

// applySettings puts a version of the operator's settings in force. Offsets
// order the versions, so an older one never comes after a newer.
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
	e.keepsTurns.Store(slices.ContainsFunc(settings.Routes, func(r *route.Route) bool { return r.StoresTurns }))
	e.allowances.SetActive(settings.Organisations.Limited())
	e.log.Info("settings in force", "settings_version", settings.Version, "offset", r.Offset,
		"routes", len(settings.Routes), "organisations", settings.Organisations.Len())
}

// run serves until the context ends, then drains.
func (e *edge) run(ctx, background context.Context, cancel context.CancelFunc, started time.Time) error {
	servers, err := e.listen(background)
	if err != nil {
		return err
	}
	e.startWorkers(background)
	e.log.Info("started", "ms", time.Since(started).Milliseconds(), "callers", e.machine.CallerAddress)
	select {
	case <-ctx.Done():
	case err := <-servers.failed:
		e.log.Error("a listener failed", "error", err.Error())
		return err
	}
	e.drain(servers)
	e.transport.Close()
	cancel()
	e.work.Wait()
	e.log.Info("stopped")
	return nil
}

func (e *edge) startWorkers(ctx context.Context) {
	e.spawn(func() { e.pool.Run(ctx) })
	e.spawn(func() { e.relay.Run(ctx) })
	e.spawn(func() { e.register(ctx) })
	e.spawn(func() { e.writeCopies(ctx) })
	e.spawn(func() { e.readCopies(ctx) })
	e.spawn(func() { e.keeper.Run(ctx) })
	e.spawn(func() { e.conversations.Run(ctx) })
	e.spawn(func() { e.allowances.Run(ctx) })
	e.spawn(func() { e.sweep(ctx) })
	e.spawn(func() { e.reload(ctx) })
}

func (e *edge) spawn(work func()) { e.work.Go(work) }

// sweep removes targets whose time to register again has passed.
func (e *edge) sweep(ctx context.Context) {
	ticker := time.NewTicker(returnTime / 8)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			e.incoming.sweep(now)
		}
	}
}

// reload checks the settings file again on SIGHUP. What it holds takes effect
// at the next start; an error is reported at once.
func (e *edge) reload(ctx context.Context) {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangups:
			if _, err := platform.ReadMachine(); err != nil {
				e.log.Error("settings file is malformed", "error", err.Error())
				continue
			}
			e.log.Info("settings file read again")
		}
	}
}

// ready tells whether callers can be served: settings and targets are known
// and the instance does not drain.
func (e *edge) ready() bool {
	return e.server.Table() != nil && e.targets.Loaded() && !e.server.Draining()
}
