package soak

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/banyanglade/banyanglade/internal/delay"
	"github.com/banyanglade/banyanglade/internal/testkit"
)

const (
	statusOK       = http.StatusOK
	statusNotFound = http.StatusNotFound
	// tokensPerEvent is the number of tokens of an event, eventsPerTurn the maximum
	// number of events of a turn.
	tokensPerEvent = 10
	eventsPerTurn  = 6
	// targetSlots is the number of concurrent requests of a target.
	targetSlots = 24
	// eventGap is the time between two events.
	eventGap = 6 * time.Millisecond
)

// targetFault is a fault that a target injects into a response.
type targetFault uint8

const (
	faultNone targetFault = iota
	// faultCloseBefore closes the connection after the work, before the response.
	faultCloseBefore
	// faultCloseMidway closes the connection in the middle of the response.
	faultCloseMidway
	// faultMalformed sends bytes that are not an HTTP response.
	faultMalformed
	// faultExtraResponse sends a second response some time after the first, when the
	// next request on the connection may be in flight.
	faultExtraResponse
)

const (
	// extraResponseDelay is the time between the two responses, extraResponseHold how
	// long the connection then stays open.
	extraResponseDelay = 15 * time.Millisecond
	extraResponseHold  = 60 * time.Millisecond
)

// target is one incarnation of a target.
type target struct {
	id      string
	service string
	// version is the version of the target's software.
	version string
	history *history
	server  *http.Server
	// listener accepts the connections of server.
	listener net.Listener
	address  string
	// startedMS is the start time in Unix milliseconds.
	startedMS int64

	running atomic.Int64
	stopped atomic.Bool
	// silent makes the target send nothing more. ended replaces the target after a
	// request has ended it.
	silent atomic.Bool
	ended  func(t *target, silently bool)
	// slowdown multiplies the duration of work, slots is the number of concurrent
	// requests.
	slowdown atomic.Int64
	slots    atomic.Int64
	mu       sync.Mutex
	rng      *rand.Rand
	// faultProbability is the probability that a request gets a fault.
	faultProbability float64
}

// startTarget starts a target of a service at a free loopback address. The function ended
// replaces it after a request has ended it.
func startTarget(
	id, service, version string, h *history, seed uint64, ended func(t *target, silently bool),
) (*target, error) {
	// Nothing else must listen where a target has ended.
	listener, err := testkit.Listen()
	if err != nil {
		return nil, errors.Wrap(err, "listen")
	}
	t := &target{
		id: id, service: service, version: version, history: h, listener: listener, address: listener.Addr().String(), startedMS: time.Now().UnixMilli(),
		rng: rand.New(rand.NewPCG(seed, 7)), ended: ended,
	}
	t.slowdown.Store(1)
	t.slots.Store(targetSlots)
	t.server = &http.Server{Handler: t, ReadHeaderTimeout: time.Minute}
	go func() { _ = t.server.Serve(listener) }() // returns when the server is closed
	return t, nil
}

// stop closes the target and all its connections.
func (t *target) stop() {
	t.stopped.Store(true)
	_ = t.server.Close()
}

// setFaultProbability sets the probability that a request gets a fault.
func (t *target) setFaultProbability(probability float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.faultProbability = probability
}

func (t *target) pickFault() targetFault {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.rng.Float64() >= t.faultProbability {
		return faultNone
	}
	return targetFault(1 + t.rng.IntN(int(faultExtraResponse)))
}

// ServeHTTP records and runs a request.
func (t *target) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return // the sender has disconnected
	}
	id := r.Header.Get("Banyanglade-Request-Id")
	if t.silent.Load() {
		t.history.recordUnanswered(id, t)
		<-r.Context().Done()
		return
	}
	w.Header().Set("Banyanglade-Request-Id", id)
	if expected := r.Header.Get("Banyanglade-Expect-Instance"); expected != t.id {
		t.refuse(w, http.StatusMisdirectedRequest)
		return
	}
	if t.running.Add(1) > t.slots.Load() {
		t.running.Add(-1)
		t.refuse(w, http.StatusServiceUnavailable)
		return
	}
	defer t.running.Add(-1)
	exec := &run{
		request: id, target: t, uri: r.URL.RequestURI(), body: string(body), start: time.Now(),
		organisation: r.Header.Get("Banyanglade-Tenant"), credential: r.Header.Get("Banyanglade-Credential"),
	}
	t.history.recordRun(exec)
	t.endMidRun(r, exec, endsAtOnce)
	t.endLater(r, exec)
	w.Header().Set("Banyanglade-Server-Signature", t.id+"."+id)
	w.Header().Set("Banyanglade-Server-Load", t.loadReport())
	fault := t.pickFault()
	if fault != faultNone {
		t.history.recordRunEnd(exec, true, false)
	}
	if t.service == engineService {
		t.stream(w, r, exec, fault)
		return
	}
	t.respond(w, r, exec, fault)
}

