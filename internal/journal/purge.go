package journal

import (
	"strings"

	"github.com/banyanglade/banyanglade/internal/structs"
)

// GeneratedKeyPrefix is the prefix of idempotency keys generated for calls whose
// caller gave none. Owners and gateways generate such keys.
const GeneratedKeyPrefix = "request/"

// PurgeProgram removes a program's idempotency records and repeatable runs older
// than beforeMS; generatedBeforeMS applies to calls with a generated key. Both are
// in Unix milliseconds. It reports whether the program itself can be removed: it
// is closed, has no calls or open runs and no target may hold its cache.
func (s *State) PurgeProgram(p *Program, beforeMS, generatedBeforeMS int64) bool {
	for key, call := range p.Calls {
		limit := beforeMS
		if strings.HasPrefix(key, GeneratedKeyPrefix) {
			limit = generatedBeforeMS
		}
		if call.TimeMS < limit {
			s.Bytes -= outcomeSize(&call.Outcome)
			delete(p.Calls, key)
		}
	}
	for id, run := range p.Open {
		if !run.NotRepeatable && run.TimeMS < beforeMS {
			delete(p.Open, id)
		}
	}
	limit := beforeMS
	if p.Single {
		limit = generatedBeforeMS
	}
	return p.Closed && p.UpdatedMS < limit && len(p.Calls) == 0 && len(p.Open) == 0 && len(p.Placements) == 0
}

// PurgeWriters removes ledger grants and writers older than beforeMS, except the
// current owner and the exempt writer.
func (s *State) PurgeWriters(exempt string, beforeMS int64) {
	for id, w := range s.Writers {
		if id != exempt && id != s.Writer && w.TimeMS < beforeMS {
			delete(s.Writers, id)
		}
	}
	for _, l := range s.Ledgers {
		for id, g := range l.Grants {
			if g.TimeMS < beforeMS {
				delete(l.Grants, id)
			}
		}
	}
}

// outcomeSize returns the size of an outcome in bytes.
func outcomeSize(out *structs.Outcome) int64 {
	return int64(len(out.Body) + len(out.Text) + len(out.ToolCalls))
}
