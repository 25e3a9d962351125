package dispatch

import (
	"cmp"
	"slices"

	"github.com/banyanglade/banyanglade/internal/structs"
)

// queue holds the waiting calls of a pool: a sorted list for each class and
// team.
type queue struct {
	// teamQueues is ordered by class, then team.
	teamQueues []*teamQueue
	size       int
}

// teamQueue is the waiting calls of one team in one class, best first.
type teamQueue struct {
	class int
	team  structs.Team
	calls []*call
}

func compareCalls(a, b *call) int {
	return cmp.Or(cmp.Compare(a.key, b.key), a.arrived.Compare(b.arrived), cmp.Compare(a.run(), b.run()))
}

func (q *queue) search(class int, team structs.Team) (int, bool) {
	return slices.BinarySearchFunc(q.teamQueues, class, func(l *teamQueue, class int) int {
		return cmp.Or(cmp.Compare(l.class, class), cmp.Compare(l.team, team))
	})
}

func (q *queue) add(c *call) {
	i, ok := q.search(c.class, c.request.Team)
	if !ok {
		q.teamQueues = slices.Insert(q.teamQueues, i, &teamQueue{class: c.class, team: c.request.Team})
	}
	l := q.teamQueues[i]
	at, _ := slices.BinarySearchFunc(l.calls, c, compareCalls)
	l.calls = slices.Insert(l.calls, at, c)
	q.size++
}

func (q *queue) remove(c *call) {
	i, ok := q.search(c.class, c.request.Team)
	if !ok {
		return
	}
	l := q.teamQueues[i]
	at, ok := slices.BinarySearchFunc(l.calls, c, compareCalls)
	if !ok {
		return
	}
	l.calls = slices.Delete(l.calls, at, at+1)
	q.size--
	if len(l.calls) == 0 {
		q.teamQueues = slices.Delete(q.teamQueues, i, i+1)
	}
}

// teamSize counts a team's waiting calls.
func (q *queue) teamSize(team structs.Team) int {
	count := 0
	for _, l := range q.teamQueues {
		if l.team == team {
			count += len(l.calls)
		}
	}
	return count
}

// countAhead counts the waiting calls that go before a call, fair shares aside. The
// call itself may wait or not.
func (q *queue) countAhead(c *call) int {
	count := 0
	for _, l := range q.teamQueues {
		switch {
		case l.class < c.class:
			count += len(l.calls)
		case l.class == c.class:
			at, _ := slices.BinarySearchFunc(l.calls, c, compareCalls)
			count += at
		}
	}
	return count
}

// hasClass tells whether any call of a class waits.
func (q *queue) hasClass(class int) bool {
	return slices.ContainsFunc(q.teamQueues, func(l *teamQueue) bool { return l.class == class })
}

// backloggedTeams lists the teams that wait in a class, in order.
func (q *queue) backloggedTeams(class int) []structs.Team {
	var teams []structs.Team
	for _, l := range q.teamQueues {
		if l.class == class {
			teams = append(teams, l.team)
		}
	}
	return teams
}

// top gives up to limit calls, best first: by class, within it the teams
// that are not over their share, within these by key.
func (q *queue) top(limit int, overShare func(*teamQueue) bool) []*call {
	calls := make([]*call, 0, min(limit, q.size))
	for start := 0; start < len(q.teamQueues) && len(calls) < limit; {
		end := start
		for end < len(q.teamQueues) && q.teamQueues[end].class == q.teamQueues[start].class {
			end++
		}
		var withinShare, aboveShare []*teamQueue
		for _, l := range q.teamQueues[start:end] {
			if overShare(l) {
				aboveShare = append(aboveShare, l)
			} else {
				withinShare = append(withinShare, l)
			}
		}
		calls = mergeTeamQueues(calls, withinShare, limit)
		calls = mergeTeamQueues(calls, aboveShare, limit)
		start = end
	}
	return calls
}

// mergeTeamQueues appends the best calls of some lanes, up to limit in all.
func mergeTeamQueues(best []*call, lanes []*teamQueue, limit int) []*call {
	next := make([]int, len(lanes))
	for len(best) < limit {
		pick := -1
		for i, l := range lanes {
			if next[i] < len(l.calls) && (pick < 0 || compareCalls(l.calls[next[i]], lanes[pick].calls[next[pick]]) < 0) {
				pick = i
			}
		}
		if pick < 0 {
			break
		}
		best = append(best, lanes[pick].calls[next[pick]])
		next[pick]++
	}
	return best
}

// forEach calls do for every waiting call, by class and team.
func (q *queue) forEach(fn func(*call)) {
	for _, l := range q.teamQueues {
		for _, c := range l.calls {
			fn(c)
		}
	}
}
