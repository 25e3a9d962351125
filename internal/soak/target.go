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
)

const (
	statusOK       = http.StatusOK
	statusNotFound = http.StatusNotFound
	// tokensPerEvent is the number of tokens of an event, eventsPerTurn the
	// most events of a turn.
	tokensPerEvent = 10
	eventsPerTurn  = 6
	// targetSlots is the number of requests that a target takes at once.
	targetSlots = 24
	// eventGap is the time between two events.
	eventGap = 6 * time.Millisecond
)

// trouble is what a target does to a request.
type trouble uint8

const (
	none trouble = iota
	// cutBefore breaks the connection off after the work, without an answer.
	cutBefore
	// cutInside breaks it off in the middle of the answer.
	cutInside
	// spoil sends bytes that are no answer.
	spoil
	// extra sends a second answer some time after the first, when the next
	// request may be on its way.
	extra
)

const (
	// extraAfter is the time between the two answers, extraHold how long the
	// connection stays open then.
	extraAfter = 15 * time.Millisecond
	extraHold  = 60 * time.Millisecond
)

// target is one life of a target.
type target struct {
	id      string
	service string
	history *history
	server  *http.Server
	address string
	// born is when it started, in Unix milliseconds.
	born int64

	running atomic.Int64
	gone    atomic.Bool
	// slowness stretches its work, slots is how many requests it takes at once.
	slowness atomic.Int64
	slots    atomic.Int64
	mu       sync.Mutex
	rng      *rand.Rand
	// troubleShare of the requests meet trouble.
	troubleShare float64
}

// startTarget starts a target of a service on a free port.
func startTarget(id, service string, h *history, seed uint64) (*target, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "listen")
	}
	t := &target{
		id: id, service: service, history: h, address: listener.Addr().String(), born: time.Now().UnixMilli(),
		rng: rand.New(rand.NewPCG(seed, 7)),
	}
	t.slowness.Store(1)
	t.slots.Store(targetSlots)
	t.server = &http.Server{Handler: t, ReadHeaderTimeout: time.Minute}
	go func() { _ = t.server.Serve(listener) }() // it ends with the target
	return t, nil
}

// end ends the target with all its connections.
func (t *target) end() {
	t.gone.Store(true)
	_ = t.server.Close() // its connections are to break
}

// setTrouble sets the share of requests that meet trouble.
func (t *target) setTrouble(share float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.troubleShare = share
}

func (t *target) drawTrouble() trouble {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.rng.Float64() >= t.troubleShare {
		return none
	}
	return trouble(1 + t.rng.IntN(int(extra)))
}

// ServeHTTP runs a request.
func (t *target) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return // the sender is gone
	}
	id := r.Header.Get("Banyanglade-Request-Id")
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
	made := &run{
		request: id, target: t, uri: r.URL.RequestURI(), body: string(body), start: time.Now(),
		organisation: r.Header.Get("Banyanglade-Tenant"), credential: r.Header.Get("Banyanglade-Credential"),
	}
	t.history.ran(made)
	w.Header().Set("Banyanglade-Server-Signature", t.id+"."+id)
	w.Header().Set("Banyanglade-Server-Load", t.loadReport())
	met := t.drawTrouble()
	if met != none {
		t.history.finish(made, true, false)
	}
	if t.service == engineService {
		t.stream(w, r, made, met)
		return
	}
	t.answer(w, r, made, met)
}

// loadReport is what the target tells of its load: requests that run and wait,
// slots, and the pace of its machine in percent.
func (t *target) loadReport() string {
	return fmt.Sprintf("%d,0,%d,%d", t.running.Load(), t.slots.Load(), 100*t.slowness.Load())
}

func (t *target) refuse(w http.ResponseWriter, status int) {
	w.Header().Set("Banyanglade-Server-Load", t.loadReport())
	w.Header().Set("Banyanglade-Not-Executed", "1")
	w.WriteHeader(status)
}

// answerOf is the body of the answer to a plain request.
func answerOf(id, body string) string { return "answer to " + id + " with " + body }

func (t *target) answer(w http.ResponseWriter, r *http.Request, made *run, met trouble) {
	if !t.work(r, time.Duration(len(made.request)%5+1)*8*time.Millisecond) {
		return
	}
	text := answerOf(made.request, made.body)
	switch met {
	case cutBefore:
		panic(http.ErrAbortHandler)
	case cutInside:
		w.Header().Set("Content-Length", strconv.Itoa(len(text)))
		_, _ = io.WriteString(w, text[:len(text)/2]) // it is cut either way
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	case spoil:
		writeRaw(w, 0, "\x16\x03\x01 no answer\r\n\r\n")
		return
	case extra:
		writeRaw(w, extraHold, t.rawAnswer(made.request, text), t.rawAnswer(made.request, "a second answer"))
		return
	}
	_, err := io.WriteString(w, text)
	t.history.finish(made, false, err == nil)
}

// rawAnswer is an answer as bytes.
func (t *target) rawAnswer(id, text string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nBanyanglade-Request-Id: %s\r\nBanyanglade-Server-Signature: %s.%s\r\n"+
		"Content-Length: %d\r\n\r\n%s", id, t.id, id, len(text), text)
}

// writeRaw sends texts in place of an answer, one after the other, and ends the
// connection a while later.
func writeRaw(w http.ResponseWriter, hold time.Duration, texts ...string) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return // the sender is gone
	}
	defer func() { _ = conn.Close() }() // nothing follows on it
	for i, text := range texts {
		if i > 0 {
			time.Sleep(extraAfter)
		}
		_, _ = io.WriteString(conn, text) // whoever reads it or not
	}
	time.Sleep(hold)
}

// work takes time, and tells whether the sender still waits.
func (t *target) work(r *http.Request, d time.Duration) bool {
	return delay.Sleep(r.Context(), d*time.Duration(t.slowness.Load()))
}

// inputOf is the new input of a turn: what follows the conversation before it,
// whose events each end with a line feed.
func inputOf(body string) string { return body[strings.LastIndexByte(body, '\n')+1:] }

// eventsOf is the number of events of a turn, which its input names.
func eventsOf(body string) int {
	if body == "" {
		return 1
	}
	n, err := strconv.Atoi(body[:1])
	if err != nil {
		return 1
	}
	return n
}

func (t *target) stream(w http.ResponseWriter, r *http.Request, made *run, met trouble) {
	if !t.work(r, eventGap) {
		return
	}
	if met == cutBefore {
		panic(http.ErrAbortHandler)
	}
	if met == spoil {
		writeRaw(w, 0, "no answer\r\n\r\n")
		return
	}
	input := inputOf(made.body)
	from, last := lastEvent(r), eventsOf(input)
	w.Header().Set("Content-Type", "text/event-stream")
	for i := from + 1; i <= last; i++ {
		if met == cutInside && i == (from+1+last)/2 {
			_, _ = fmt.Fprintf(w, "id: %d\nda", i) // it is cut either way
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		}
		_, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", i, input)
		if err != nil || http.NewResponseController(w).Flush() != nil || !t.work(r, eventGap) {
			return
		}
	}
	t.history.finish(made, false, true)
}

// lastEvent is the event behind which a stream is to go on.
func lastEvent(r *http.Request) int {
	n, err := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	if err != nil {
		return 0
	}
	return n
}
