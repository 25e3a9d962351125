// Command banyanglade schedules the calls of agent programs onto model engines,
// tool services and plain services. See "banyanglade --help".
package main

import (
	"context"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/banyanglade/banyanglade/internal/cli"
)

// version is set by the linker in release builds.
var version = ""

func main() {
	os.Exit(run())
}

func run() int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	// The first signal starts the graceful shutdown and removes the handler, so
	// that a second one terminates the process immediately.
	context.AfterFunc(ctx, stop)
	program := cli.Program{
		Version:     buildVersion(),
		RunInstance: runInstance,
		Out:         os.Stdout,
		Err:         os.Stderr,
	}
	return program.Main(ctx, os.Args[1:])
}

// buildVersion returns the version set by the linker, or else the source revision.
func buildVersion() string {
	if version != "" {
		return version
	}
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	for _, setting := range info.Settings {
		if setting.Key == "vcs.revision" {
			return setting.Value
		}
	}
	return info.Main.Version
}
