package orders

import (
	"time"

	"github.com/banyanglade/banyanglade/internal/structs"
	"github.com/banyanglade/banyanglade/internal/wire"
)

// target is the state of one target.
type target struct {
	c    *Controller
	info structs.Target
	// state is the latest state read, valid if stateKnown is set.
	state      wire.OrderState
	stateKnown bool
	// readAt is when the state is read next.
	readAt time.Time
	// pendingID is the command in flight, 0 if none. It times out at
	// replyDeadline.
	pendingID     structs.OrderID
	replyDeadline time.Time
	// order is the order that was sent and not yet read back, nil if none.
	order *pendingOrder
	// failures counts consecutive failures; no order is sent before retryAt.
	failures int
	retryAt  time.Time
	err      string
}

// pendingOrder is an order that is not known to be in force yet.
type pendingOrder struct {
	wire.Order
	sentAt time.Time
}

func newTarget(c *Controller, info structs.Target) *target { return &target{c: c, info: info} }

// advance handles a command timeout, and reads the state when that is due.
func (t *target) advance() {
	if t.pendingID != 0 {
		if !t.c.due(t.replyDeadline) {
			return
		}
		t.pendingID = 0
		t.recordFailure("no answer")
	}
	if !t.c.due(t.readAt) {
		return
	}
	t.startCommand()
	t.c.emit(structs.ReadOrders{ID: t.pendingID, Target: t.info})
}

// startCommand starts a command. At most one is in flight per target, and
// replies to earlier ones are ignored.
func (t *target) startCommand() {
	t.pendingID = t.c.newOrderID()
	t.replyDeadline = t.c.now.Add(replyTimeout)
	t.c.scheduleWake(t.replyDeadline)
}

// scheduleRead makes the next read of the state due at once.
func (t *target) scheduleRead() { t.readAt = t.c.now }

// reset discards pending work when control ends. Late replies are ignored.
func (t *target) reset() {
	t.pendingID, t.order, t.stateKnown = 0, nil, false
	t.scheduleRead()
}

// desiredChanged stops waiting for an order that may be outdated, unless it is
// still being sent. The latest state read is compared again at once.
func (t *target) desiredChanged() {
	if t.pendingID == 0 {
		t.order = nil
	}
}

// recordFailure records a failure and delays the next order.
func (t *target) recordFailure(reason string) {
	t.order, t.stateKnown = nil, false
	t.failures++
	t.err = truncate(reason)
	wait := backoff(minRetryDelay, maxRetryDelay, t.failures)
	t.retryAt = t.c.now.Add(wait)
	t.readAt = t.retryAt
}

// handleState processes a read of the target's state.
func (t *target) handleState(ev structs.OrdersRead) {
	if ev.ID != t.pendingID {
		return
	}
	t.pendingID = 0
	if !ev.Reached {
		t.recordFailure(ev.Detail)
		return
	}
	t.state, t.stateKnown = ev.State, true
	t.readAt = t.c.now.Add(readInterval)
	if t.order != nil {
		t.verify()
	}
}

// verify compares the state read with the order sent. A load takes time, so an
// accepted order may come into force later.
func (t *target) verify() {
	switch {
	case actualValue(t.state, t.order.Kind) == t.order.Value:
		t.order = nil
		t.failures, t.err = 0, ""
	case t.c.now.Sub(t.order.sentAt) >= verifyTimeout:
		t.recordFailure("order " + t.order.Kind + " was accepted but is not in force")
	default:
		t.readAt = t.c.now.Add(verifyInterval)
	}
}

// send sends an order.
func (t *target) send(order wire.Order) {
	t.startCommand()
	t.order = &pendingOrder{Order: order, sentAt: t.c.now}
	t.c.emit(structs.SendOrder{
		ID: t.pendingID, Target: t.info, Order: order,
		NotAfter: t.c.now.Add(t.c.cfg.SendWindow),
	})
}

// handleReply processes the reply to an order that was not rejected for its
// epoch. An accepted order is then read back.
func (t *target) handleReply(ev structs.OrderSent) {
	t.pendingID = 0
	if ev.Result != structs.OrderAccepted {
		t.recordFailure(ev.Detail)
		return
	}
	t.scheduleRead()
}
