package relay

import (
	"context"
	"sync"
	"time"

	"github.com/banyanglade/banyanglade/internal/delay"
)

const (
	// refreshFanout is the number of relays that are queried in the first round; each
	// further round queries twice as many.
	refreshFanout = 2
	// maxRefreshDoublings bounds the backoff of rounds that brought no fresh copies.
	maxRefreshDoublings = 5
)

// keepFresh runs beside the polling of relays and refreshes the copies when they get too
// old, because the polled relay is unresponsive or stale.
func (n *Node) keepFresh(ctx context.Context) {
	var work sync.WaitGroup
	work.Go(func() { (&storeFallback{Node: n}).run(ctx) })
	for n.sleepUntilAge(ctx, n.timing.refreshAge) {
		n.refresh(ctx)
	}
	work.Wait()
}

// sleepUntilAge waits until the copies have an age. It returns false if the context ends.
func (n *Node) sleepUntilAge(ctx context.Context, age time.Duration) bool {
	for ctx.Err() == nil {
		wait := age - n.copyAge(time.Now())
		if wait <= 0 {
			return true
		}
		delay.Sleep(ctx, wait)
	}
	return false
}

// refresh queries the relays until the copies are fresh again, without waiting for those
// that have not answered yet. While none has fresh copies, it starts over at longer
// intervals.
func (n *Node) refresh(ctx context.Context) {
	var queries sync.WaitGroup
	defer queries.Wait()
	for pass := 0; n.needsRefresh(); pass++ {
		interval := n.timing.refreshInterval << min(pass, maxRefreshDoublings)
		sources := n.refreshSources()
		for fanout := refreshFanout; n.needsRefresh(); fanout *= 2 {
			round := sources[:min(fanout, len(sources))]
			sources = sources[len(round):]
			for _, source := range round {
				queries.Go(func() { n.querySource(ctx, source) })
			}
			if !delay.Sleep(ctx, interval) {
				return
			}
			if len(sources) == 0 {
				break
			}
		}
	}
}

func (n *Node) needsRefresh() bool { return n.copyAge(time.Now()) >= n.timing.refreshAge }

// querySource queries a relay for its current copies and records the result.
func (n *Node) querySource(ctx context.Context, source Holder) {
	reply, err := n.queryAll(ctx, source.Address, 0)
	if ctx.Err() == nil {
		n.recordReply(source, reply, err)
	}
}

// refreshSources lists the other relays in the order in which they are queried for fresh
// copies: those of this data centre, which may be cut off together, alternate with those
// of other data centres. The relay that is polled anyway comes last.
func (n *Node) refreshSources() []Holder {
	n.mu.Lock()
	all := n.table.sources(n.Self)
	n.mu.Unlock()
	polled := n.source.Load()
	var local, remote, last []Holder
	for _, holder := range all {
		switch {
		case polled != nil && holder.Address == *polled:
			last = append(last, holder)
		case holder.DataCentre == n.Self.DataCentre:
			local = append(local, holder)
		default:
			remote = append(remote, holder)
		}
	}
	return append(interleave(local, remote), last...)
}

// interleave alternates the elements of two lists, in order.
func interleave(a, b []Holder) []Holder {
	merged := make([]Holder, 0, len(a)+len(b))
	for i := range max(len(a), len(b)) {
		if i < len(a) {
			merged = append(merged, a[i])
		}
		if i < len(b) {
			merged = append(merged, b[i])
		}
	}
	return merged
}
