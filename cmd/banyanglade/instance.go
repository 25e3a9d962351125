package main

import (
	"context"
	"log/slog"
	"os"

	"github.com/banyanglade/banyanglade/internal/cli"
	"github.com/banyanglade/banyanglade/internal/node"
)

// runInstance runs an instance that logs to standard error as JSON lines.
func runInstance(ctx context.Context, cfg cli.RunConfig) error {
	handler := slog.NewJSONHandler(os.Stderr, &slog.HandlerOptions{Level: cfg.LogLevel})
	log := slog.New(handler).With("instance", cfg.ID)
	return node.Run(ctx, node.Config{
		ID:            cfg.ID,
		Region:        cfg.Region,
		DataCentre:    cfg.DataCentre,
		CallerListen:  cfg.Listen,
		PeerListen:    cfg.PeerListen,
		PeerAdvertise: cfg.PeerAdvertise,
		LogURL:        cfg.LogURL,
		MembersURL:    cfg.MembersURL,
		Shards:        cfg.Shards,
		PeerKey:       []byte(cfg.PeerKey.Reveal()),
		PeerTLS:       node.PeerTLS{CertFile: cfg.PeerTLSCert, KeyFile: cfg.PeerTLSKey, CAFile: cfg.PeerTLSCA},
		RootKeyHash:   cfg.RootKeySHA256,
		Retention:     cfg.Retention,
		DrainTimeout:  cfg.DrainTimeout,
		MaxBody:       cfg.MaxBody,
	}, log)
}
