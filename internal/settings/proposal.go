package settings

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/banyanglade/banyanglade/internal/structs"
)

const (
	// maxPending bounds the proposals that wait for the log.
	maxPending = 256
	// defaultProposalTimeout holds for a proposal without a deadline.
	defaultProposalTimeout = 10 * time.Second
	// proposalRetryEvery is the time between a failed append and the next
	// try. A try again is safe: the change id lets only one take effect.
	proposalRetryEvery = time.Second
)

// proposal is a record on its way to the log and back.
type proposal struct {
	id       string
	digest   uint64
	records  [][]byte
	requests []structs.RequestID
	deadline time.Time
	// inFlight is the present append, 0 if none.
	inFlight structs.AppendID
	// onLog tells that an append took effect, uncertain that one may have.
	onLog     bool
	uncertain bool
	// retryAt is the time of the next try, zero if none is wanted.
	retryAt time.Time
}

func (p *Proposer) propose(ev structs.SettingsPropose) {
	if result, refused := p.refusal(ev.Changes); refused {
		p.reply(ev.Request, result)
		return
	}
	changes := p.recordChanges(ev.Changes)
	digest := changesDigest(changes)
	if result, known := p.knownResult(changes, digest); known {
		p.reply(ev.Request, result)
		return
	}
	if waiting := p.pending[changes[0].ChangeID]; waiting != nil {
		p.join(waiting, digest, ev.Request)
		return
	}
	if result, refused := p.refusalByTree(ev.Changes); refused {
		p.reply(ev.Request, result)
		return
	}
	p.publish(ev, changes, digest)
}

// refusal refuses what is wrong in itself or cannot be judged now.
func (p *Proposer) refusal(changes []structs.SettingChange) (structs.SettingsResult, bool) {
	if found := Validate(changes); len(found) > 0 {
		return invalid(found), true
	}
	switch {
	case p.lost():
		return structs.SettingsResult{}, false
	case !p.catchUp.done:
		return notPublished("this instance has not caught up with the settings"), true
	case p.catchUp.gap:
		return notPublished("this instance lacks settings that the log no longer retains"), true
	case p.catchUp.behind:
		return notPublished("the log ends before the settings that this instance has applied"), true
	}
	return structs.SettingsResult{}, false
}

// knownResult answers a change id that the tree has seen.
func (p *Proposer) knownResult(changes []recordChange, digest uint64) (structs.SettingsResult, bool) {
	for _, change := range changes {
		outcome, seen := p.tree.Outcome(change.ChangeID)
		if !seen {
			continue
		}
		if outcome.Digest != digest {
			return reusedID(change), true
		}
		return resultOf(outcome), true
	}
	return structs.SettingsResult{}, false
}

// join lets a repeated request wait for the same record.
func (p *Proposer) join(waiting *proposal, digest uint64, request structs.RequestID) {
	if waiting.digest != digest {
		p.reply(request, reusedID(recordChange{ChangeID: waiting.id}))
		return
	}
	waiting.requests = append(waiting.requests, request)
}

// refusalByTree refuses what the present tree does not allow. A stale base has
// lost for good, since versions only grow.
func (p *Proposer) refusalByTree(changes []structs.SettingChange) (structs.SettingsResult, bool) {
	for _, change := range changes {
		if entry, _ := p.tree.Get(change.Path); entry.Version > change.Base {
			return lostResult(change.Path, entry.Version, entry.Author), true
		}
	}
	if found := p.tree.Validate(changes); len(found) > 0 {
		return invalid(found), true
	}
	if len(p.pending) >= maxPending {
		return notPublished("too many changes wait for the log"), true
	}
	return structs.SettingsResult{}, false
}

func (p *Proposer) recordChanges(changes []structs.SettingChange) []recordChange {
	list := make([]recordChange, len(changes))
	for i, c := range changes {
		value, _ := canonicalValue(c.Path, c.Value)
		list[i] = recordChange{
			Path: c.Path, Base: c.Base, Value: value, ChangeID: c.ChangeID,
			Author: c.Author, TimeMS: p.now.UnixMilli(),
		}
	}
	return list
}

// publish appends the record. If all settings are lost, an empty snapshot goes
// before it, so that every instance starts anew from the same state.
func (p *Proposer) publish(ev structs.SettingsPropose, changes []recordChange, digest uint64) {
	data, err := encodeRecord(record{Changes: changes})
	if err != nil {
		p.reply(ev.Request, notPublished("the change could not be encoded"))
		return
	}
	records := [][]byte{data}
	if p.lost() {
		empty, err := encodeRecord(record{Snapshot: &snapshot{Next: p.catchUp.next}})
		if err != nil {
			p.reply(ev.Request, notPublished("the snapshot could not be encoded"))
			return
		}
		records = [][]byte{empty, data}
	}
	deadline := ev.Deadline
	if deadline.IsZero() {
		deadline = p.now.Add(defaultProposalTimeout)
	}
	added := &proposal{
		id: changes[0].ChangeID, digest: digest, records: records,
		requests: []structs.RequestID{ev.Request}, deadline: deadline,
	}
	added.inFlight = p.append(records...)
	p.pending[added.id] = added
}

