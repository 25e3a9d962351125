package edge

import (
	"log/slog"

	"github.com/cockroachdb/errors"
	"github.com/uber-go/tally/v4"

	"github.com/banyanglade/banyanglade/platform"
)

// causeEarlierStart is the cause for an entry written by an earlier incarnation of a
// target. Such an entry changes nothing.
const causeEarlierStart platform.EntryCause = "earlier_start"

// maxTrackedRefusals bounds the memory for refused entries if a writer uses many keys.
// Further refusals are counted but not logged.
const maxTrackedRefusals = 256

// refusals counts refused entries of targets, and logs each once until its cause changes
// or it is no longer refused. It is not safe for concurrent use.
type refusals struct {
	scope  tally.Scope
	log    *slog.Logger
	causes map[string]platform.EntryCause
}

func newRefusals(scope tally.Scope, log *slog.Logger) *refusals {
	return &refusals{scope: scope.SubScope("targets"), log: log, causes: make(map[string]platform.EntryCause)}
}

// record counts a refused entry.
func (r *refusals) record(id string, offset int64, cause platform.EntryCause) {
	r.scope.Tagged(map[string]string{"cause": string(cause)}).Counter("entries_refused").Inc(1)
	last, known := r.causes[id]
	if last == cause || (!known && len(r.causes) >= maxTrackedRefusals) {
		return
	}
	r.causes[id] = cause
	r.log.Warn("target's entry refused", "target", id, "cause", cause, "offset", offset)
}

// remove stops tracking an entry that is no longer refused.
func (r *refusals) remove(id string) { delete(r.causes, id) }

// causeOf returns why an entry could not be decoded.
func causeOf(err error) platform.EntryCause {
	var refused *platform.EntryError
	if errors.As(err, &refused) {
		return refused.Cause
	}
	return platform.CauseEncoding
}
