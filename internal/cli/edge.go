package cli

import (
	"context"

	"github.com/cockroachdb/errors"

	"github.com/banyanglade/banyanglade/internal/edge"
)

// EdgeCommand runs an instance on the users' platform, where everything else is
// configured in the settings file.
type EdgeCommand struct {
	edge.Options
}

func (c *EdgeCommand) execute(ctx context.Context, p *Program) error {
	if err := c.Validate(); err != nil {
		return errors.Mark(err, errUsage)
	}
	return edge.Run(ctx, c.Options, p.Out)
}
