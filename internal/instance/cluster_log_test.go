package instance

import (
	"slices"
	"time"

	"github.com/banyanglade/banyanglade/internal/structs"
	"github.com/banyanglade/banyanglade/internal/wire"
)

// append executes an append. Its reply may be lost after it took effect.
func (c *cluster) append(n *node, cmd structs.LogAppend) {
	c.after(logDelay, func() {
		if c.logDown {
			n.deliver(structs.LogAppendFailed{ID: cmd.ID, Stream: cmd.Stream, Refused: true})
			return
		}
		first := uint64(len(c.log[cmd.Stream]))
		for i, data := range cmd.Records {
			c.log[cmd.Stream] = append(c.log[cmd.Stream], wire.LogRecord{Offset: first + uint64(i), TimeMS: c.now.UnixMilli(), Data: data})
		}
		c.notifyTails(cmd.Stream)
		if c.rng.Float64() < c.replyLossRate {
			c.after(time.Second, func() { n.deliver(structs.LogAppendFailed{ID: cmd.ID, Stream: cmd.Stream}) })
			return
		}
		c.after(logDelay, func() { n.deliver(structs.LogAppended{ID: cmd.ID, Stream: cmd.Stream, First: first}) })
	})
}

func (c *cluster) notifyTails(stream string) {
	for _, id := range c.ids {
		n := c.nodes[id]
		if from, ok := n.tails[stream]; ok {
			n.tail(stream, from, false)
		}
	}
}

// tail reads a stream continuously from an offset. The first read returns at
// once even if it is empty.
func (n *node) tail(stream string, from uint64, first bool) {
	c := n.cluster
	n.tails[stream] = from
	n.generation[stream]++
	generation := n.generation[stream]
	c.after(logDelay+c.readDelay[n.id], func() {
		if n.dead || n.generation[stream] != generation {
			return
		}
		if c.logDown {
			n.deliver(structs.LogReadFailed{Stream: stream})
			c.after(500*time.Millisecond, func() {
				if n.generation[stream] == generation {
					n.tail(stream, from, true)
				}
			})
			return
		}
		all := c.log[stream]
		end := uint64(len(all))
		if end > from || first {
			records := slices.Clone(all[min(from, end):])
			n.tails[stream] = end
			n.deliver(structs.LogRead{Stream: stream, From: from, Records: records, Next: max(end, from), End: end})
		}
		if generation == n.generation[stream] {
			c.after(pollInterval, func() {
				if at, ok := n.tails[stream]; ok && generation == n.generation[stream] {
					n.tail(stream, at, true)
				}
			})
		}
	})
}
