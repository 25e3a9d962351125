package target

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"

	"github.com/cockroachdb/errors"

	"github.com/banyanglade/banyanglade/internal/structs"
	"github.com/banyanglade/banyanglade/internal/wire"
)

var errMalformedState = errors.New("the answer is not a state under orders")

// ReadOrders requests the order state of an engine and delivers it as OrdersRead.
func (r *Runner) ReadOrders(command structs.ReadOrders) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.spawn(func() {
		event := structs.OrdersRead{ID: command.ID, Target: command.Target.ID, Reached: true}
		state, err := r.orderState(command.Target)
		if err != nil {
			event.Reached, event.Detail = false, err.Error()
		}
		event.State = state
		r.sink.Deliver(r.ctx, event)
	})
}

// orderState reads an engine's order state. A response without a fencing number
// does not come from an engine and must not be taken for an empty state.
func (r *Runner) orderState(target structs.Target) (wire.OrderState, error) {
	var reply struct {
		wire.OrderState
		Fencing *uint64 `json:"fencing"`
	}
	if err := r.getJSON(r.ctx, joinURL(target.Address, wire.OrdersRoute), &reply); err != nil {
		return wire.OrderState{}, err
	}
	if reply.Fencing == nil {
		return wire.OrderState{}, errMalformedState
	}
	reply.OrderState.Fencing = *reply.Fencing
	return reply.OrderState, nil
}

// SendOrder sends an order to an engine, at most once and on a new connection, and
// delivers the result as OrderSent. The gate checks NotAfter directly before the
// write.
func (r *Runner) SendOrder(command structs.SendOrder) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.spawn(func() {
		event := structs.OrderSent{ID: command.ID, Target: command.Target.ID, Result: structs.OrderAccepted}
		g := newGate(command.NotAfter, r.cfg.Now)
		status, err := r.postOrder(g, command)
		switch {
		case err != nil && notSent(g):
			event.Result, event.Detail = structs.OrderNotSent, err.Error()
		case err != nil:
			event.Result, event.Detail = structs.OrderFailed, err.Error()
		case status == http.StatusConflict:
			event.Result, event.Detail = structs.OrderFenced, "the target refused the fencing number"
		case status != http.StatusOK:
			event.Result, event.Detail = structs.OrderFailed, "status "+strconv.Itoa(status)
		}
		r.sink.Deliver(r.ctx, event)
	})
}

// notSent revokes the gate and reports whether the request was not sent.
func notSent(g *gate) bool {
	_, sent := g.revoke()
	return !sent
}

func (r *Runner) postOrder(g *gate, command structs.SendOrder) (status int, err error) {
	ctx, cancel := context.WithTimeout(withGate(r.ctx, g), r.cfg.ControlTimeout)
	defer cancel()
	body, err := json.Marshal(command.Order)
	if err != nil {
		return 0, err
	}
	request, err := newSendOnce(ctx, http.MethodPost, joinURL(command.Target.Address, wire.OrdersRoute), body)
	if err != nil {
		return 0, err
	}
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set(wire.HeaderFencing, strconv.FormatUint(command.Order.Fencing, 10))
	response, err := r.clients.single.Do(request)
	if err != nil {
		return 0, err
	}
	closeBody(response.Body)
	return response.StatusCode, nil
}
