package owner

import (
	"github.com/banyanglade/banyanglade/internal/structs"
)

// replayed answers a call whose key is known: with the recorded outcome, by
// waiting with the call that runs, or by a refusal if the request differs.
func (p *program) replayed(from structs.InstanceID, m *structs.Submit, key string) bool {
	o := p.shard.o
	if c := p.calls[key]; c != nil {
		if c.spec.Digest != m.Call.Digest {
			p.refuseReused(from, m)
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
		return p.openDiffers(from, m, key)
	}
	if record.Digest != m.Call.Digest {
		p.refuseReused(from, m)
		return true
	}
	if p.mayRedo(key) {
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

// openDiffers refuses a key whose run of an earlier owner had another request.
func (p *program) openDiffers(from structs.InstanceID, m *structs.Submit, key string) bool {
	for _, run := range p.row().OpenRuns() {
		if run.Key == key && run.Digest != m.Call.Digest {
			p.refuseReused(from, m)
			return true
		}
	}
	return false
}

// mayRedo tells whether the call of a key may run again: it is repeatable, its
// outcome is not known and no later call of its lane was done.
func (p *program) mayRedo(key string) bool {
	row := p.row()
	if row == nil || row.Calls[key] == nil {
		return false
	}
	record := row.Calls[key]
	if record.NotRepeatable || record.Outcome.Kind != structs.OutcomeUnknown {
		return false
	}
	return record.Number == 0 || record.Number >= p.last(record.Lane)
}

// refuseReused refuses another request under a known key: the request itself
// never runs, whatever became of the key's first.
func (p *program) refuseReused(from structs.InstanceID, m *structs.Submit) {
	if p.shard.refutable(from, m) {
		return
	}
	p.shard.o.send(from, &structs.CallEnd{Request: m.Request, Outcome: notRun(structs.ReasonKeyReused, 0)})
}
