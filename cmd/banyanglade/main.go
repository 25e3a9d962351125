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

// version is set by the linker for a release.
var version = ""

func main() {
	os.Exit(run())
}

func run() int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	// The first signal starts the graceful shutdown; with the handler gone, a
	// second one ends the process at once.
	context.AfterFunc(ctx, stop)
	program := cli.Program{
		Version:     buildVersion(),
		RunInstance: runInstance,
		Out:         os.Stdout,
		Err:         os.Stderr,
	}
	return program.Main(ctx, os.Args[1:])
}

// buildVersion is the linked version, or else the revision of the source.
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
