package node

import (
	"context"
	"crypto/rand"
	"crypto/tls"
	"encoding/hex"
	"log/slog"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/uber-go/tally/v4"
	"go.uber.org/fx"
	"golang.org/x/net/netutil"

	"github.com/banyanglade/banyanglade/internal/httpapi"
	"github.com/banyanglade/banyanglade/internal/instance"
	"github.com/banyanglade/banyanglade/internal/logclient"
	"github.com/banyanglade/banyanglade/internal/peer"
	"github.com/banyanglade/banyanglade/internal/structs"
	"github.com/banyanglade/banyanglade/internal/target"
)

const (
	// metricsInterval is the reporting interval of the metrics scope.
	metricsInterval = time.Second
	// readHeaderTimeout bounds the time to read a request header of a peer.
	readHeaderTimeout = 5 * time.Second
	// maxCallerConns and maxPeerConns bound the open connections.
	maxCallerConns = 8192
	maxPeerConns   = 2048
	// incarnationBytes is the length of a random incarnation id.
	incarnationBytes = 8
)

// listeners holds the open listeners of an instance.
type listeners struct {
	callers net.Listener
	peers   net.Listener
	// tls is the TLS configuration between instances; nil if disabled.
	tls *tls.Config
}

func newListeners(cfg Config) (*listeners, error) {
	tlsConfig, err := cfg.PeerTLS.load()
	if err != nil {
		return nil, err
	}
	callers, err := net.Listen("tcp", cfg.CallerListen)
	if err != nil {
		return nil, errors.Wrap(err, "listen for callers")
	}
	peers, err := net.Listen("tcp", cfg.PeerListen)
	if err != nil {
		_ = callers.Close()
		return nil, errors.Wrap(err, "listen for instances")
	}
	return &listeners{
		callers: netutil.LimitListener(callers, maxCallerConns),
		peers:   wrapTLS(netutil.LimitListener(peers, maxPeerConns), tlsConfig),
		tls:     tlsConfig,
	}, nil
}

// metrics holds the scope shared by all components and its reporter.
type metrics struct {
	report *httpapi.Metrics
	scope  tally.Scope
}

func newMetrics(lifecycle fx.Lifecycle) *metrics {
	report := httpapi.NewMetrics()
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix: "banyanglade", Separator: "_", Reporter: report,
	}, metricsInterval)
	lifecycle.Append(fx.StopHook(closer.Close))
	return &metrics{report: report, scope: scope}
}

func newInstance(cfg Config, l *listeners) (*instance.Instance, structs.InstanceConfig, error) {
	random := make([]byte, incarnationBytes)
	if _, err := rand.Read(random); err != nil {
		return nil, structs.InstanceConfig{}, errors.Wrap(err, "generate the incarnation")
	}
	config := structs.DefaultInstanceConfig(cfg.self(l.peers.Addr()), hex.EncodeToString(random))
	config.Shards = cfg.Shards
	config.Retention = cfg.Retention
	config.Seed = uint64(time.Now().UnixNano())
	return instance.New(config), config, nil
}

// adapters execute the core's commands.
type adapters struct {
	http    *httpapi.Server
	peers   *peer.Transport
	log     *logclient.Log
	members *logclient.Members
	targets *target.Runner
}

// adapterParams holds the dependencies of newAdapters.
type adapterParams struct {
	fx.In

	Config   Config
	Listen   *listeners
	Instance structs.InstanceConfig
	Core     *instance.Instance
	Loop     *loop
	Shared   *sharedState
	Metrics  *metrics
	Log      *slog.Logger
}

func newAdapters(p adapterParams) (*adapters, error) {
	var a adapters
	var err error
	ctx := context.Background()
	scope := p.Metrics.scope
	a.peers, err = peer.New(ctx, peer.Config{
		Self: p.Instance.Self, Incarnation: p.Instance.Incarnation,
		Key: p.Config.PeerKey, TLS: p.Listen.tls, PeerTimeout: p.Instance.PeerTimeout,
	}, p.Loop.post, p.Shared.peer, scope.SubScope("peer"), p.Log)
	if err != nil {
		return nil, err
	}
	a.log, err = logclient.NewLog(ctx, logclient.LogConfig{URL: p.Config.LogURL},
		p.Loop.post, scope.SubScope("log"), p.Log)
	if err != nil {
		return nil, err
	}
	a.members, err = logclient.NewMembers(ctx, logclient.MembersConfig{URL: p.Config.MembersURL},
		p.Loop.post, scope.SubScope("members"), p.Log)
	if err != nil {
		return nil, err
	}
	a.targets = target.New(ctx, target.Config{}, p.kind, p.Loop.post, scope.SubScope("target"), p.Log)
	a.http = httpapi.New(p.httpConfig(), &facade{loop: p.Loop, shared: p.Shared, tree: p.Core.Tree()},
		scope.SubScope("http"), p.Log)
	return &a, nil
}

func (p adapterParams) kind(name structs.ServiceName) (structs.ServiceKind, bool) {
	service, ok := p.Core.Tree().Service(name)
	return service.Kind, ok
}

func (p adapterParams) httpConfig() httpapi.Config {
	return httpapi.Config{
		Instance: p.Instance.Self.ID, Incarnation: p.Instance.Incarnation,
		Region: p.Instance.Self.Region, RootKeyHash: p.Config.RootKeyHash,
		MaxBody: p.Config.MaxBody, Metrics: p.Metrics.report,
	}
}

// register adds lifecycle hooks that start and stop the loop and the servers.
func register(lifecycle fx.Lifecycle, n *node, l *listeners) {
	ctx, cancel := context.WithCancel(context.Background())
	callers := n.adapters.http.HTTPServer()
	peers := &http.Server{Handler: n.adapters.peers.Handler(), ReadHeaderTimeout: readHeaderTimeout}
	lifecycle.Append(fx.Hook{
		OnStart: func(context.Context) error {
			go n.loop.run(ctx)
			go n.serve(callers, l.callers)
			go n.serve(peers, l.peers)
			n.log.Info("listening", "callers", l.callers.Addr().String(), "peers", l.peers.Addr().String())
			return nil
		},
		OnStop: func(stop context.Context) error {
			err := callers.Shutdown(stop)
			n.closeAdapters()
			cancel()
			<-n.loop.stopped
			return errors.CombineErrors(err, peers.Close())
		},
	})
}

// serve runs a server and reports its failure; closing it is not a failure.
func (n *node) serve(server *http.Server, listener net.Listener) {
	err := server.Serve(listener)
	if errors.Is(err, http.ErrServerClosed) {
		return
	}
	select {
	case n.serverErrors <- err:
	default:
	}
}

func (n *node) startDrain() { n.loop.post(structs.DrainStart{}) }

func (n *node) closeAdapters() {
	n.adapters.targets.Close()
	n.adapters.peers.Close()
	n.adapters.members.Close()
	n.adapters.log.Close()
}