// waiting lists the proposals in order of id, so that a run can be repeated.
func (p *Proposer) waiting() []*proposal {
	if len(p.pending) == 0 {
		return nil
	}
	list := make([]*proposal, 0, len(p.pending))
	for _, id := range slices.Sorted(maps.Keys(p.pending)) {
		list = append(list, p.pending[id])
	}
	return list
}

func (p *Proposer) proposalOf(id structs.AppendID) *proposal {
	for _, waiting := range p.pending {
		if waiting.inFlight == id && id != 0 {
			return waiting
		}
	}
	return nil
}

func (w *proposal) appended() {
	w.inFlight, w.onLog, w.retryAt = 0, true, time.Time{}
}

// proposalFailed decides after a failed append. Only if every try was certainly
// refused is the change certainly not published.
func (p *Proposer) proposalFailed(w *proposal, refused bool) {
	w.inFlight = 0
	if refused && !w.uncertain {
		p.finish(w, notPublished("the log refused the record"))
		return
	}
	w.uncertain = true
	w.retryAt = p.now.Add(proposalRetryEvery)
}

// answerApplied answers the proposals whose record the tree has applied.
func (p *Proposer) answerApplied() {
	for _, waiting := range p.waiting() {
		outcome, ok := p.tree.Outcome(waiting.id)
		if !ok {
			continue
		}
		if outcome.Digest != waiting.digest {
			p.finish(waiting, reusedID(recordChange{ChangeID: waiting.id}))
			continue
		}
		p.finish(waiting, resultOf(outcome))
	}
}

// advancePending tries appends again and gives up at the deadline.
func (p *Proposer) advancePending() {
	for _, waiting := range p.waiting() {
		if !p.now.Before(waiting.deadline) {
			p.finish(waiting, structs.SettingsResult{Status: structs.SettingsUnknown,
				Detail: "the change could not be read back in time; it may still come into force"})
			continue
		}
		if !waiting.retryAt.IsZero() && !p.now.Before(waiting.retryAt) {
			waiting.retryAt = time.Time{}
			waiting.inFlight = p.append(waiting.records...)
		}
	}
}

func (p *Proposer) finish(w *proposal, result structs.SettingsResult) {
	delete(p.pending, w.id)
	for _, request := range w.requests {
		p.reply(request, result)
	}
}

func (p *Proposer) reply(request structs.RequestID, result structs.SettingsResult) {
	p.emit(structs.ReplySettings{Request: request, Result: result})
}

func resultOf(outcome Outcome) structs.SettingsResult {
	if outcome.Accepted {
		return structs.SettingsResult{
			Status: structs.SettingsAccepted, Path: outcome.Path, Version: outcome.Version,
			Offset: outcome.Offset, Winner: outcome.Winner,
		}
	}
	result := lostResult(outcome.Path, outcome.Version, outcome.Winner)
	if outcome.TooLarge {
		result.Detail = "another change came first, with which the tree would be too large"
	}
	result.Offset = outcome.Offset
	return result
}

func lostResult(path string, version uint64, winner string) structs.SettingsResult {
	detail := fmt.Sprintf("lost to version %d by %q", version, winner)
	if version == 0 {
		detail = "the path has no value, so the base is 0"
	}
	return structs.SettingsResult{
		Status: structs.SettingsLost, Path: path, Detail: detail,
		Expected: fmt.Sprintf("base %d", version), Version: version, Winner: winner,
	}
}

func invalid(found []*ValidationError) structs.SettingsResult {
	first := found[0]
	detail := first.Detail
	if first.Value != "" {
		detail += ": " + first.Value
	}
	if len(found) > 1 {
		detail += fmt.Sprintf(" (and %d more errors)", len(found)-1)
	}
	return structs.SettingsResult{
		Status: structs.SettingsInvalid, Path: first.Path, Detail: detail, Expected: first.Expected,
	}
}

func reusedID(change recordChange) structs.SettingsResult {
	return structs.SettingsResult{
		Status: structs.SettingsInvalid, Path: change.Path, Expected: "a unique change id",
		Detail: fmt.Sprintf("the change id %q was used for another change", change.ChangeID),
	}
}

func notPublished(detail string) structs.SettingsResult {
	return structs.SettingsResult{Status: structs.SettingsNotPublished, Detail: detail}
}
