// Package node runs an instance as a process: it connects the deterministic core
// to its adapters (callers, peers, log, membership, targets) and to the clock. The
// components are assembled with fx.
package node

import (
	"context"
	"log/slog"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/fx"
	"go.uber.org/fx/fxevent"

	"github.com/banyanglade/banyanglade/internal/instance"
)

// startTimeout and stopTimeout bound the fx lifecycle hooks. The drain is bounded
// by Config.DrainTimeout.
const (
	startTimeout = 10 * time.Second
	stopTimeout  = 10 * time.Second
)

// Run runs an instance until the context ends, then drains and stops it. It also
// returns after a drain that an operator requested or a server failure. The drain
// is not interrupted by a second signal; the caller handles that.
func Run(ctx context.Context, cfg Config, log *slog.Logger) error {
	if err := cfg.check(); err != nil {
		return err
	}
	var n *node
	app := fx.New(
		fx.Supply(cfg, log),
		fx.Provide(newListeners, newMetrics, newInstance, newLoop, newSharedState, newAdapters, newNode),
		fx.Invoke(register),
		fx.Populate(&n),
		fx.WithLogger(func() fxevent.Logger { return fxevent.NopLogger }),
		fx.StartTimeout(startTimeout),
		fx.StopTimeout(stopTimeout),
	)
	if err := app.Err(); err != nil {
		return errors.Wrap(err, "build the instance")
	}
	if err := app.Start(ctx); err != nil {
		return errors.Wrap(err, "start the instance")
	}
	n.waitDrained(ctx)
	stop, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	return errors.Wrap(app.Stop(stop), "stop the instance")
}

// node is a running instance.
type node struct {
	cfg          Config
	log          *slog.Logger
	loop         *loop
	shared       *sharedState
	adapters     *adapters
	gauges       *gauges
	drained      chan struct{}
	serverErrors chan error
}

func newNode(cfg Config, log *slog.Logger, l *loop, shared *sharedState, a *adapters, m *metrics) *node {
	n := &node{
		cfg: cfg, log: log, loop: l, shared: shared, adapters: a,
		gauges:  &gauges{scope: m.scope},
		drained: make(chan struct{}), serverErrors: make(chan error, 1),
	}
	l.execute = n.execute
	l.afterTick = n.afterTick
	return n
}

// afterTick updates the shared state and the gauges.
func (n *node) afterTick(core *instance.Instance) {
	n.shared.update(core)
	n.gauges.report(time.Now(), core)
}

// waitDrained waits until the context ends, then until the instance has drained or
// the drain timeout has passed.
func (n *node) waitDrained(ctx context.Context) {
	select {
	case <-ctx.Done():
		n.startDrain()
	case <-n.drained:
		return
	case err := <-n.serverErrors:
		n.log.Error("HTTP server failed", "error", err)
		return
	}
	select {
	case <-n.drained:
		n.log.Info("drained")
	case <-time.After(n.cfg.DrainTimeout):
		n.log.Warn("drain timed out with calls in flight", "timeout", n.cfg.DrainTimeout.String())
	}
}
