package metastore

import (
	"encoding/json"
	"net/http"
	"slices"
	"sync"
	"time"
)

// partitionsPerTopic is the number of partitions of each topic that a group
// allocates to its members.
const partitionsPerTopic = 12

// groups holds the state of all groups. It is safe for concurrent use.
type groups struct {
	mu     sync.Mutex
	byName map[string]*group
}

type group struct {
	generation int64
	topics     []string
	// expires is when each member's membership expires.
	expires map[string]time.Time
	// rotation shifts the allocation of partitions to members.
	rotation int
	commits  map[partitionID]int64
}

func newGroups() *groups { return &groups{byName: make(map[string]*group)} }

// groupCall is the body of the calls on groups.
type groupCall struct {
	Group      string `json:"group"`
	Member     string
	Topics     []string
	TtlMs      float64
	Generation int64
	Topic      string
	Part       int `json:"part"`
	Offset     int64
}

func (g *groups) find(name string) *group {
	found, ok := g.byName[name]
	if !ok {
		found = &group{expires: make(map[string]time.Time), commits: make(map[partitionID]int64)}
		g.byName[name] = found
	}
	return found
}

// expire removes the members whose membership has expired.
func (g *group) expire(now time.Time) {
	for member, expires := range g.expires {
		if now.After(expires) {
			delete(g.expires, member)
			g.generation++
		}
	}
}

// members returns the names of the members in order.
func (g *group) members() []string {
	var names []string
	for name := range g.expires {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// owner returns the member to which a partition is allocated, empty if the
// group has no members.
func (g *group) owner(part int) string {
	names := g.members()
	if len(names) == 0 {
		return ""
	}
	return names[(part+g.rotation)%len(names)]
}

func (g *groups) rebalance() {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, group := range g.byName {
		group.rotation++
		group.generation++
	}
}

func decodeGroupCall(body []byte) (groupCall, bool) {
	var call groupCall
	err := json.Unmarshal(body, &call)
	return call, err == nil && call.Group != ""
}

func (s *Service) join(_ *http.Request, body []byte) response {
	call, ok := decodeGroupCall(body)
	if !ok {
		return response{status: http.StatusBadRequest}
	}
	s.groups.mu.Lock()
	defer s.groups.mu.Unlock()
	g := s.groups.find(call.Group)
	now := time.Now()
	g.expire(now)
	if _, known := g.expires[call.Member]; !known {
		g.generation++
	}
	g.expires[call.Member] = now.Add(time.Duration(call.TtlMs * float64(time.Millisecond)))
	if len(call.Topics) > 0 {
		g.topics = call.Topics
	}
	rows := [][]any{}
	for _, topic := range g.topics {
		for part := range partitionsPerTopic {
			if g.owner(part) == call.Member {
				rows = append(rows, []any{topic, part, g.commits[partitionID{topic, part}]})
			}
		}
	}
	return jsonResponse(http.StatusOK, map[string]any{"Generation": g.generation, "TtlMs": call.TtlMs, "parts": rows})
}

func (s *Service) leave(_ *http.Request, body []byte) response {
	call, ok := decodeGroupCall(body)
	if !ok {
		return response{status: http.StatusBadRequest}
	}
	s.groups.mu.Lock()
	defer s.groups.mu.Unlock()
	g := s.groups.find(call.Group)
	if _, known := g.expires[call.Member]; known {
		delete(g.expires, call.Member)
		g.generation++
	}
	return jsonResponse(http.StatusOK, struct{}{})
}

func (s *Service) commit(_ *http.Request, body []byte) response {
	call, ok := decodeGroupCall(body)
	if !ok {
		return response{status: http.StatusBadRequest}
	}
	s.groups.mu.Lock()
	defer s.groups.mu.Unlock()
	g := s.groups.find(call.Group)
	g.expire(time.Now())
	if g.owner(call.Part) != call.Member || call.Generation < g.generation {
		return response{status: http.StatusConflict}
	}
	g.commits[partitionID{call.Topic, call.Part}] = call.Offset
	return jsonResponse(http.StatusOK, struct{}{})
}

func (s *Service) owners(r *http.Request, _ []byte) response {
	s.groups.mu.Lock()
	defer s.groups.mu.Unlock()
	g := s.groups.find(r.URL.Query().Get("group"))
	g.expire(time.Now())
	rows := [][]any{}
	for _, topic := range g.topics {
		for part := range partitionsPerTopic {
			if owner := g.owner(part); owner != "" {
				rows = append(rows, []any{topic, part, owner, g.commits[partitionID{topic, part}]})
			}
		}
	}
	return jsonResponse(http.StatusOK, map[string]any{"owners": rows})
}
