package dispatch

import (
	"cmp"
	"slices"

	"github.com/banyanglade/banyanglade/internal/structs"
)

// queue holds the waiting calls of a pool, as one sorted list per class and
// team.
type queue struct {
	// teamQueues is sorted by class, then team.
	teamQueues []*teamQueue
	size       int
}

// teamQueue holds the waiting calls of one team in one class, best first.
type teamQueue struct {
	class int
	team  structs.Team
	calls []*call
}

func compareCalls(a, b *call) int {
	return cmp.Or(cmp.Compare(a.key, b.key), a.arrived.Compare(b.arrived), cmp.Compare(a.run(), b.run()))
}

func (q *queue) search(class int, team structs.Team) (int, bool) {
	return slices.BinarySearchFunc(q.teamQueues, class, func(tq *teamQueue, class int) int {
		return cmp.Or(cmp.Compare(tq.class, class), cmp.Compare(tq.team, team))
	})
}

func (q *queue) add(c *call) {
	i, ok := q.search(c.class, c.request.Team)
	if !ok {
		q.teamQueues = slices.Insert(q.teamQueues, i, &teamQueue{class: c.class, team: c.request.Team})
	}
	tq := q.teamQueues[i]
	at, _ := slices.BinarySearchFunc(tq.calls, c, compareCalls)
	tq.calls = slices.Insert(tq.calls, at, c)
	q.size++
}

func (q *queue) remove(c *call) {
	i, ok := q.search(c.class, c.request.Team)
	if !ok {
		return
	}
	tq := q.teamQueues[i]
	at, ok := slices.BinarySearchFunc(tq.calls, c, compareCalls)
	if !ok {
		return
	}
	tq.calls = slices.Delete(tq.calls, at, at+1)
	q.size--
	if len(tq.calls) == 0 {
		q.teamQueues = slices.Delete(q.teamQueues, i, i+1)
	}
}

// teamSize returns the number of waiting calls of a team.
func (q *queue) teamSize(team structs.Team) int {
	count := 0
	for _, tq := range q.teamQueues {
		if tq.team == team {
			count += len(tq.calls)
		}
	}
	return count
}

// countAhead returns the number of waiting calls that precede a call, without
// regard to fair shares. The call itself need not be in the queue.
func (q *queue) countAhead(c *call) int {
	count := 0
	for _, tq := range q.teamQueues {
		switch {
		case tq.class < c.class:
			count += len(tq.calls)
		case tq.class == c.class:
			at, _ := slices.BinarySearchFunc(tq.calls, c, compareCalls)
			count += at
		}
	}
	return count
}

// hasClass reports whether any call of a class waits.
func (q *queue) hasClass(class int) bool {
	return slices.ContainsFunc(q.teamQueues, func(tq *teamQueue) bool { return tq.class == class })
}

// backloggedTeams returns the teams with waiting calls in a class, in order.
func (q *queue) backloggedTeams(class int) []structs.Team {
	var teams []structs.Team
	for _, tq := range q.teamQueues {
		if tq.class == class {
			teams = append(teams, tq.team)
		}
	}
	return teams
}

// top returns up to limit calls, best first: by class, then teams within their
// share before those over it, then by key.
func (q *queue) top(limit int, exceedsShare func(*teamQueue) bool) []*call {
	calls := make([]*call, 0, min(limit, q.size))
	for start := 0; start < len(q.teamQueues) && len(calls) < limit; {
		end := start
		for end < len(q.teamQueues) && q.teamQueues[end].class == q.teamQueues[start].class {
			end++
		}
		var withinShare, overShare []*teamQueue
		for _, tq := range q.teamQueues[start:end] {
			if exceedsShare(tq) {
				overShare = append(overShare, tq)
			} else {
				withinShare = append(withinShare, tq)
			}
		}
		calls = mergeTeamQueues(calls, withinShare, limit)
		calls = mergeTeamQueues(calls, overShare, limit)
		start = end
	}
	return calls
}

// mergeTeamQueues appends the best calls of several team queues to best until
// it has limit calls.
func mergeTeamQueues(best []*call, queues []*teamQueue, limit int) []*call {
	next := make([]int, len(queues))
	for len(best) < limit {
		pick := -1
		for i, tq := range queues {
			if next[i] < len(tq.calls) && (pick < 0 || compareCalls(tq.calls[next[i]], queues[pick].calls[next[pick]]) < 0) {
				pick = i
			}
		}
		if pick < 0 {
			break
		}
		best = append(best, queues[pick].calls[next[pick]])
		next[pick]++
	}
	return best
}

// forEach calls fn for every waiting call, by class and team.
func (q *queue) forEach(fn func(*call)) {
	for _, tq := range q.teamQueues {
		for _, c := range tq.calls {
			fn(c)
		}
	}
}
