package peer

import (
	"encoding/binary"
	"testing"
	"time"

	"github.com/banyanglade/banyanglade/internal/structs"
)

func TestDelayIsRelativeToFastestStamp(t *testing.T) {
	start := time.Unix(1_700_000_000, 0)
	l := delayEstimator{started: start}
	steps := []struct{ now, stamp, want time.Duration }{
		{now: 0, stamp: 0, want: 0},
		{now: 110, stamp: 100, want: 10},
		// The writer's session started 40 ms before the reader's.
		{now: 200, stamp: 240, want: 0},
		{now: 300, stamp: 340, want: 0},
		{now: 3400, stamp: 400, want: 3040},
	}
	for _, step := range steps {
		now := start.Add(step.now * time.Millisecond)
		got := l.observe(now, step.stamp*time.Millisecond)
		if got != step.want*time.Millisecond {
			t.Fatalf("stamp %d at %d: delay %s, want %d ms", step.stamp, step.now, got, step.want)
		}
	}
}

// A message delayed by a partition must not be delivered after its sender has
// reassigned the work.
func TestStaleMessagesAreNotDelivered(t *testing.T) {
	n := newNode(t, "a")
	conn := dialAuthenticated(t, n, "b")
	stamp := func(elapsed time.Duration) []byte {
		frame := []byte{structs.ProtocolVersion, byte(kindStamp)}
		return binary.AppendUvarint(frame, uint64(elapsed.Milliseconds()))
	}
	sendRaw(t, conn, stamp(time.Hour))
	sendRaw(t, conn, mustEncode(t, withdraw(1)))
	n.awaitMessage("b")
	sendRaw(t, conn, stamp(time.Minute))
	sendRaw(t, conn, mustEncode(t, withdraw(2)))
	if err := awaitClosed(t, conn); err == nil {
		t.Fatal("the connection was not closed")
	}
	n.awaitEvent(structs.PeerDown{Peer: "b"})
}
