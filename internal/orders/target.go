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
	state wire.OrderState
	known bool
	// readAt is when the state is to be read again.
	readAt time.Time
	// asked is the command under way, 0 if none, which is given up at
	// answerBy.
	asked    structs.OrderID
	answerBy time.Time
	// order is the order sent and not read back yet, nil if none.
	order *sentOrder
	// failures counts failures in a row; no order is sent before retryAt.
	failures int
	retryAt  time.Time
	err      string
}

// sentOrder is an order on its way into force.
type sentOrder struct {
	wire.Order
	sentAt time.Time
}

func newTarget(c *Controller, info structs.Target) *target { return &target{c: c, info: info} }

// advance reads the state when that is due.
func (t *target) advance() {
	if t.asked != 0 {
		if !t.c.reached(t.answerBy) {
			return
		}
		t.asked = 0
		t.failed("no answer")
	}
	if !t.c.reached(t.readAt) {
		return
	}
	t.ask()
	t.c.emit(structs.ReadOrders{ID: t.asked, Target: t.info})
}

// ask begins a command. One is under way at a time, and the answer to a former
// one is not taken for its.
func (t *target) ask() {
	t.asked = t.c.newOrderID()
	t.answerBy = t.c.now.Add(answerTimeout)
	t.c.wakeBy(t.answerBy)
}

// readNow has the state read at once, or after the command under way.
func (t *target) readNow() { t.readAt = t.c.now }

// forget drops what is under way when control ends. A late answer is ignored.
func (t *target) forget() {
	t.asked, t.order, t.known = 0, nil, false
	t.readNow()
}

// desiredChanged gives up waiting for an order that may be outdated; one that
// is being sent is awaited. The state last read is compared at once.
func (t *target) desiredChanged() {
	if t.asked == 0 {
		t.order = nil
	}
}

// failed notes a failure; the next order has to wait.
func (t *target) failed(why string) {
	t.order, t.known = nil, false
	t.failures++
	t.err = clip(why)
	wait := backoff(retryFirst, retryMax, t.failures)
	t.retryAt = t.c.now.Add(wait)
	t.readAt = t.retryAt
}

// stateRead takes in the target's state.
func (t *target) stateRead(ev structs.OrdersRead) {
	if ev.ID != t.asked {
		return
	}
	t.asked = 0
	if !ev.Reached {
		t.failed(ev.Detail)
		return
	}
	t.state, t.known = ev.State, true
	t.readAt = t.c.now.Add(readInterval)
	if t.order != nil {
		t.verify()
	}
}

// verify compares the state read with the order sent. An order that was
// accepted but is not in force is waited for, as a load takes its time.
func (t *target) verify() {
	switch {
	case valueOf(t.state, t.order.Kind) == t.order.Value:
		t.order = nil
		t.failures, t.err = 0, ""
	case t.c.now.Sub(t.order.sentAt) >= verifyPatience:
		t.failed("order " + t.order.Kind + " was accepted but is not in force")
	default:
		t.readAt = t.c.now.Add(verifyInterval)
	}
}

// send sends an order.
func (t *target) send(order wire.Order) {
	t.ask()
	t.order = &sentOrder{Order: order, sentAt: t.c.now}
	t.c.emit(structs.SendOrder{
		ID: t.asked, Target: t.info, Order: order,
		NotAfter: t.c.now.Add(t.c.cfg.SendWindow),
	})
}

// sent takes in the answer to an order that was not refused for its epoch. What
// became of the order is then read back.
func (t *target) sent(ev structs.OrderSent) {
	t.asked = 0
	if ev.Result != structs.OrderAccepted {
		t.failed(ev.Detail)
		return
	}
	t.readNow()
}
