package target

import (
	"encoding/json"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/banyanglade/banyanglade/internal/structs"
	"github.com/banyanglade/banyanglade/internal/wire"
)

func TestSendOrder(t *testing.T) {
	f := newFake(t, func(w http.ResponseWriter, r *http.Request) {
		status, _ := strconv.Atoi(r.Header.Get(wire.HeaderFencing))
		w.WriteHeader(status)
	})
	now := time.Now()
	for status, want := range map[uint64]structs.OrderResult{
		http.StatusOK: structs.OrderAccepted, http.StatusConflict: structs.OrderFenced,
		http.StatusTooManyRequests: structs.OrderFailed, http.StatusInternalServerError: structs.OrderFailed,
	} {
		order := wire.Order{Kind: wire.OrderLoadModel, Value: "m", Fencing: status}
		f.SendOrder(structs.SendOrder{ID: 4, Target: f.target(engineService), Order: order, NotAfter: now.Add(testTimeout)})
		if got := next[structs.OrderSent](f); got.ID != 4 || got.Target != "t1" || got.Result != want {
			t.Errorf("%d: %+v", status, got)
		}
	}
	seen := f.requests(wire.OrdersRoute)
	if len(seen) != 4 || seen[0].method != http.MethodPost {
		t.Fatalf("%+v", seen)
	}
	f.SendOrder(structs.SendOrder{ID: 5, Target: f.target(engineService), NotAfter: now.Add(-time.Nanosecond)})
	if got := next[structs.OrderSent](f); got.Result != structs.OrderNotSent || len(f.requests(wire.OrdersRoute)) != 4 {
		t.Errorf("after NotAfter: %+v", got)
	}
	f.server.Close()
	f.SendOrder(structs.SendOrder{ID: 6, Target: f.target(engineService), NotAfter: now.Add(testTimeout)})
	if got := next[structs.OrderSent](f); got.Result != structs.OrderNotSent {
		t.Errorf("no connection: %+v", got)
	}
}

// An order whose response is lost may have taken effect.
func TestSendOrderWithoutResponse(t *testing.T) {
	f := newFake(t, func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) })
	f.SendOrder(structs.SendOrder{ID: 1, Target: f.target(engineService)})
	if got := next[structs.OrderSent](f); got.Result != structs.OrderFailed || len(f.requests(wire.OrdersRoute)) != 1 {
		t.Errorf("%+v, %d requests", got, len(f.requests(wire.OrdersRoute)))
	}
}

func TestReadOrders(t *testing.T) {
	state := wire.OrderState{Model: "m", Role: "decode", Fencing: 3, ChecksFencing: true}
	response, _ := json.Marshal(state)
	f := newFake(t, func(w http.ResponseWriter, _ *http.Request) { write(w, string(response)) })
	f.ReadOrders(structs.ReadOrders{ID: 7, Target: f.target(engineService)})
	if got := next[structs.OrdersRead](f); got != (structs.OrdersRead{ID: 7, Target: "t1", Reached: true, State: state}) {
		t.Errorf("%+v", got)
	}
	response = []byte(`{}`)
	f.ReadOrders(structs.ReadOrders{ID: 8, Target: f.target(engineService)})
	if got := next[structs.OrdersRead](f); got.Reached || got.Detail == "" {
		t.Errorf("response without a fencing number: %+v", got)
	}
}
