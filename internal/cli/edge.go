package cli

import (
	"context"

	"github.com/cockroachdb/errors"

	"github.com/banyanglade/banyanglade/internal/edge"
)

// EdgeCommand is the flags of an instance on the users' platform, which tells
// everything else in its settings file.
type EdgeCommand struct {
	edge.Options
}

func (c *EdgeCommand) execute(ctx context.Context, p *Program) error {
	if err := c.Validate(); err != nil {
		return errors.Mark(err, errUsage)
	}
	return edge.Run(ctx, c.Options, p.Out)
}
