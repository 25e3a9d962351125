package cli

import (
	"context"
	"fmt"
	"io"

	"github.com/alexflint/go-arg"
	"github.com/cockroachdb/errors"
)

const programName = "banyanglade"

// Exit codes.
const (
	exitOK     = 0
	exitFailed = 1
	exitUsage  = 2
)

// Program runs the command line.
type Program struct {
	// Version is printed by the version command.
	Version string
	// RunInstance runs an instance until the context is cancelled and the
	// instance has drained.
	RunInstance func(ctx context.Context, config RunConfig) error
	Out         io.Writer
	Err         io.Writer
}

// command is implemented by each subcommand.
type command interface {
	execute(ctx context.Context, p *Program) error
}

// errUsage marks errors of a command line that parses but has invalid or
// conflicting values.
var errUsage = errors.New("wrong usage")

// errReported is returned by commands that have already printed their failure.
var errReported = errors.New("reported")

// Main parses the arguments (without the program's name), runs the command and
// returns the exit code.
func (p *Program) Main(ctx context.Context, arguments []string) int {
	var args Args
	parser, err := arg.NewParser(arg.Config{Program: programName}, &args)
	if err != nil {
		fmt.Fprintln(p.Err, "error:", err)
		return exitUsage
	}
	err = parser.Parse(arguments)
	if errors.Is(err, arg.ErrHelp) {
		_ = parser.WriteHelpForSubcommand(p.Out, parser.SubcommandNames()...)
		return exitOK
	}
	if err != nil {
		return p.printUsage(parser, err)
	}
	chosen, ok := parser.Subcommand().(command)
	if !ok {
		return p.printUsage(parser, errors.New("missing command"))
	}
	return p.finish(parser, chosen.execute(ctx, p))
}

// finish prints the error, if any, and returns the exit code.
func (p *Program) finish(parser *arg.Parser, err error) int {
	switch {
	case err == nil:
		return exitOK
	case errors.Is(err, errUsage):
		return p.printUsage(parser, err)
	case errors.Is(err, errReported):
		return exitFailed
	}
	fmt.Fprintln(p.Err, "error:", err)
	return exitFailed
}

func (p *Program) printUsage(parser *arg.Parser, err error) int {
	_ = parser.WriteUsageForSubcommand(p.Err, parser.SubcommandNames()...)
	fmt.Fprintln(p.Err, "error:", err)
	return exitUsage
}
