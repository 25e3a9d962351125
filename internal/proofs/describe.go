package proofs

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/banyanglade/banyanglade/internal/journal"
	"github.com/banyanglade/banyanglade/internal/wire"
)

// describeAttempts lists the attempts of a call with their outcomes.
func describeAttempts(c Call) string {
	parts := make([]string, 0, len(c.Attempts))
	for _, a := range c.Attempts {
		outcome := string(a.Outcome)
		if a.Reason != "" {
			outcome += "(" + a.Reason + ")"
		}
		parts = append(parts, fmt.Sprintf("%s at %s from %d to %d", outcome, a.Instance, a.Start.UnixMilli(), a.End.UnixMilli()))
	}
	return "[" + strings.Join(parts, "; ") + "]"
}

func describeRuns(runs []wire.LedgerEntry) string {
	parts := make([]string, 0, len(runs))
	for _, run := range runs {
		parts = append(parts, fmt.Sprintf("%s at %d", run.Target, run.TimeMS))
	}
	return "[" + strings.Join(parts, "; ") + "]"
}

// describeLog lists the records of the journal streams.
func describeLog(e Evidence) string {
	var out strings.Builder
	for _, stream := range slices.Sorted(maps.Keys(e.Log)) {
		fmt.Fprintf(&out, "%s\n", stream)
		for _, r := range e.Log[stream] {
			rec, err := journal.Decode(r.Data)
			if err != nil {
				fmt.Fprintf(&out, "  %d at %d: %d bytes\n", r.Offset, r.TimeMS, len(r.Data))
				continue
			}
			body, _ := json.Marshal(rec.Body)
			fmt.Fprintf(&out, "  %d at %d: epoch %d of %s, %T %s\n", r.Offset, r.TimeMS, rec.Epoch, rec.Writer, rec.Body, truncate(string(body)))
		}
	}
	return out.String()
}

// describeEvidence lists the calls with their attempts and runs, the fault windows,
// and the changes and readings of settings.
func describeEvidence(e Evidence) string {
	runs := indexRuns(e)
	var out strings.Builder
	for i, c := range e.Calls {
		fmt.Fprintf(&out, "%s\n  attempts %s\n  runs %s\n", c.name(), describeAttempts(c), describeRuns(runs.byCall[i]))
	}
	for _, w := range e.FaultWindows {
		fmt.Fprintf(&out, "fault at %s from %d to %d\n", w.Instance, w.From.UnixMilli(), w.To.UnixMilli())
	}
	for _, c := range e.Changes {
		fmt.Fprintf(&out, "change %+v\n", c)
	}
	for _, r := range e.Readings {
		fmt.Fprintf(&out, "reading %+v\n", r)
	}
	return out.String()
}
