package cli

import (
	"context"
	"io"
	"os"

	"github.com/cockroachdb/errors"

	"github.com/banyanglade/banyanglade/internal/explain"
)

// ExplainCommand prints the log lines about a request or program in order of time.
type ExplainCommand struct {
	ID    string   `arg:"positional,required" help:"id of a request or program"`
	Files []string `arg:"positional" help:"log files of instances; standard input if none is given"`
}

func (c *ExplainCommand) execute(_ context.Context, p *Program) error {
	logs := []io.Reader{os.Stdin}
	if len(c.Files) > 0 {
		logs = nil
	}
	for _, name := range c.Files {
		file, err := os.Open(name)
		if err != nil {
			return errors.Wrap(err, "open a log")
		}
		defer file.Close()
		logs = append(logs, file)
	}
	timeline, err := explain.Read(c.ID, logs...)
	if err != nil {
		return err
	}
	return timeline.Write(p.Out)
}
