package budget

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/banyanglade/banyanglade/internal/structs"
	"github.com/banyanglade/banyanglade/platform"
)

const (
	// storeTimeout bounds one call to the store, which replies within milliseconds, or
	// within a few hundred when it is slow.
	storeTimeout = 700 * time.Millisecond
	// degradedStoreTimeout bounds one call to the store while reads of other topics
	// fail: turns should not wait for a partition that the store does not serve.
	degradedStoreTimeout = 100 * time.Millisecond
	// maxClaimAttempts bounds the attempts of one claim; other writers may append
	// between the read and the conditional append.
	maxClaimAttempts = 4
	// claimBackoff is the pause after a failed claim: each claim costs calls to the
	// store.
	claimBackoff = 400 * time.Millisecond
	// maxFirstSequence bounds the random first sequence number of an epoch. It is
	// random so that the store does not take another claim under the same epoch for a
	// retry of this one.
	maxFirstSequence = 1 << 40
)

// startClaim claims a partition in the background. The mutex is held.
func (m *Manager) startClaim(p *partition) {
	if p.claiming || m.leaving.Load() || time.Now().Before(p.claimAfter) {
		return
	}
	p.claiming = true
	m.spawn(func() { m.claim(p) })
}

// claim claims a partition and replies to the requests that wait for it.
func (m *Manager) claim(p *partition) {
	m.mu.Lock()
	previousOwner := p.owner
	m.mu.Unlock()
	err := m.tryClaim(p)
	m.mu.Lock()
	p.claiming = false
	if err != nil {
		p.claimAfter = time.Now().Add(claimBackoff)
		m.refuseRecordWaiters(p)
	}
	parked := p.waitingForClaim
	p.waitingForClaim = nil
	owned := p.own != nil
	for _, waiting := range parked {
		switch {
		case owned:
			m.admit(p, waiting.request, waiting.reply)
		case m.ownerUsable(p):
			waiting.reply(result{outcome: structs.ReservationNotOwner, owner: p.owner})
		default:
			waiting.reply(result{outcome: structs.ReservationUnavailable})
		}
	}
	m.mu.Unlock()
	if err != nil {
		m.log.Warn("partition not claimed", "partition", p.number, "error", err.Error())
		return
	}
	if owned {
		m.announce(previousOwner)
	}
}

// tryClaim claims a partition, unless an available instance owns it.
func (m *Manager) tryClaim(p *partition) error {
	var err error
	for range maxClaimAttempts {
		var done bool
		done, err = m.claimOnce(p)
		if done {
			return nil
		}
		if err != nil && !retryable(err) {
			return err
		}
	}
	return err
}

// retryable reports whether a claim may succeed if retried at once: another writer
// appended in between, or the outcome is unknown.
func retryable(err error) bool {
	return !errors.Is(err, platform.ErrBusy) && !errors.Is(err, platform.ErrRejected) && !errors.Is(err, errReadFailed)
}

// errReadFailed indicates that a partition could not be read before a claim.
var errReadFailed = errors.New("could not read the partition")

// claimOnce reads the partition and claims it unless another instance owns it. It
// returns true if the partition has an owner afterwards.
func (m *Manager) claimOnce(p *partition) (bool, error) {
	state, err := m.read(p)
	if err != nil {
		return false, errors.Mark(err, errReadFailed)
	}
	if state.owner != nil {
		// When all instances start together, an owner may be known by its claim before
		// it is listed. Without this each instance would claim in turn.
		m.directory.Discover(state.owner.Owner, state.owner.Address)
		m.awaitProbe(state.owner.Owner)
		if m.adoptOwner(p, state.owner) {
			return true, nil
		}
	}
	claim := ownerRecord{Epoch: 1, Owner: m.self.ID, Address: m.self.Address}
	if state.owner != nil {
		claim.Epoch = state.owner.Epoch + 1
	}
	clean := m.hasAccountsOf(p, state.owner)
	crashes := m.crashesBefore(p, state.owner, clean)
	claim.Crashes = &crashes
	m.describeClaim(&claim, p, state.owner, clean)
	sequence := rand.Int64N(maxFirstSequence)
	err = m.appendClaim(p, claim, sequence, state.end)
	if err != nil {
		return false, err
	}
	return true, m.becomeOwner(p, claim, sequence, state, clean)
}

// storeContext returns a context for one call to the store.
func (m *Manager) storeContext() (context.Context, context.CancelFunc) {
	if m.health.OK() {
		return context.WithTimeout(m.ctx, storeTimeout)
	}
	return context.WithTimeout(m.ctx, degradedStoreTimeout)
}

func (m *Manager) read(p *partition) (partitionState, error) {
	ctx, cancel := m.storeContext()
	defer cancel()
	list, err := m.store.Newest(ctx, topic, p.number)
	if err != nil {
		return partitionState{}, err
	}
	return decodePartition(list)
}

// probeTimeout bounds the wait for the reply of an owner that did not reply before. A
// running one replies within milliseconds, and the machine of a crashed process refuses
// the connection as fast.
const probeTimeout = 250 * time.Millisecond

// awaitProbe probes an unresponsive owner before its partition is claimed. An instance
// that resumes after a pause finds all its connections broken and must not take over
// the partitions of running owners, whose accounts would be lost.
func (m *Manager) awaitProbe(owner structs.InstanceID) {
	if !m.directory.Suspected(owner) {
		return
	}
	replied := make(chan struct{}, 1)
	m.mu.Lock()
	m.probes[owner] = append(m.probes[owner], replied)
	m.mu.Unlock()
	m.peers.Probe(owner)
	timer := time.NewTimer(probeTimeout)
	defer timer.Stop()
	select {
	case <-replied:
	case <-timer.C:
	case <-m.ctx.Done():
	}
}

