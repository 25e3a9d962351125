package serve

import (
	"bytes"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/banyanglade/banyanglade/internal/route"
)

// maxTurnID is the length of the longest request id of a kept turn, in bytes:
// the store's keys are no longer.
const maxTurnID = 255

// keptTurn is a turn whose conversation is kept here.
type keptTurn struct {
	input  []byte
	output bytes.Buffer
}

// recallConversation puts the conversation before a kept turn in front of its
// input. It returns false if the request has been answered.
func (x *transfer) recallConversation() bool {
	if !x.route.StoresTurns || x.route.Kind != route.Stream {
		return true
	}
	previous := x.call.PreviousTurn
	if x.call.ID == "" || len(x.call.ID) > maxTurnID || len(previous) > maxTurnID || previous == x.call.ID {
		x.detail = "the ids of a kept turn and of the turn before it"
		x.refuse(http.StatusBadRequest, reasonMalformed, 0)
		return false
	}
	if !x.server.kept.Accepts(time.Until(x.deadline)) {
		x.refuse(http.StatusServiceUnavailable, reasonNotKept, retryOutage)
		return false
	}
	x.turn = &keptTurn{input: x.body}
	if previous == "" {
		return true
	}
	before, err := x.server.kept.History(x.ctx, x.scoped(x.call.Program), x.scoped(previous))
	switch {
	case errors.Is(err, ErrTurnNotFound):
		x.detail = "turn " + previous
		x.refuse(http.StatusNotFound, reasonNoTurn, 0)
		return false
	case x.ctx.Err() != nil:
		x.giveUpInTime()
		return false
	case err != nil:
		x.detail = "turn " + previous + ": " + err.Error()
		x.refuse(http.StatusServiceUnavailable, reasonUncertain, x.server.retryAfter(retryBudget))
		return false
	}
	if err := x.held.Reserve(int64(len(before))); err != nil {
		return x.refuseUnread(err)
	}
	x.body = append(before, x.body...)
	return true
}

// noteEvent adds an event that went out to the conversation.
func (x *transfer) noteEvent(e event) {
	if x.turn == nil {
		return
	}
	x.held.ForceReserve(int64(len(e.bytes)))
	x.turn.output.Write(e.data())
	x.turn.output.WriteByte('\n')
}

// keepTurn makes a turn durable before its answer ends. It returns false if
// that did not succeed: the answer must then not look complete.
func (x *transfer) keepTurn() bool {
	if x.turn == nil {
		return true
	}
	if x.flush() != nil {
		return false
	}
	x.settleOnce()
	err := x.server.kept.StoreTurn(x.ctx, x.scoped(x.call.Program), CompletedTurn{
		ID: x.scoped(x.call.ID), Previous: x.scoped(x.call.PreviousTurn), Input: x.turn.input, Output: x.turn.output.Bytes(),
		Retention: x.route.Retention,
	})
	if err == nil {
		return true
	}
	x.detail = err.Error()
	x.reason, x.cut = reasonNotKept, true
	if x.request.Context().Err() != nil {
		x.reason = reasonCallerLeft
	}
	return false
}
