package instance

import (
	"slices"
	"time"

	"github.com/banyanglade/banyanglade/internal/structs"
	"github.com/banyanglade/banyanglade/internal/wire"
)

// append carries out an append; its reply may be lost after it took effect.
func (w *world) append(n *node, cmd structs.LogAppend) {
	w.after(logDelay, func() {
		if w.logDown {
			n.deliver(structs.LogAppendFailed{ID: cmd.ID, Stream: cmd.Stream, Refused: true})
			return
		}
		first := uint64(len(w.log[cmd.Stream]))
		for i, data := range cmd.Records {
			w.log[cmd.Stream] = append(w.log[cmd.Stream], wire.LogRecord{Offset: first + uint64(i), TimeMS: w.now.UnixMilli(), Data: data})
		}
		w.wakeTails(cmd.Stream)
		if w.rng.Float64() < w.loseReplies {
			w.after(time.Second, func() { n.deliver(structs.LogAppendFailed{ID: cmd.ID, Stream: cmd.Stream}) })
			return
		}
		w.after(logDelay, func() { n.deliver(structs.LogAppended{ID: cmd.ID, Stream: cmd.Stream, First: first}) })
	})
}

func (w *world) wakeTails(stream string) {
	for _, id := range w.ids {
		n := w.nodes[id]
		if from, ok := n.tails[stream]; ok {
			n.tail(stream, from, false)
		}
	}
}

// tail reads a stream from an offset and goes on; the first answer comes at
// once, also when it is empty.
func (n *node) tail(stream string, from uint64, first bool) {
	w := n.w
	n.tails[stream] = from
	n.generation[stream]++
	generation := n.generation[stream]
	w.after(logDelay+w.readDelay[n.id], func() {
		if n.dead || n.generation[stream] != generation {
			return
		}
		if w.logDown {
			n.deliver(structs.LogReadFailed{Stream: stream})
			w.after(500*time.Millisecond, func() {
				if n.generation[stream] == generation {
					n.tail(stream, from, true)
				}
			})
			return
		}
		all := w.log[stream]
		end := uint64(len(all))
		if end > from || first {
			records := slices.Clone(all[min(from, end):])
			n.tails[stream] = end
			n.deliver(structs.LogRead{Stream: stream, From: from, Records: records, Next: max(end, from), End: end})
		}
		if generation == n.generation[stream] {
			w.after(pollEvery, func() {
				if at, ok := n.tails[stream]; ok && generation == n.generation[stream] {
					n.tail(stream, at, true)
				}
			})
		}
	})
}
