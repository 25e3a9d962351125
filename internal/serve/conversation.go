package serve

import (
	"bytes"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/banyanglade/banyanglade/internal/route"
)

// maxTurnIDBytes bounds the request id of a stored turn: the store's keys are no
// longer.
const maxTurnIDBytes = 255

// storedTurn is a turn that is added to a stored conversation.
type storedTurn struct {
	input  []byte
	output bytes.Buffer
}

// prependConversation puts the stored conversation in front of a turn's input. It
// returns false if the request has been refused.
func (x *transfer) prependConversation() bool {
	if !x.route.StoresTurns || x.route.Kind != route.Stream {
		return true
	}
	previous := x.call.PreviousTurn
	if x.call.ID == "" || len(x.call.ID) > maxTurnIDBytes || len(previous) > maxTurnIDBytes || previous == x.call.ID {
		x.detail = "invalid id of a stored turn or of its previous turn: expected different ids of at most 255 bytes, the turn's not empty"
		x.refuse(http.StatusBadRequest, reasonMalformed, 0)
		return false
	}
	if !x.server.conversations.Accepts(time.Until(x.deadline)) {
		x.refuse(http.StatusServiceUnavailable, reasonTurnNotStored, retryOutage)
		return false
	}
	x.turn = &storedTurn{input: x.body}
	if previous == "" {
		return true
	}
	before, err := x.server.conversations.History(x.ctx, x.scoped(x.call.Program), x.scoped(previous))
	switch {
	case errors.Is(err, ErrTurnNotFound):
		x.detail = "turn " + previous
		x.refuse(http.StatusNotFound, reasonTurnNotFound, 0)
		return false
	case x.ctx.Err() != nil:
		x.giveUpOnContext()
		return false
	case err != nil:
		x.detail = "turn " + previous + ": " + err.Error()
		x.refuse(http.StatusServiceUnavailable, reasonConversationNotRead, x.server.retryAfter(retryBudget))
		return false
	}
	if err := x.held.Reserve(int64(len(before))); err != nil {
		return x.refuseUnreadable(err)
	}
	x.body = append(before, x.body...)
	return true
}

// maxUncheckedOutput is the size of a turn's output, in bytes, up to which it is held
// even while memory is short.
const maxUncheckedOutput = 256 << 10

// recordEvent adds an event to be sent to the caller to the conversation. It returns a
// *memlimit.LimitError if the output grows too large to be held.
func (x *transfer) recordEvent(e event) error {
	if x.turn == nil {
		return nil
	}
	size := int64(len(e.bytes))
	if x.turn.output.Len() < maxUncheckedOutput {
		x.held.ForceReserve(size)
	} else if err := x.held.Reserve(size); err != nil {
		return err
	}
	x.turn.output.Write(e.data())
	x.turn.output.WriteByte('\n')
	return nil
}

// storeTurn makes a turn durable before its response ends. If it returns false, the
// response must not look complete.
func (x *transfer) storeTurn() bool {
	if x.turn == nil {
		return true
	}
	if x.flush() != nil {
		return false
	}
	x.settleOnce()
	err := x.server.conversations.StoreTurn(x.ctx, x.scoped(x.call.Program), CompletedTurn{
		ID: x.scoped(x.call.ID), Previous: x.scoped(x.call.PreviousTurn), Input: x.turn.input, Output: x.turn.output.Bytes(),
		Retention: x.route.Retention,
	})
	if err == nil {
		return true
	}
	x.detail = err.Error()
	x.reason, x.abort = reasonTurnNotStored, true
	if x.request.Context().Err() != nil {
		x.reason = x.endOfContext()
	}
	return false
}
