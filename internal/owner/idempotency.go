package owner

import (
	"github.com/banyanglade/banyanglade/internal/structs"
)

// handleKnownKey handles a request whose key is known. It replies with the
// recorded outcome, attaches the request to the live call, or refuses it if the
// request differs.
func (p *program) handleKnownKey(from structs.InstanceID, m *structs.Submit, key string) bool {
	o := p.shard.o
	if c := p.calls[key]; c != nil {
		if c.spec.Digest != m.Call.Digest {
			p.refuseKeyReused(from, m)
			return true
		}
		o.send(from, &structs.SubmitAccepted{Request: m.Request})
		c.attach(from, m)
		return true
	}
	row := p.row()
	if row == nil {
		return false
	}
	record := row.Calls[key]
	if record == nil {
		return p.refuseOpenKeyReuse(from, m, key)
	}
	if record.Digest != m.Call.Digest {
		p.refuseKeyReused(from, m)
		return true
	}
	if p.mayRerun(key) {
		return false
	}
	out := record.Outcome
	out.Replayed = true
	if m.NextPiece > 0 && m.ReceivedRun != record.Run {
		out = unknown(structs.ReasonTargetFailed)
	}
	o.send(from, &structs.CallEnd{Request: m.Request, Run: record.Run, Outcome: out})
	return true
}

// refuseOpenKeyReuse refuses a request whose key belongs to a different request
// that a previous owner started.
func (p *program) refuseOpenKeyReuse(from structs.InstanceID, m *structs.Submit, key string) bool {
	for _, run := range p.row().OpenRuns() {
		if run.Key == key && run.Digest != m.Call.Digest {
			p.refuseKeyReused(from, m)
			return true
		}
	}
	return false
}

// mayRerun reports whether the call of a key may run again: it is repeatable, its
// outcome is unknown and no later call of its lane has completed.
func (p *program) mayRerun(key string) bool {
	row := p.row()
	if row == nil || row.Calls[key] == nil {
		return false
	}
	record := row.Calls[key]
	if record.NotRepeatable || record.Outcome.Kind != structs.OutcomeUnknown {
		return false
	}
	return record.Number == 0 || record.Number >= p.lastNumber(record.Lane)
}

// refuseKeyReused refuses a different request under a known key. The refused
// request never runs, whatever the outcome of the first one.
func (p *program) refuseKeyReused(from structs.InstanceID, m *structs.Submit) {
	if p.shard.deferRefusal(from, m) {
		return
	}
	p.shard.o.send(from, &structs.CallEnd{Request: m.Request, Outcome: notRun(structs.ReasonKeyReused, 0)})
}
