// Command standins serves test stand-ins of the external systems on loopback: the
// log service, the membership list, model engines, and tool and plain services. It
// is a tool for tests.
//
// Once all stand-ins listen it writes one JSON line to standard output:
//
//	{"log":"http://…","members":"http://…","targets":[…]}
//
// POST /standin/faults on each URL sets faults. POST /standin/stop on a target
// simulates a crash. GET /standin/ledger on a target lists the requests that it
// ran, and GET /standin/stats on the log returns append statistics.
//
// It exits with status 0 on SIGTERM or SIGINT, and with --exit-with-parent also
// when its standard input is closed.
package main

import (
	"context"
	"encoding/json"
	"io"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"github.com/alexflint/go-arg"
	"github.com/cockroachdb/errors"

	"github.com/banyanglade/banyanglade/internal/standin/cluster"
)

func main() {
	slog.SetDefault(slog.New(slog.NewJSONHandler(os.Stderr, nil)))
	args := defaultArgs()
	arg.MustParse(&args)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if args.ExitWithParent {
		ctx = withInputClose(ctx, os.Stdin)
	}
	if err := run(ctx, args, os.Stdout); err != nil {
		slog.Error("stand-ins failed", "error", err)
		os.Exit(1)
	}
}

// run serves the stand-ins until the context ends.
func run(ctx context.Context, args args, output io.Writer) error {
	started, err := cluster.Start(args.settings())
	if err != nil {
		return err
	}
	defer started.Close()
	if err := json.NewEncoder(output).Encode(started.Endpoints()); err != nil {
		return errors.Wrap(err, "write the ready line")
	}
	<-ctx.Done()
	slog.Info("stand-ins stopped")
	return nil
}

// withInputClose returns a context that is also cancelled when the input is closed.
func withInputClose(ctx context.Context, input io.Reader) context.Context {
	ctx, cancel := context.WithCancel(ctx)
	go func() {
		defer cancel()
		_, _ = io.Copy(io.Discard, input)
	}()
	return ctx
}
