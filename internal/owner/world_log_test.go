package owner

import (
	"time"

	"github.com/banyanglade/banyanglade/internal/structs"
	"github.com/banyanglade/banyanglade/internal/wire"
)

func (w *world) append(n *node, c structs.LogAppend) {
	life := n.life
	fail := func(refused bool) {
		w.after(networkTime, func() {
			w.deliverTo(n.id, life, structs.LogAppendFailed{ID: c.ID, Stream: c.Stream, Refused: refused})
		})
	}
	if n.silent {
		return
	}
	roll := w.rng.Float64()
	switch {
	case w.logDown || n.cut || roll < w.faults.refused:
		fail(true)
		return
	case roll < w.faults.refused+w.faults.dropped:
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
		if roll < w.faults.refused+w.faults.dropped+w.faults.lostReply {
			fail(false)
		} else {
			w.deliverTo(n.id, life, structs.LogAppended{ID: c.ID, Stream: c.Stream, First: first})
		}
		for _, id := range w.ids {
			w.pump(w.nodes[id], c.Stream)
		}
	})
}

// pump reads a tailed stream to its end.
func (w *world) pump(n *node, stream string) {
	life := n.life
	w.after(networkTime+n.lag, func() {
		from, ok := n.tails[stream]
		if !ok || n.life != life || !n.alive {
			return
		}
		if n.silent {
			return
		}
		if w.logDown || n.cut {
			n.deliver(structs.LogReadFailed{Stream: stream})
			w.after(200*time.Millisecond, func() { w.pump(n, stream) })
			return
		}
		if from < w.first[stream] {
			n.deliver(structs.LogReadFailed{Stream: stream, Truncated: true, First: w.first[stream]})
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
