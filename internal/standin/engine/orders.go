package engine

import (
	"net/http"
	"slices"

	"github.com/cockroachdb/errors"

	"github.com/banyanglade/banyanglade/internal/standin"
	"github.com/banyanglade/banyanglade/internal/wire"
)

// OrderLogRoute is the route of the applied orders, a JSON array of wire.Order
// in the order of application.
const OrderLogRoute = "/standin/orders"

var (
	errStaleFencing = errors.New("fencing number is lower than one seen")
	errUnknownOrder = errors.New("unknown kind of order")
)

// orderStore holds the state that orders set.
type orderStore struct {
	state   wire.OrderState
	applied []wire.Order
}

func newOrderStore(settings Settings) orderStore {
	return orderStore{state: wire.OrderState{
		Model:         settings.ModelName,
		ChecksFencing: settings.ChecksFencing,
	}}
}

// apply applies an order. An engine that checks fencing numbers refuses an
// order with a lower number than that of the last one applied.
func (s *orderStore) apply(order wire.Order) error {
	if s.state.ChecksFencing && order.Fencing < s.state.Fencing {
		return errStaleFencing
	}
	field := s.field(order.Kind)
	if field == nil {
		return errUnknownOrder
	}
	*field = order.Value
	s.state.Fencing = order.Fencing
	s.applied = append(s.applied, order)
	return nil
}

// field returns the field of the state that a kind of order sets, or nil for an
// unknown kind.
func (s *orderStore) field(kind string) *string {
	switch kind {
	case wire.OrderLoadModel:
		return &s.state.Model
	case wire.OrderLoadAdapter:
		return &s.state.Adapter
	case wire.OrderSetVersion:
		return &s.state.Version
	case wire.OrderSetRole:
		return &s.state.Role
	default:
		return nil
	}
}

func (s *Server) serveOrder(w http.ResponseWriter, r *http.Request) {
	var order wire.Order
	if !standin.ReadJSON(w, r, &order) {
		return
	}
	s.mu.Lock()
	err := s.orders.apply(order)
	seen := s.orders.state.Fencing
	s.mu.Unlock()
	switch {
	case errors.Is(err, errStaleFencing):
		standin.WriteJSON(w, http.StatusConflict, wire.OrderReply{Fencing: seen})
	case err != nil:
		standin.WriteError(w, http.StatusBadRequest, err.Error())
	default:
		standin.WriteJSON(w, http.StatusOK, wire.OrderReply{Fencing: seen})
	}
}

func (s *Server) serveOrderState(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	state := s.orders.state
	s.mu.Unlock()
	standin.WriteJSON(w, http.StatusOK, state)
}

func (s *Server) serveOrderLog(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	applied := slices.Clone(s.orders.applied)
	s.mu.Unlock()
	standin.WriteJSON(w, http.StatusOK, applied)
}