// resolveProbes ends all waits for a probe of an instance. The mutex is held.
func (m *Manager) resolveProbes(id structs.InstanceID) {
	for _, replied := range m.probes[id] {
		replied <- struct{}{}
	}
	delete(m.probes, id)
}

// adoptOwner accepts the owner in the store if it is available or is this instance. It
// reports whether the partition has an owner.
func (m *Manager) adoptOwner(p *partition, owner *ownerRecord) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if owner.Owner == m.self.ID {
		// An earlier attempt of this claim took effect, but its response was lost
		// together with the sequence number: claim again.
		return p.own != nil && p.own.claimed && p.own.epoch == owner.Epoch
	}
	if p.own != nil && p.own.epoch >= owner.Epoch {
		// The partition was handed over to this instance.
		return false
	}
	if !m.directory.Usable(owner.Owner) {
		return false
	}
	if p.own != nil {
		m.dropOwnership(p, owner.Owner, "another instance has claimed it")
	}
	m.setOwner(p, owner.Owner, owner.Epoch)
	return true
}

// hasAccountsOf reports whether this instance holds the exact accounts of the owner in
// the store.
func (m *Manager) hasAccountsOf(p *partition, owner *ownerRecord) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return p.own != nil && owner != nil && p.own.epoch == owner.Epoch
}

// crashesBefore returns how many owners before a claim of this instance may have
// allocated their slice. An instance that never learned of its own claim, because the
// response was lost, allocated nothing.
func (m *Manager) crashesBefore(p *partition, owner *ownerRecord, clean bool) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	switch {
	case clean:
		// The accounts that were handed over have used this slice.
		p.servedEpoch = owner.Epoch + 1
		return p.own.crashes
	case owner == nil:
		return 0
	case owner.Owner == m.self.ID && owner.Epoch > p.servedEpoch:
		return owner.crashes()
	}
	return owner.crashes() + 1
}

func (m *Manager) appendClaim(p *partition, claim ownerRecord, sequence, end int64) error {
	ctx, cancel := m.storeContext()
	defer cancel()
	_, err := m.store.Append(ctx, platform.Append{
		Topic: topic, Partition: p.number, ExpectedEnd: &end,
		Records: []platform.Record{{Key: ownerKey, Value: encode(claim)}},
		Writer:  &platform.Writer{Name: writerName, Epoch: claim.Epoch, Sequence: sequence},
	})
	return err
}

// becomeOwner makes this instance the owner after its claim was appended.
func (m *Manager) becomeOwner(p *partition, claim ownerRecord, sequence int64, state partitionState, clean bool) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if clean && (p.own == nil || state.owner == nil || p.own.epoch != state.owner.Epoch) {
		// The accounts were dropped or handed over between the check and the append,
		// so the crash count in the claim is too low.
		return errors.New("accounts were dropped or handed over during the claim")
	}
	if !clean {
		p.own = newOwnership(claim.Epoch)
		p.own.crashes = claim.crashes()
		m.restoreAccounts(p.own, claim, state)
	}
	p.own.lifetimes = claim.lifetimes()
	p.own.epoch, p.own.claimed, p.own.sequence = claim.Epoch, true, sequence
	p.servedEpoch = claim.Epoch
	p.own.writeFailing = false
	m.setOwner(p, m.self.ID, claim.Epoch)
	m.redirectPending(p)
	m.metrics.claims.Inc(1)
	if !clean && state.owner != nil {
		m.metrics.crashes.Inc(1)
	}
	m.log.Info("partition claimed", "partition", p.number, "epoch", claim.Epoch, "accounts_lost", p.own.crash != nil, "losses", p.own.crashes, "recorded_programs", len(state.programs))
	for a := range p.own.dirty {
		m.scheduleWrite(p, a)
	}
	return nil
}

// describeClaim sets what a later owner has to know: the owners that may still grant
// tokens, and for how long programs may return.
func (m *Manager) describeClaim(claim *ownerRecord, p *partition, previous *ownerRecord, clean bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.lifetimes = m.lifetimes.merge(previous.lifetimes())
	claim.TurnMS, claim.RetentionMS = m.lifetimes.Turn.Milliseconds(), m.lifetimes.Retention.Milliseconds()
	var lost crash
	switch {
	case clean && p.own != nil && p.own.crash != nil:
		lost.owners = slices.Clone(p.own.crash.owners)
	case !clean && previous != nil:
		lost.owners = slices.Clone(previous.CrashedOwners)
		lost.add(previous.Owner)
	}
	claim.CrashedOwners = slices.DeleteFunc(lost.owners, func(id structs.InstanceID) bool {
		// This instance has dropped the accounts of its earlier claims.
		return id == m.self.ID || m.directory.Ended(id)
	})
}

// restoreAccounts creates accounts from the records of the previous owner. Accounts
// without a record are lost. The mutex is held.
func (m *Manager) restoreAccounts(own *ownership, claim ownerRecord, state partitionState) {
	now := time.Now()
	for program, record := range state.programs {
		own.accounts[program] = restoreAccount(program, record, own.crashes, now.Add(m.lifetimes.Turn))
	}
	if state.owner != nil {
		own.crash = &crash{last: state.owner.Owner, owners: slices.Clone(claim.CrashedOwners), lastGrant: now}
	}
}
