package node

import (
	"context"
	"log/slog"

	"github.com/banyanglade/banyanglade/internal/structs"
)

// Keys of the log attributes.
const (
	fieldShard   = "shard"
	fieldEpoch   = "epoch"
	fieldProgram = "program"
	fieldTeam    = "team"
	fieldLane    = "lane"
	fieldCall    = "call"
	fieldRun     = "run"
	fieldTarget  = "target"
	fieldReason  = "reason"
	fieldOther   = "other"
)

// logNote logs a note of the core and omits its empty fields.
func logNote(log *slog.Logger, note structs.Note) {
	attrs := []slog.Attr{
		slog.Any(fieldShard, note.Shard.Shard),
		slog.Any(fieldEpoch, note.Epoch),
	}
	add := func(name, value string) {
		if value != "" {
			attrs = append(attrs, slog.String(name, value))
		}
	}
	add(fieldProgram, string(note.Program))
	add(fieldTeam, string(note.Team))
	add(fieldLane, string(note.Lane))
	if note.Number > 0 {
		attrs = append(attrs, slog.Uint64(fieldCall, note.Number))
	}
	add(fieldRun, string(note.Run))
	add(fieldTarget, string(note.Target))
	add(fieldReason, string(note.Reason))
	add(fieldOther, string(note.Other))
	log.LogAttrs(context.Background(), slog.LevelInfo, note.Message, attrs...)
}

// logRun logs a send to a target at level DEBUG.
func logRun(log *slog.Logger, cmd structs.StartRun) {
	log.LogAttrs(context.Background(), slog.LevelDebug, "run sent",
		slog.String(fieldProgram, string(cmd.Call.Program)),
		slog.String(fieldLane, string(cmd.Call.Lane)),
		slog.Uint64(fieldCall, cmd.Call.Number),
		slog.Uint64(fieldEpoch, cmd.Fencing),
		slog.String(fieldRun, string(cmd.Run)),
		slog.String(fieldTarget, string(cmd.Target.ID)),
	)
}
