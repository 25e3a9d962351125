package lostruns

import (
	"context"
	"time"

	"github.com/banyanglade/banyanglade/internal/holders"
	"github.com/banyanglade/banyanglade/internal/serve"
	"github.com/banyanglade/banyanglade/internal/structs"
)

// exchange is a notice to the holders of a piece of work, or a query if it has no runs.
type exchange struct {
	manager *Manager
	work    serve.Work
	runs    structs.Runs
	round   *holders.Round[*structs.LostRunsReply]
	// rest are the instances that are sent the notice or query if too few reply: the
	// other holders and, of a notice, all that are connected, since the listed holders
	// may have ended.
	rest []structs.InstanceID
	// needed is the number of instances that have to reply to a notice. asked and sent
	// are those that were to be asked, and those to which there was a connection.
	needed, asked, sent int
	// firstRun indicates a notice of work without lost runs.
	firstRun bool
	// stable indicates that the holders have been the same for the lifetime of the work.
	stable bool
	// recording is the append of the runs to the store, nil if there is none.
	recording *appendResult
}

// tell sends the notice to the first holders.
func (e *exchange) tell(count int) {
	m, to := e.manager, e.rest[:count]
	e.count(count)
	e.sent += count
	e.rest = e.rest[count:]
	e.round = m.queries.Begin(to, func(id structs.InstanceID, number uint64) bool {
		m.Peers.Send(id, e.notice(number))
		return true
	})
}

// ask sends the notice or query to the first of the remaining instances, if there are
// connections to them. Many requests ask after a start of all instances: dialing would take
// those that are still starting for unresponsive, also for the budgets.
func (e *exchange) ask(count int) {
	m, to := e.manager, e.rest[:count]
	e.count(count)
	var unsent []structs.InstanceID
	e.round = m.queries.Begin(to, func(id structs.InstanceID, number uint64) bool {
		sent := m.Peers.TrySend(id, e.notice(number))
		if !sent {
			unsent = append(unsent, id)
		}
		return sent
	})
	e.sent += count - len(unsent)
	e.rest = append(unsent, e.rest[count:]...)
}

// count counts messages to instances.
func (e *exchange) count(instances int) {
	e.asked += instances
	counter := e.manager.metrics.asked
	if len(e.runs) > 0 {
		counter = e.manager.metrics.told
	}
	counter.Inc(int64(instances))
}

func (e *exchange) notice(number uint64) *structs.LostRunsNotice {
	return &structs.LostRunsNotice{Number: number, Work: e.work.ID, Runs: e.runs.Outgoing(time.Now()), Lifetime: e.work.Lifetime}
}

// Wait implements serve.RunsExchange.
func (e *exchange) Wait(ctx context.Context) (structs.Runs, bool) {
	m, timeout := e.manager, replyTimeout
	if len(e.rest) > 0 {
		timeout = firstReplyTimeout
	}
	replies := e.collect(ctx, timeout)
	if e.tooFew(replies) && len(e.rest) > 0 && ctx.Err() == nil {
		// A connection may have been opened for the request's reservation since.
		e.ask(len(e.rest))
		replies = append(replies, e.collect(ctx, replyTimeout)...)
	}
	if len(replies) == 0 && e.asked > 0 {
		m.metrics.unanswered.Inc(1)
	}
	acknowledged := e.awaitRecord(ctx, replies)
	if e.mustRead(replies) {
		e.readRecords(ctx)
	}
	if !acknowledged && len(e.runs) > 0 && !e.firstRun {
		m.markUnshared(e.work.ID, e.needed-len(replies))
	}
	known := e.mergeReplies(replies)
	if len(e.runs)+len(known) > 0 && !e.firstRun {
		m.Log.Info("lost runs exchanged", "work", e.work.ID, "told", len(e.runs), "known", len(known),
			"asked", e.asked, "replies", len(replies), "acknowledged", acknowledged)
	}
	return m.lost(known), acknowledged
}

// markUnshared makes instances that connect later be told of the runs of a work.
func (m *Manager) markUnshared(work string, instances int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.unshared[work] = instances
}

// tooFew reports whether more instances have to reply.
func (e *exchange) tooFew(replies []*structs.LostRunsReply) bool {
	return len(replies) == 0 || (len(e.runs) > 0 && len(replies) < e.needed)
}

// awaitRecord waits for the store, which was sent the runs together with the instances, and
// reports whether it or enough instances have them.
func (e *exchange) awaitRecord(ctx context.Context, replies []*structs.LostRunsReply) bool {
	enough := len(replies) >= e.needed
	if e.recording == nil || (enough && !e.manager.Records.Available()) {
		return enough
	}
	return e.recording.wait(ctx, recordPatience) || enough
}

// mustRead reports whether the records in the store have to be read: after a start, while
// too few of the holders reply that change, and in place of replies if instances may have
// ended, which recorded runs before.
func (e *exchange) mustRead(replies []*structs.LostRunsReply) bool {
	m := e.manager
	if m.Records == nil || len(e.runs) > 0 || !m.Records.Available() {
		return false
	}
	switch {
	case !m.Records.Loaded():
		return true
	case !e.stable:
		return len(replies) < queryQuorum && (e.asked > 0 || !m.knowsEarlierBuilds())
	}
	return len(replies) == 0 && (e.sent > 0 || (e.asked > 0 && m.Disturbed()))
}

// readRecords reads the records in the store.
func (e *exchange) readRecords(ctx context.Context) {
	m := e.manager
	ctx, cancel := context.WithTimeout(ctx, catchUpTimeout)
	defer cancel()
	m.metrics.read.Inc(1)
	if err := m.reads.wait(ctx); err != nil {
		m.Log.Info("records of lost runs not read", "work", e.work.ID, "error", err.Error())
	}
}

// mergeReplies merges the runs in replies and returns all that are known of the work.
func (e *exchange) mergeReplies(replies []*structs.LostRunsReply) structs.Runs {
	m := e.manager
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	for _, reply := range replies {
		m.runs.merge(e.work.ID, reply.Runs.Incoming(now), e.work.Lifetime, now)
	}
	return m.runs.merge(e.work.ID, nil, e.work.Lifetime, now)
}

// collect waits for the replies to the current round: all to a query, as many as are needed
// to a notice.
func (e *exchange) collect(ctx context.Context, timeout time.Duration) []*structs.LostRunsReply {
	received := 0
	replies, _ := e.round.Collect(ctx, timeout, func(*structs.LostRunsReply) bool {
		received++
		return len(e.runs) > 0 && received >= e.needed
	})
	return replies
}

// Cancel implements serve.RunsExchange.
func (e *exchange) Cancel() { e.round.Cancel() }
