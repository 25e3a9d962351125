package budget

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/banyanglade/banyanglade/internal/structs"
	"github.com/banyanglade/banyanglade/platform"
)

const (
	// storeTimeout bounds one call to the store, which answers within
	// milliseconds, and within a few hundred when it is slow.
	storeTimeout = 700 * time.Millisecond
	// doubtTimeout bounds it while reads of other topics fail. If the store
	// serves this partition it answers at once; if not, turns wait for nothing.
	doubtTimeout = 100 * time.Millisecond
	// claimAttempts bounds the tries of one claim; others may write between a
	// read and the append.
	claimAttempts = 4
	// claimPause is the time between two claims of a partition that the store
	// does not serve; each costs calls.
	claimPause = 400 * time.Millisecond
	// lostRetention is how long accounts from records are kept for programs
	// that do not come back; a turn that comes sets its route's.
	lostRetention = 60 * time.Second
	// maxSequence bounds the first sequence number of an epoch. It is random,
	// so that another claim under the same epoch is never taken for a repeat
	// of this one.
	maxSequence = 1 << 40
)

// startClaim claims a partition in the background. The mutex is held.
func (k *Manager) startClaim(p *partition) {
	if p.claiming || k.leaving.Load() || time.Now().Before(p.claimAfter) {
		return
	}
	p.claiming = true
	k.spawn(func() { k.claim(p) })
}

// claim claims a partition and answers the asks that wait for it.
func (k *Manager) claim(p *partition) {
	k.mu.Lock()
	former := p.owner
	k.mu.Unlock()
	err := k.tryClaim(p)
	k.mu.Lock()
	p.claiming = false
	if err != nil {
		p.claimAfter = time.Now().Add(claimPause)
		k.refuseWaiting(p)
	}
	parked := p.parked
	p.parked = nil
	owned := p.own != nil
	for _, waiting := range parked {
		switch {
		case owned:
			k.admit(p, waiting.request, waiting.reply)
		case k.ownerUsable(p):
			waiting.reply(answer{outcome: structs.RoomNotOwner, owner: p.owner})
		default:
			waiting.reply(answer{outcome: structs.RoomUnavailable})
		}
	}
	k.mu.Unlock()
	if err != nil {
		k.log.Warn("partition not claimed", "partition", p.number, "error", err.Error())
		return
	}
	if owned {
		k.announce(former)
	}
}

// tryClaim claims a partition, unless a usable instance owns it.
func (k *Manager) tryClaim(p *partition) error {
	var err error
	for range claimAttempts {
		var done bool
		done, err = k.claimOnce(p)
		if done {
			return nil
		}
		if err != nil && !retryable(err) {
			return err
		}
	}
	return err
}

// retryable tells whether a claim may succeed when it is tried again at once:
// somebody wrote meanwhile, or the outcome is unknown.
func retryable(err error) bool {
	return !errors.Is(err, platform.ErrBusy) && !errors.Is(err, platform.ErrRejected) && !errors.Is(err, errUnread)
}

// errUnread tells that the partition could not be read before a claim.
var errUnread = errors.New("the partition could not be read")

// claimOnce reads the partition and claims it if nobody else has. It returns
// true if the partition has an owner now.
func (k *Manager) claimOnce(p *partition) (bool, error) {
	now, err := k.read(p)
	if err != nil {
		return false, errors.Mark(err, errUnread)
	}
	if now.owner != nil {
		// When all instances start together, owners are known from their claims before
		// the list names them; otherwise each would claim in turn.
		k.directory.Discover(now.owner.Owner, now.owner.Address)
		k.confirm(now.owner.Owner)
		if k.adopt(p, now.owner) {
			return true, nil
		}
	}
	claim := ownerRecord{Epoch: 1, Owner: k.self.ID, Address: k.self.Address}
	if now.owner != nil {
		claim.Epoch = now.owner.Epoch + 1
	}
	clean := k.continues(p, now.owner)
	losses := k.lossesOf(p, now.owner, clean)
	claim.Losses = &losses
	sequence := rand.Int64N(maxSequence)
	err = k.appendClaim(p, claim, sequence, now.end)
	if err != nil {
		return false, err
	}
	return true, k.install(p, claim, sequence, now, clean)
}

// storeContext bounds one call to the store.
func (k *Manager) storeContext() (context.Context, context.CancelFunc) {
	if k.health.OK() {
		return context.WithTimeout(k.ctx, storeTimeout)
	}
	return context.WithTimeout(k.ctx, doubtTimeout)
}

func (k *Manager) read(p *partition) (content, error) {
	ctx, cancel := k.storeContext()
	defer cancel()
	list, err := k.store.Newest(ctx, topic, p.number)
	if err != nil {
		return content{}, err
	}
	return decodeContent(list)
}

