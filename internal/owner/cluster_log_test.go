package owner

import (
	"time"

	"github.com/banyanglade/banyanglade/internal/structs"
	"github.com/banyanglade/banyanglade/internal/wire"
)

func (cl *cluster) append(n *node, c structs.LogAppend) {
	incarnation := n.incarnation
	fail := func(refused bool) {
		cl.after(networkTime, func() {
			cl.deliverTo(n.id, incarnation, structs.LogAppendFailed{ID: c.ID, Stream: c.Stream, Refused: refused})
		})
	}
	if n.logUnresponsive {
		return
	}
	roll := cl.rng.Float64()
	switch {
	case cl.logDown || n.partitioned || roll < cl.faults.refusedRate:
		fail(true)
		return
	case roll < cl.faults.refusedRate+cl.faults.droppedRate:
		fail(false)
		return
	}
	cl.after(networkTime+time.Duration(cl.rng.Int64N(int64(3*time.Millisecond))), func() {
		if cl.logDown {
			fail(true)
			return
		}
		first := uint64(len(cl.streams[c.Stream]))
		cl.streams[c.Stream] = append(cl.streams[c.Stream], c.Records...)
		if roll < cl.faults.refusedRate+cl.faults.droppedRate+cl.faults.lostReplyRate {
			fail(false)
		} else {
			cl.deliverTo(n.id, incarnation, structs.LogAppended{ID: c.ID, Stream: c.Stream, First: first})
		}
		for _, id := range cl.ids {
			cl.pollStream(cl.nodes[id], c.Stream)
		}
	})
}

// pollStream reads a tailed stream to its end.
func (cl *cluster) pollStream(n *node, stream string) {
	incarnation := n.incarnation
	cl.after(networkTime+n.readLag, func() {
		from, ok := n.tails[stream]
		if !ok || n.incarnation != incarnation || !n.alive {
			return
		}
		if n.logUnresponsive {
			return
		}
		if cl.logDown || n.partitioned {
			n.deliver(structs.LogReadFailed{Stream: stream})
			cl.after(200*time.Millisecond, func() { cl.pollStream(n, stream) })
			return
		}
		if from < cl.firstOffsets[stream] {
			n.deliver(structs.LogReadFailed{Stream: stream, Truncated: true, First: cl.firstOffsets[stream]})
			return
		}
		end := uint64(len(cl.streams[stream]))
		read := structs.LogRead{Stream: stream, From: from, Next: end, End: end}
		for i := from; i < end; i++ {
			read.Records = append(read.Records, wire.LogRecord{Offset: i, Data: cl.streams[stream][i]})
		}
		n.tails[stream] = end
		n.deliver(read)
	})
}
