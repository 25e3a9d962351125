package settings

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/banyanglade/banyanglade/internal/structs"
)

const (
	// maxPending is the maximum number of proposals waiting for the log.
	maxPending = 256
	// defaultProposalTimeout applies to a proposal without a deadline.
	defaultProposalTimeout = 10 * time.Second
	// proposalRetryInterval is the delay after a failed append. Retries are safe: the
	// change id lets only one take effect.
	proposalRetryInterval = time.Second
)

// proposal is a record being published until it is read back.
type proposal struct {
	id       string
	digest   uint64
	records  [][]byte
	requests []structs.RequestID
	deadline time.Time
	// inFlight is the append in progress, 0 if none.
	inFlight structs.AppendID
	// onLog indicates that an append took effect, uncertain that one may have.
	onLog     bool
	uncertain bool
	// retryAt is the time of the next attempt, zero if none is scheduled.
	retryAt time.Time
}

func (p *Proposer) propose(ev structs.SettingsPropose) {
	if result, refused := p.checkRequest(ev.Changes); refused {
		p.reply(ev.Request, result)
		return
	}
	changes := p.recordChanges(ev.Changes)
	digest := changesDigest(changes)
	if result, known := p.knownResult(changes, digest); known {
		p.reply(ev.Request, result)
		return
	}
	if pending := p.pending[changes[0].ChangeID]; pending != nil {
		p.attach(pending, digest, ev.Request)
		return
	}
	if result, refused := p.checkAgainstTree(ev.Changes); refused {
		p.reply(ev.Request, result)
		return
	}
	p.publish(ev, changes, digest)
}

// checkRequest rejects invalid changes and any change that this instance cannot
// evaluate now.
func (p *Proposer) checkRequest(changes []structs.SettingChange) (structs.SettingsResult, bool) {
	if found := Validate(changes); len(found) > 0 {
		return invalidResult(found), true
	}
	switch {
	case p.settingsLost():
		return structs.SettingsResult{}, false
	case !p.catchUp.done:
		return notPublishedResult("this instance has not caught up with the settings"), true
	case p.catchUp.gap:
		return notPublishedResult("this instance lacks settings that the log no longer retains"), true
	case p.catchUp.logBehind:
		return notPublishedResult("the log ends before the settings that this instance has applied"), true
	}
	return structs.SettingsResult{}, false
}

// knownResult returns the result of a change id that the tree has applied.
func (p *Proposer) knownResult(changes []recordChange, digest uint64) (structs.SettingsResult, bool) {
	for _, change := range changes {
		outcome, seen := p.tree.Outcome(change.ChangeID)
		if !seen {
			continue
		}
		if outcome.Digest != digest {
			return reusedIDResult(change), true
		}
		return resultFor(outcome), true
	}
	return structs.SettingsResult{}, false
}

// attach makes a repeated request wait for the pending record.
func (p *Proposer) attach(pending *proposal, digest uint64, request structs.RequestID) {
	if pending.digest != digest {
		p.reply(request, reusedIDResult(recordChange{ChangeID: pending.id}))
		return
	}
	pending.requests = append(pending.requests, request)
}

// checkAgainstTree rejects changes that the current tree does not allow. Versions only
// grow, so a stale base can be rejected for good.
func (p *Proposer) checkAgainstTree(changes []structs.SettingChange) (structs.SettingsResult, bool) {
	for _, change := range changes {
		if entry, _ := p.tree.Get(change.Path); entry.Version > change.Base {
			return lostResult(change.Path, entry.Version, entry.Author), true
		}
	}
	if found := p.tree.Validate(changes); len(found) > 0 {
		return invalidResult(found), true
	}
	if len(p.pending) >= maxPending {
		return notPublishedResult("too many changes wait for the log"), true
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

// publish appends the record. If all settings are lost, it first appends an empty
// snapshot, so that every instance starts again from the same state.
func (p *Proposer) publish(ev structs.SettingsPropose, changes []recordChange, digest uint64) {
	data, err := encodeRecord(record{Changes: changes})
	if err != nil {
		p.reply(ev.Request, notPublishedResult("the change could not be encoded"))
		return
	}
	records := [][]byte{data}
	if p.settingsLost() {
		empty, err := encodeRecord(record{Snapshot: &snapshot{Next: p.catchUp.next}})
		if err != nil {
			p.reply(ev.Request, notPublishedResult("the snapshot could not be encoded"))
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

// pendingInOrder returns the proposals ordered by id, so that runs are reproducible.
func (p *Proposer) pendingInOrder() []*proposal {
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
	for _, pending := range p.pending {
		if pending.inFlight == id && id != 0 {
			return pending
		}
	}
	return nil
}

func (pending *proposal) appended() {
	pending.inFlight, pending.onLog, pending.retryAt = 0, true, time.Time{}
}

// proposalFailed handles a failed append. The change is certainly not published only
// if every attempt was refused.
func (p *Proposer) proposalFailed(pending *proposal, refused bool) {
	pending.inFlight = 0
	if refused && !pending.uncertain {
		p.complete(pending, notPublishedResult("the log refused the record"))
		return
	}
	pending.uncertain = true
	pending.retryAt = p.now.Add(proposalRetryInterval)
}

// replyToApplied replies to the proposals whose record the tree has applied.
func (p *Proposer) replyToApplied() {
	for _, pending := range p.pendingInOrder() {
		outcome, ok := p.tree.Outcome(pending.id)
		if !ok {
			continue
		}
		if outcome.Digest != pending.digest {
			p.complete(pending, reusedIDResult(recordChange{ChangeID: pending.id}))
			continue
		}
		p.complete(pending, resultFor(outcome))
	}
}

// advancePending retries appends and completes proposals past their deadline with
// SettingsUnknown.
func (p *Proposer) advancePending() {
	for _, pending := range p.pendingInOrder() {
		if !p.now.Before(pending.deadline) {
			p.complete(pending, structs.SettingsResult{Status: structs.SettingsUnknown,
				Detail: "the change could not be read back in time; it may still come into force"})
			continue
		}
		if !pending.retryAt.IsZero() && !p.now.Before(pending.retryAt) {
			pending.retryAt = time.Time{}
			pending.inFlight = p.append(pending.records...)
		}
	}
}

func (p *Proposer) complete(pending *proposal, result structs.SettingsResult) {
	delete(p.pending, pending.id)
	for _, request := range pending.requests {
		p.reply(request, result)
	}
}

func (p *Proposer) reply(request structs.RequestID, result structs.SettingsResult) {
	p.emit(structs.ReplySettings{Request: request, Result: result})
}

func resultFor(outcome Outcome) structs.SettingsResult {
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

func invalidResult(found []*ValidationError) structs.SettingsResult {
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

func reusedIDResult(change recordChange) structs.SettingsResult {
	return structs.SettingsResult{
		Status: structs.SettingsInvalid, Path: change.Path, Expected: "a unique change id",
		Detail: fmt.Sprintf("the change id %q was used for another change", change.ChangeID),
	}
}

func notPublishedResult(detail string) structs.SettingsResult {
	return structs.SettingsResult{Status: structs.SettingsNotPublished, Detail: detail}
}