// confirmTimeout bounds the wait for an owner that did not answer before. One
// that is there answers within milliseconds; a dead process's machine refuses
// the connection as fast.
const confirmTimeout = 250 * time.Millisecond

// confirm asks an owner that did not answer before once more before its partition
// is claimed: an instance that was paused finds all connections broken when it
// wakes, and must not take the others' partitions, whose accounts would be lost.
func (k *Manager) confirm(owner structs.InstanceID) {
	if !k.directory.Suspected(owner) {
		return
	}
	heard := make(chan struct{}, 1)
	k.mu.Lock()
	k.confirms[owner] = append(k.confirms[owner], heard)
	k.mu.Unlock()
	k.peers.Probe(owner)
	timer := time.NewTimer(confirmTimeout)
	defer timer.Stop()
	select {
	case <-heard:
	case <-timer.C:
	case <-k.ctx.Done():
	}
}

// confirmed ends the waits for word of an instance. The mutex is held.
func (k *Manager) confirmed(id structs.InstanceID) {
	for _, heard := range k.confirms[id] {
		heard <- struct{}{}
	}
	delete(k.confirms, id)
}

// adopt takes the owner in the store for the present one if it is usable, or
// if it is this instance already. It tells whether that is so.
func (k *Manager) adopt(p *partition, owner *ownerRecord) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if owner.Owner == k.self.ID {
		// An earlier try of this claim took effect without an answer. Its
		// sequence number is not known any more: claim once more.
		return p.own != nil && p.own.claimed && p.own.epoch == owner.Epoch
	}
	if p.own != nil && p.own.epoch >= owner.Epoch {
		// The partition was handed over to this instance.
		return false
	}
	if !k.directory.Usable(owner.Owner) {
		return false
	}
	if p.own != nil {
		k.dropOwnership(p, owner.Owner, "another instance has claimed it")
	}
	k.setOwner(p, owner.Owner, owner.Epoch)
	return true
}

// continues tells whether this instance has the exact accounts of the owner in
// the store.
func (k *Manager) continues(p *partition, owner *ownerRecord) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return p.own != nil && owner != nil && p.own.epoch == owner.Epoch
}

// lossesOf is how many owners before a claim of this instance may have handed out
// their slice. An owner that never learned of its claim handed out nothing: the
// claim took effect without an answer.
func (k *Manager) lossesOf(p *partition, owner *ownerRecord, clean bool) int {
	k.mu.Lock()
	defer k.mu.Unlock()
	switch {
	case clean:
		// The accounts that this instance goes on with have used this slice.
		p.served = owner.Epoch + 1
		return p.own.losses
	case owner == nil:
		return 0
	case owner.Owner == k.self.ID && owner.Epoch > p.served:
		return owner.losses()
	}
	return owner.losses() + 1
}

func (k *Manager) appendClaim(p *partition, claim ownerRecord, sequence, end int64) error {
	ctx, cancel := k.storeContext()
	defer cancel()
	_, err := k.store.Append(ctx, platform.Append{
		Topic: topic, Partition: p.number, ExpectedEnd: &end,
		Records: []platform.Record{{Key: ownerKey, Value: encode(claim)}},
		Writer:  &platform.Writer{Name: writerName, Epoch: claim.Epoch, Sequence: sequence},
	})
	return err
}

// install makes this instance the owner after its claim was appended.
func (k *Manager) install(p *partition, claim ownerRecord, sequence int64, now content, clean bool) error {
	k.mu.Lock()
	defer k.mu.Unlock()
	if clean && (p.own == nil || now.owner == nil || p.own.epoch != now.owner.Epoch) {
		// The accounts went between the check and the append: they were
		// dropped or handed on, so that this claim counts too little.
		return errors.New("the accounts were given up during the claim")
	}
	if !clean {
		p.own = newOwnership(claim.Epoch)
		p.own.losses = claim.losses()
		k.restore(p.own, now)
	}
	p.own.epoch, p.own.claimed, p.own.sequence = claim.Epoch, true, sequence
	p.served = claim.Epoch
	p.own.failing = false
	k.setOwner(p, k.self.ID, claim.Epoch)
	k.redirect(p)
	k.metrics.claims.Inc(1)
	if !clean && now.owner != nil {
		k.metrics.losses.Inc(1)
	}
	k.log.Info("partition claimed", "partition", p.number, "epoch", claim.Epoch, "accounts_lost", p.own.loss != nil, "losses", p.own.losses, "recorded_programs", len(now.programs))
	for a := range p.own.dirty {
		k.startWrite(p, a)
	}
	return nil
}

// restore makes accounts of the records that an owner left; those without a
// record are lost.
func (k *Manager) restore(own *ownership, now content) {
	for program, record := range now.programs {
		own.accounts[program] = restored(program, record, own.losses, lostRetention, time.Now())
	}
	if now.owner != nil {
		own.loss = &loss{owner: now.owner.Owner, at: time.Now()}
	}
}
