package soak

import (
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"
)

// kind is the kind of a request.
type kind uint8

const (
	// turn requests return a stream that may resume at another target.
	turn kind = iota
	// safe requests may run more than once.
	safe
	// once requests run at most once.
	once
)

func (k kind) String() string { return [...]string{"turn", "safe", "once"}[k] }

// attempt is one request of a caller, with what it received.
type attempt struct {
	id      string
	program string
	// organisation is the one whose key the attempt carries, empty if the key is
	// forged.
	organisation string
	kind         kind
	body         string
	// stored turns belong to a conversation that the system stores. previous is the
	// turn that this one continues, empty for the first.
	stored      bool
	previous    string
	incarnation *incarnation
	start       time.Time
	end         time.Time
	status      int
	signature   string
	received    string
	// events are the ids of the events received, in order of arrival.
	events []int
	// resumes is the attempt that brought the first event of a stream that this one
	// resumes after an event, nil for a new stream. versions are the software versions
	// of the events received.
	resumes  *attempt
	after    int
	versions []string
	// complete is true if the response was received to its end, aborted if the
	// connection broke after the request was written.
	complete bool
	aborted  bool
	// cancelled is true if the caller gave up.
	cancelled bool
}

// tokens returns the number of tokens that the caller received.
func (a *attempt) tokens() int { return len(a.events) * tokensPerEvent }

// run is one execution of a request at a target.
type run struct {
	request string
	target  *target
	uri     string
	body    string
	// organisation and credential are the headers that the target received.
	organisation string
	credential   string
	start        time.Time
	// faulted is true if the target injected a fault into the response, completed if
	// it sent the response to its end.
	faulted   bool
	completed bool
	// endedTarget is true if the request ended the target.
	endedTarget bool
}

// probe is an observation of the settings in force at an instance.
type probe struct {
	incarnation *incarnation
	version     int
	start       time.Time
	end         time.Time
	// inForce is true if the route of the version existed.
	inForce bool
}

// history records what callers and targets observe. It is safe for concurrent use.
type history struct {
	mu       sync.Mutex
	attempts []*attempt
	runs     map[string][]*run
	// unanswered holds the targets that had gone silent when they received a request.
	unanswered map[string][]*target
	probes     []probe
	programs   map[string]int
	// published holds the time at which each version of the settings was published.
	published    map[int]time.Time
	attemptsByID map[string]*attempt
	// storedTurns are the ids of the stored turns that were served, in order.
	storedTurns []string
	// crashed are the incarnations that exited without being stopped.
	crashed []*incarnation
	// misrouted are the requests that arrived at the decoy.
	misrouted []string
	// allKilled are the times at which all instances were killed at once.
	allKilled []time.Time
}

func newHistory() *history {
	return &history{
		runs: make(map[string][]*run), unanswered: make(map[string][]*target), programs: make(map[string]int), published: make(map[int]time.Time),
		attemptsByID: make(map[string]*attempt),
	}
}

// recordStart records an attempt before its request is sent.
func (h *history) recordStart(a *attempt) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.attemptsByID[a.id] = a
}

// recordEnd records an attempt that has its outcome.
func (h *history) recordEnd(a *attempt) {
	h.mu.Lock()
	defer h.mu.Unlock()
	a.end = time.Now()
	h.attempts = append(h.attempts, a)
	if a.stored && a.served() {
		h.storedTurns = append(h.storedTurns, a.id)
	}
}

// recordProgram records a program with its budget in tokens.
func (h *history) recordProgram(program string, budget int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.programs[program] = budget
}

func (h *history) recordRun(r *run) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.runs[r.request] = append(h.runs[r.request], r)
}

// recordUnanswered records that a silent target received a request, which it does not run.
func (h *history) recordUnanswered(request string, t *target) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.unanswered[request] = append(h.unanswered[request], t)
}

// recordMisrouted records a request that arrived at the decoy.
func (h *history) recordMisrouted(what string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.misrouted = append(h.misrouted, what)
}

// recordCrash records an incarnation that exited without being stopped.
func (h *history) recordCrash(inc *incarnation) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.crashed = append(h.crashed, inc)
}

// recordRunEnd records how a run ended.
func (h *history) recordRunEnd(r *run, faulted, completed bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	r.faulted, r.completed = r.faulted || faulted, completed
}

func (h *history) recordProbe(p probe) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.probes = append(h.probes, p)
}

func (h *history) recordPublished(version int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.published[version] = time.Now()
}

// served reports whether the caller received a complete successful response.
func (a *attempt) served() bool { return a.complete && a.status == statusOK }

// conversation returns the text of a stored turn and all turns before it, and the
// input that the target receives for the turn. It returns false if the turn or one
// before it does not exist.
func (h *history) conversation(id string) (text, input string, ok bool) {
	a, known := h.attemptsByID[id]
	if !known || !a.stored {
		return "", "", false
	}
	before := ""
	if a.previous != "" {
		if before, _, ok = h.conversation(a.previous); !ok {
			return "", "", false
		}
	}
	input = before + a.body
	return input + strings.Repeat(a.body+"\n", eventCount(a.body)), input, true
}

// maxRecentTurns is the number of stored turns among which randomStoredTurn chooses.
const maxRecentTurns = 60

// randomStoredTurn returns one of the most recent stored turns of an organisation,
// empty if there are none.
func (h *history) randomStoredTurn(rng *rand.Rand, organisation string) string {
	h.mu.Lock()
	defer h.mu.Unlock()
	own := slices.DeleteFunc(slices.Clone(h.storedTurns), func(id string) bool {
		return h.attemptsByID[id].organisation != organisation
	})
	if len(own) == 0 {
		return ""
	}
	recent := own[max(len(own)-maxRecentTurns, 0):]
	return recent[rng.IntN(len(recent))]
}

// served counts the attempts served so far.
func (h *history) served() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	n := 0
	for _, a := range h.attempts {
		if a.served() {
			n++
		}
	}
	return n
}
