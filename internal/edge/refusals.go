package edge

import (
	"log/slog"

	"github.com/cockroachdb/errors"
	"github.com/uber-go/tally/v4"

	"github.com/banyanglade/banyanglade/platform"
)

// causeEarlierStart is that of an entry which an earlier start of a target
// wrote; it changes nothing.
const causeEarlierStart platform.EntryCause = "earlier_start"

// maxTrackedRefusals bounds the refused entries that are remembered, so that a
// writer of many keys takes no memory; entries beyond it are counted only.
const maxTrackedRefusals = 256

// refusals counts entries that name no target to use, and logs each once for as
// long as it is refused for the same cause. It is not safe for concurrent use.
type refusals struct {
	scope  tally.Scope
	log    *slog.Logger
	causes map[string]platform.EntryCause
}

func newRefusals(scope tally.Scope, log *slog.Logger) *refusals {
	return &refusals{scope: scope.SubScope("targets"), log: log, causes: make(map[string]platform.EntryCause)}
}

// record takes an entry that is refused.
func (r *refusals) record(id string, offset int64, cause platform.EntryCause) {
	r.scope.Tagged(map[string]string{"cause": string(cause)}).Counter("entries_refused").Inc(1)
	last, known := r.causes[id]
	if last == cause || (!known && len(r.causes) >= maxTrackedRefusals) {
		return
	}
	r.causes[id] = cause
	r.log.Warn("target's entry refused", "target", id, "cause", cause, "offset", offset)
}

// remove ends the refusal of an entry.
func (r *refusals) remove(id string) { delete(r.causes, id) }

// causeOf is why an entry could not be decoded.
func causeOf(err error) platform.EntryCause {
	var refused *platform.EntryError
	if errors.As(err, &refused) {
		return refused.Cause
	}
	return platform.CauseEncoding
}
