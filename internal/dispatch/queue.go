package dispatch

import (
	"cmp"
	"slices"

	"github.com/banyanglade/banyanglade/internal/structs"
)

// queue holds the waiting calls of a pool: a sorted list for each class and
// team.
type queue struct {
	// lanes is ordered by class, then team.
	lanes []*lane
	size  int
}

// lane is the waiting calls of one team in one class, best first.
type lane struct {
	class int
	team  structs.Team
	calls []*call
}

func compareCalls(a, b *call) int {
	return cmp.Or(cmp.Compare(a.key, b.key), a.arrived.Compare(b.arrived), cmp.Compare(a.run(), b.run()))
}

func (q *queue) lane(class int, team structs.Team) (int, bool) {
	return slices.BinarySearchFunc(q.lanes, class, func(l *lane, class int) int {
		return cmp.Or(cmp.Compare(l.class, class), cmp.Compare(l.team, team))
	})
}

func (q *queue) add(c *call) {
	i, ok := q.lane(c.class, c.request.Team)
	if !ok {
		q.lanes = slices.Insert(q.lanes, i, &lane{class: c.class, team: c.request.Team})
	}
	l := q.lanes[i]
	at, _ := slices.BinarySearchFunc(l.calls, c, compareCalls)
	l.calls = slices.Insert(l.calls, at, c)
	q.size++
}

func (q *queue) remove(c *call) {
	i, ok := q.lane(c.class, c.request.Team)
	if !ok {
		return
	}
	l := q.lanes[i]
	at, ok := slices.BinarySearchFunc(l.calls, c, compareCalls)
	if !ok {
		return
	}
	l.calls = slices.Delete(l.calls, at, at+1)
	q.size--
	if len(l.calls) == 0 {
		q.lanes = slices.Delete(q.lanes, i, i+1)
	}
}

// teamSize counts a team's waiting calls.
func (q *queue) teamSize(team structs.Team) int {
	count := 0
	for _, l := range q.lanes {
		if l.team == team {
			count += len(l.calls)
		}
	}
	return count
}

// ahead counts the waiting calls that go before a call, fair shares aside. The
// call itself may wait or not.
func (q *queue) ahead(c *call) int {
	count := 0
	for _, l := range q.lanes {
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

// waits tells whether any call of a class waits.
func (q *queue) waits(class int) bool {
	return slices.ContainsFunc(q.lanes, func(l *lane) bool { return l.class == class })
}

// backlogged lists the teams that wait in a class, in order.
func (q *queue) backlogged(class int) []structs.Team {
	var teams []structs.Team
	for _, l := range q.lanes {
		if l.class == class {
			teams = append(teams, l.team)
		}
	}
	return teams
}

// first gives up to limit calls, best first: by class, within it the teams
// that are not over their share, within these by key.
func (q *queue) first(limit int, over func(*lane) bool) []*call {
	best := make([]*call, 0, min(limit, q.size))
	for start := 0; start < len(q.lanes) && len(best) < limit; {
		end := start
		for end < len(q.lanes) && q.lanes[end].class == q.lanes[start].class {
			end++
		}
		var within, beyond []*lane
		for _, l := range q.lanes[start:end] {
			if over(l) {
				beyond = append(beyond, l)
			} else {
				within = append(within, l)
			}
		}
		best = mergeLanes(best, within, limit)
		best = mergeLanes(best, beyond, limit)
		start = end
	}
	return best
}

// mergeLanes appends the best calls of some lanes, up to limit in all.
func mergeLanes(best []*call, lanes []*lane, limit int) []*call {
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

// each calls do for every waiting call, by class and team.
func (q *queue) each(do func(*call)) {
	for _, l := range q.lanes {
		for _, c := range l.calls {
			do(c)
		}
	}
}
