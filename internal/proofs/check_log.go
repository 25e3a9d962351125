package proofs

import (
	"github.com/banyanglade/banyanglade/internal/journal"
	"github.com/banyanglade/banyanglade/internal/structs"
	"github.com/banyanglade/banyanglade/internal/wire"
)

// intentID identifies a not-repeatable call in the log.
type intentID struct{ program, key string }

// checkIntents finds not-repeatable runs that no valid Intent in the log precedes.
func checkIntents(e Evidence, runs *runIndex) []Violation {
	intents := make(map[intentID]int64)
	for stream, records := range e.Log {
		if stream != structs.SettingsStream {
			collectIntents(records, intents)
		}
	}
	var found []Violation
	for i, call := range e.Calls {
		if !call.NotRepeatable {
			continue
		}
		for _, run := range runs.byCall[i] {
			at, ok := intents[intentID{run.Program, call.Key}]
			if e.Dropped[shardStream(run.Program)] {
				continue
			}
			if !ok {
				found = append(found, violation(PropertyIntent, "%s ran at %s without one", call.name(), run.Target))
			} else if at > run.TimeMS+clockSlackMS {
				found = append(found, violation(PropertyIntent, "%s ran at %d, before its intent at %d", call.name(), run.TimeMS, at))
			}
		}
	}
	return found
}

// collectIntents adds the times of the valid Intents of a journal stream. The
// first claim of an epoch wins, and an Intent of an older epoch after it is void.
func collectIntents(records []wire.LogRecord, intents map[intentID]int64) {
	var epoch structs.Epoch
	var writer string
	for _, r := range records {
		rec, err := journal.Decode(r.Data)
		if err != nil {
			continue
		}
		switch body := rec.Body.(type) {
		case *journal.Claim:
			if rec.Epoch > epoch {
				epoch, writer = rec.Epoch, rec.Writer
			}
		case *journal.Intent:
			id := intentID{string(body.Program), body.Key}
			if _, known := intents[id]; !known && rec.Epoch == epoch && rec.Writer == writer {
				intents[id] = r.TimeMS
			}
		}
	}
}

// ownerInLog returns the instance with the newest claim of a shard in the log.
func ownerInLog(records []wire.LogRecord) structs.InstanceID {
	var epoch structs.Epoch
	var owner structs.InstanceID
	for _, r := range records {
		rec, err := journal.Decode(r.Data)
		if err != nil {
			continue
		}
		if claim, ok := rec.Body.(*journal.Claim); ok && rec.Epoch > epoch {
			epoch, owner = rec.Epoch, claim.Instance
		}
	}
	return owner
}
