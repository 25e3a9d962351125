// Package node runs an instance as a process: it joins the pure core with the
// adapters (callers, peers, log, membership, targets) and gives it a clock. It
// holds no policy. The parts are put together by fx.
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

// startTimeout and stopTimeout bound the hooks of fx; the drain has its own
// limit.
const (
	startTimeout = 10 * time.Second
	stopTimeout  = 10 * time.Second
)

// Run runs an instance until the context ends and the instance has drained. A
// second signal must end the process by other means.
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

func newNode(cfg Config, log *slog.Logger, l *loop, m *sharedState, a *adapters, counts *metrics) *node {
	n := &node{
		cfg: cfg, log: log, loop: l, shared: m, adapters: a,
		gauges:  &gauges{scope: counts.scope},
		drained: make(chan struct{}), serverErrors: make(chan error, 1),
	}
	l.execute = n.execute
	l.afterTick = n.afterTick
	return n
}

// afterTick brings what others read of the core up to date.
func (n *node) afterTick(core *instance.Instance) {
	n.shared.update(core)
	n.gauges.report(time.Now(), core)
}

// waitDrained waits for the signal to end, then until nothing is in flight or
// the drain timeout has passed.
func (n *node) waitDrained(ctx context.Context) {
	select {
	case <-ctx.Done():
		n.startDrain()
	case <-n.drained:
		return
	case err := <-n.serverErrors:
		n.log.Error("a server failed", "error", err)
		return
	}
	select {
	case <-n.drained:
		n.log.Info("drained")
	case <-time.After(n.cfg.DrainTimeout):
		n.log.Warn("drain timeout passed with calls in flight", "timeout", n.cfg.DrainTimeout.String())
	}
}
