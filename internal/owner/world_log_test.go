package owner

import (
	"time"

	"github.com/banyanglade/banyanglade/internal/structs"
	"github.com/banyanglade/banyanglade/internal/wire"
)

func (w *cluster) append(n *node, c structs.LogAppend) {
	life := n.incarnation
	fail := func(refused bool) {
		w.after(networkTime, func() {
			w.deliverTo(n.id, life, structs.LogAppendFailed{ID: c.ID, Stream: c.Stream, Refused: refused})
		})
	}
	if n.logUnresponsive {
		return
	}
	roll := w.rng.Float64()
	switch {
	case w.logDown || n.partitioned || roll < w.faults.refusedRate:
		fail(true)
		return
	case roll < w.faults.refusedRate+w.faults.droppedRate:
		fail(false)
		return
	}
	w.after(networkTime+time.Duration(w.rng.Int64N(int64(3*time.Millisecond))), func() {
		if w.logDown {
			fail(true)
			return
		}
		first := uint64(len(w.streams[c.Stream]))
		w.streams[c.Stream] = append(w.streams[c.Stream], c.Records...)
		if roll < w.faults.refusedRate+w.faults.droppedRate+w.faults.lostReplyRate {
			fail(false)
		} else {
			w.deliverTo(n.id, life, structs.LogAppended{ID: c.ID, Stream: c.Stream, First: first})
		}
		for _, id := range w.ids {
			w.pollStream(w.nodes[id], c.Stream)
		}
	})
}

// pollStream reads a tailed stream to its end.
func (w *cluster) pollStream(n *node, stream string) {
	life := n.incarnation
	w.after(networkTime+n.readLag, func() {
		from, ok := n.tails[stream]
		if !ok || n.incarnation != life || !n.alive {
			return
		}
		if n.logUnresponsive {
			return
		}
		if w.logDown || n.partitioned {
			n.deliver(structs.LogReadFailed{Stream: stream})
			w.after(200*time.Millisecond, func() { w.pollStream(n, stream) })
			return
		}
		if from < w.firstOffsets[stream] {
			n.deliver(structs.LogReadFailed{Stream: stream, Truncated: true, First: w.firstOffsets[stream]})
			return
		}
		end := uint64(len(w.streams[stream]))
		read := structs.LogRead{Stream: stream, From: from, Next: end, End: end}
		for i := from; i < end; i++ {
			read.Records = append(read.Records, wire.LogRecord{Offset: i, Data: w.streams[stream][i]})
		}
		n.tails[stream] = end
		n.deliver(read)
	})
}
