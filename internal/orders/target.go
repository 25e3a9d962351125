package orders

import (
	"time"

	"github.com/banyanglade/banyanglade/internal/structs"
	"github.com/banyanglade/banyanglade/internal/wire"
)

// target is the row of one target.
type target struct {
	c    *Controller
	info structs.Target
	// state is the state last read; it is known if that read succeeded.
	state      wire.OrderState
	stateKnown bool
	// readAt is when the state is to be read again.
	readAt time.Time
	// pendingID is the command under way, 0 if none, which is given up at
	// replyDeadline.
	pendingID     structs.OrderID
	replyDeadline time.Time
	// order is the order sent and not read back yet, nil if none.
	order *pendingOrder
	// failures counts failures in a row; no order is sent before retryAt.
	failures int
	retryAt  time.Time
	err      string
}

// pendingOrder is an order on its way into force.
type pendingOrder struct {
	wire.Order
	sentAt time.Time
}

func newTarget(c *Controller, info structs.Target) *target { return &target{c: c, info: info} }

// advance reads the state when that is due.
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

// startCommand begins a command. One is under way at a time, and the answer to a former
// one is not taken for its.
func (t *target) startCommand() {
	t.pendingID = t.c.newOrderID()
	t.replyDeadline = t.c.now.Add(replyTimeout)
	t.c.scheduleWake(t.replyDeadline)
}

// scheduleRead has the state read at once, or after the command under way.
func (t *target) scheduleRead() { t.readAt = t.c.now }

// reset drops what is under way when control ends. A late answer is ignored.
func (t *target) reset() {
	t.pendingID, t.order, t.stateKnown = 0, nil, false
	t.scheduleRead()
}

// desiredChanged gives up waiting for an order that may be outdated; one that
// is being sent is awaited. The state last read is compared at once.
func (t *target) desiredChanged() {
	if t.pendingID == 0 {
		t.order = nil
	}
}

// recordFailure notes a failure; the next order has to wait.
func (t *target) recordFailure(reason string) {
	t.order, t.stateKnown = nil, false
	t.failures++
	t.err = truncate(reason)
	wait := backoff(minRetryDelay, maxRetryDelay, t.failures)
	t.retryAt = t.c.now.Add(wait)
	t.readAt = t.retryAt
}

// handleState takes in the target's state.
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

// verify compares the state read with the order sent. An order that was
// accepted but is not in force is waited for, as a load takes its time.
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

// handleReply takes in the answer to an order that was not refused for its epoch. What
// became of the order is then read back.
func (t *target) handleReply(ev structs.OrderSent) {
	t.pendingID = 0
	if ev.Result != structs.OrderAccepted {
		t.recordFailure(ev.Detail)
		return
	}
	t.scheduleRead()
}
