package conversation

import (
	"context"
	"slices"
	"strconv"
	"time"

	"github.com/banyanglade/banyanglade/internal/structs"
)

const (
	// replyTimeout is how long an instance may take to answer: a round trip
	// takes a few milliseconds, reading a partition for the first time up to a
	// few hundred.
	replyTimeout = 600 * time.Millisecond
	// unableTime is how long an instance that could not reach the store, or did
	// not answer, is passed over. Outages last for seconds.
	unableTime = time.Second
)

// key is what the rendezvous hash of a partition's index is made of.
func (p *partition) key() string { return "turns/" + strconv.Itoa(p.number) }

// indexOf is the instance that should index a partition, passing over those
// that lately could not, and over some; empty if there is none.
func (k *Manager) indexOf(p *partition, passOver []structs.InstanceID) structs.InstanceID {
	ranked := k.directory.Ranked(p.key())
	now := time.Now()
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, id := range ranked {
		if !slices.Contains(passOver, id) && !now.Before(k.unableUntil[id]) {
			return id
		}
	}
	// Those that were not able lately are better than none.
	for _, id := range ranked {
		if !slices.Contains(passOver, id) {
			return id
		}
	}
	return ""
}

// setUnable has an instance passed over for a while.
func (k *Manager) setUnable(id structs.InstanceID) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.unableUntil[id] = time.Now().Add(unableTime)
}

// ask sends a question, made with its number, and waits for the answer. It
// returns nil if none comes in time.
func (k *Manager) ask(
	ctx context.Context, to structs.InstanceID, make func(number uint64) structs.Message,
) structs.Message {
	return k.askWithin(ctx, to, k.replyPatience, make)
}

// replyPatience is how long an instance may take that may have to read the store.
func (k *Manager) replyPatience() time.Duration {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := time.Now()
	if k.path.Slow(now) {
		return max(replyTimeout, k.path.AppendTimeout(now))
	}
	return replyTimeout
}

// askWithin is ask with the time that the answer may take, which may change.
func (k *Manager) askWithin(
	ctx context.Context, to structs.InstanceID, patience func() time.Duration, make func(number uint64) structs.Message,
) structs.Message {
	q := &question{asked: to, answer: newAnswer()}
	k.mu.Lock()
	k.number++
	number := k.number
	k.pending[number] = q
	k.mu.Unlock()
	defer func() {
		k.mu.Lock()
		delete(k.pending, number)
		k.mu.Unlock()
	}()
	k.peers.Send(to, make(number))
	begun := time.Now()
	timer := time.NewTimer(patience())
	defer timer.Stop()
	for {
		select {
		case answer := <-q.answer:
			return answer
		case <-timer.C:
			if left := patience() - time.Since(begun); left > 0 {
				timer.Reset(left)
				continue
			}
			// The connection may have gone silent for good.
			k.peers.Probe(to)
			return nil
		case <-ctx.Done():
			return nil
		}
	}
}

// newAnswer makes the channel of one answer, with room for it.
func newAnswer() chan structs.Message { return make(chan structs.Message, 1) }

// answered hands the answer to a question to whoever waits for it.
func (k *Manager) answered(from structs.InstanceID, number uint64, answer structs.Message) {
	k.mu.Lock()
	defer k.mu.Unlock()
	q, ok := k.pending[number]
	if !ok || q.asked != from {
		return
	}
	delete(k.pending, number)
	q.answer <- answer
}

// peerDown ends the questions to an instance that does not answer.
func (k *Manager) peerDown(id structs.InstanceID) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for number, q := range k.pending {
		if q.asked == id {
			delete(k.pending, number)
			q.answer <- nil
		}
	}
}
