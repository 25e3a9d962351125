package main

import (
	"context"

	"github.com/cockroachdb/errors"

	"github.com/banyanglade/banyanglade/internal/cli"
)

// runInstance runs an instance.
func runInstance(context.Context, cli.RunConfig) error {
	return errors.New("this build cannot run an instance: package node is not wired in yet")
}