// loadReport returns the value of the load header: running requests, waiting requests,
// slots, and the slowdown in percent.
func (t *target) loadReport() string {
	return fmt.Sprintf("%d,0,%d,%d", t.running.Load(), t.slots.Load(), 100*t.slowdown.Load())
}

func (t *target) refuse(w http.ResponseWriter, status int) {
	w.Header().Set("Banyanglade-Server-Load", t.loadReport())
	w.Header().Set("Banyanglade-Not-Executed", "1")
	w.WriteHeader(status)
}

// responseBody returns the response body of a plain request.
func responseBody(id, body string) string { return "answer to " + id + " with " + body }

func (t *target) respond(w http.ResponseWriter, r *http.Request, exec *run, fault targetFault) {
	if !t.simulateWork(r, time.Duration(len(exec.request)%5+1)*8*time.Millisecond) {
		return
	}
	t.endMidRun(r, exec, endsSilently)
	text := responseBody(exec.request, exec.body)
	switch fault {
	case faultCloseBefore:
		panic(http.ErrAbortHandler)
	case faultCloseMidway:
		w.Header().Set("Content-Length", strconv.Itoa(len(text)))
		_, _ = io.WriteString(w, text[:len(text)/2]) // the response is truncated in any case
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	case faultMalformed:
		writeRaw(w, 0, "\x16\x03\x01 no answer\r\n\r\n")
		return
	case faultExtraResponse:
		writeRaw(w, extraResponseHold, t.rawResponse(exec.request, text), t.rawResponse(exec.request, "a second answer"))
		return
	}
	_, err := io.WriteString(w, text)
	t.history.recordRunEnd(exec, false, err == nil)
}

// rawResponse returns a complete HTTP response.
func (t *target) rawResponse(id, text string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nBanyanglade-Request-Id: %s\r\nBanyanglade-Server-Signature: %s.%s\r\n"+
		"Content-Length: %d\r\n\r\n%s", id, t.id, id, len(text), text)
}

// writeRaw writes texts to the connection one after the other, and closes it after the
// hold time.
func writeRaw(w http.ResponseWriter, hold time.Duration, texts ...string) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return // the sender has disconnected
	}
	defer func() { _ = conn.Close() }()
	for i, text := range texts {
		if i > 0 {
			time.Sleep(extraResponseDelay)
		}
		_, _ = io.WriteString(conn, text) // the sender may have disconnected
	}
	time.Sleep(hold)
}

// simulateWork sleeps, and reports whether the sender is still waiting.
func (t *target) simulateWork(r *http.Request, d time.Duration) bool {
	if !delay.Sleep(r.Context(), d*time.Duration(t.slowdown.Load())) {
		return false
	}
	if t.silent.Load() {
		<-r.Context().Done()
		return false
	}
	return true
}

// newInput returns the input of a turn without the conversation before it, whose
// events each end with a line feed.
func newInput(body string) string { return body[strings.LastIndexByte(body, '\n')+1:] }

// eventCount returns the number of events that the input of a turn requests.
func eventCount(body string) int {
	if body == "" {
		return 1
	}
	n, err := strconv.Atoi(body[:1])
	if err != nil {
		return 1
	}
	return n
}

func (t *target) stream(w http.ResponseWriter, r *http.Request, exec *run, fault targetFault) {
	if !t.simulateWork(r, eventGap) {
		return
	}
	if fault == faultCloseBefore {
		panic(http.ErrAbortHandler)
	}
	if fault == faultMalformed {
		writeRaw(w, 0, "no answer\r\n\r\n")
		return
	}
	input := newInput(exec.body)
	from, last := lastEventID(r), eventCount(input)
	w.Header().Set("Content-Type", "text/event-stream")
	for i := from + 1; i <= last; i++ {
		if fault == faultCloseMidway && i == (from+1+last)/2 {
			_, _ = fmt.Fprintf(w, "id: %d\nda", i) // the response is truncated in any case
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		}
		if i > from+1 {
			t.endMidRun(r, exec, endsMidway, endsSilently)
		}
		_, err := fmt.Fprintf(w, "id: %d\n%s%s\ndata: %s\n\n", i, versionComment, t.version, input)
		if err != nil || http.NewResponseController(w).Flush() != nil || !t.simulateWork(r, eventGap) {
			return
		}
	}
	t.history.recordRunEnd(exec, false, true)
}

// lastEventID returns the event after which a stream is to resume, 0 if unset.
func lastEventID(r *http.Request) int {
	n, err := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	if err != nil {
		return 0
	}
	return n
}
