package orders

import (
	"testing"
)

func TestAllTargetsGetTheDesiredState(t *testing.T) {
	for _, checks := range []bool{true, false} {
		w := newWorld(t, checks, 3, 1)
		w.orders.Role, w.orders.Adapter, w.orders.Version = "decode", "a", "v"
		w.until("desired state", w.settled)
	}
}
