package main

import (
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync/atomic"
	"time"
)

// runner is a stand-in of a runner. It writes one line to its file of runs as it begins
// to run a request.
type runner struct {
	id      string
	runs    *os.File
	notes   *os.File
	slot    chan struct{}
	slots   int64
	queue   int64
	work    time.Duration
	events  int
	gap     time.Duration
	breakAt time.Duration
	spoil   int64
	// spoilFrom and spoilUntil are Unix milliseconds.
	spoilFrom, spoilUntil int64
	answers               atomic.Int64
	running               atomic.Int64
	broken                atomic.Bool
}

// serveRunner runs a runner until the process is killed.
func serveRunner(arguments []string) error {
	r := new(runner)
	var path string
	twice := false
	flags := flag.NewFlagSet("runner", flag.ContinueOnError)
	flags.StringVar(&r.id, "id", "", "its id")
	flags.StringVar(&path, "runs", "", "the file of runs")
	flags.Int64Var(&r.slots, "slots", 6, "requests at once")
	flags.Int64Var(&r.queue, "queue", 24, "requests that wait")
	flags.DurationVar(&r.work, "work", 50*time.Millisecond, "the time of a plain request")
	flags.IntVar(&r.events, "events", 7, "the events of a stream")
	flags.DurationVar(&r.gap, "gap", 30*time.Millisecond, "the time between two events")
	flags.DurationVar(&r.breakAt, "break-at", 0, "break one stream off in the middle of an event after this time")
	flags.Int64Var(&r.spoil, "spoil", 0, "spoil each answer whose number this divides")
	flags.BoolVar(&twice, "twice", false, "send an answer twice in place of spoiling it")
	flags.Int64Var(&r.spoilFrom, "spoil-from", 0, "spoil answers from this time on, in Unix milliseconds")
	flags.Int64Var(&r.spoilUntil, "spoil-until", 0, "spoil answers until this time, in Unix milliseconds")
	if err := flags.Parse(arguments); err != nil {
		return err
	}
	var err error
	if r.runs, err = os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600); err != nil {
		return err
	}
	if r.notes, err = os.OpenFile(path+".notes", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600); err != nil {
		return err
	}
	r.slot = make(chan struct{}, r.slots)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	fmt.Println(listener.Addr())
	if twice {
		return r.serveRaw(listener)
	}
	server := &http.Server{Handler: r, ReadHeaderTimeout: time.Minute}
	return server.Serve(listener)
}

// ServeHTTP implements http.Handler.
func (r *runner) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	if req.URL.Path == "/health" {
		w.Header().Set("Banyanglade-Instance-Id", r.id)
		return
	}
	body, err := io.ReadAll(req.Body)
	if err != nil {
		return // the sender has left
	}
	id := req.Header.Get("Banyanglade-Request-Id")
	if expected := req.Header.Get("Banyanglade-Expect-Instance"); expected != "" && expected != r.id {
		w.Header().Set("Banyanglade-Instance-Id", r.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	w.Header().Set("Banyanglade-Request-Id", id)
	running := r.running.Add(1)
	defer r.running.Add(-1)
	w.Header().Set("Banyanglade-Server-Load", fmt.Sprintf("%d,%d,%d", min(running, r.slots), max(running-r.slots, 0), r.slots))
	if running > r.slots+r.queue {
		w.Header().Set("Banyanglade-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	r.recordRun(id, req, len(body))
	w.Header().Set("Banyanglade-Server-Signature", r.id+"."+id)
	if req.Header.Get("Banyanglade-Token-Usage") != "" {
		r.stream(w, req)
		return
	}
	time.Sleep(r.work)
	if r.spoils() && r.answers.Add(1)%r.spoil == 0 {
		r.sendNoAnswer(w)
		return
	}
	_, _ = fmt.Fprintf(w, "the answer of %s to %s", r.id, id)
}

// recordRun writes that the runner begins to run a request.
func (r *runner) recordRun(id string, req *http.Request, body int) {
	if _, err := fmt.Fprintf(r.runs, "%d %s %s %s %d\n", time.Now().UnixNano(), id, req.Method, req.URL.Path, body); err != nil {
		panic(err)
	}
}

func (r *runner) stream(w http.ResponseWriter, req *http.Request) {
	w.Header().Set("Content-Type", "text/event-stream")
	from, err := strconv.Atoi(req.Header.Get("Last-Event-Id"))
	if err != nil {
		from = 0
	}
	began := time.Now()
	for n := from + 1; n <= r.events; n++ {
		time.Sleep(r.gap)
		if r.breakAt > 0 && time.Since(began) >= r.breakAt && r.broken.CompareAndSwap(false, true) {
			_, _ = fmt.Fprintf(w, "id: %d\nda", n)
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		}
		_, err := fmt.Fprintf(w, "id: %d\ndata: piece %d\n\n", n, n)
		if err != nil || http.NewResponseController(w).Flush() != nil || req.Context().Err() != nil {
			return
		}
	}
}

// spoils reports whether the runner spoils some of its answers now.
func (r *runner) spoils() bool {
	now := time.Now().UnixMilli()
	return r.spoil > 0 && now >= r.spoilFrom && now < r.spoilUntil
}

const (
	// chunkBytes are sent each chunkTime of a spoilt answer: 25 MB a second, a fifth of
	// what the link of a machine carries.
	chunkBytes = 250 << 10
	chunkTime  = 10 * time.Millisecond
	// noAnswerTime is how long a spoilt answer lasts: at most 100 MB come.
	noAnswerTime = 4 * time.Second
)

// sendNoAnswer sends bytes that are not a response until the channel is closed.
func (r *runner) sendNoAnswer(w http.ResponseWriter) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return // the sender has left
	}
	defer func() { _ = conn.Close() }()
	chunk := make([]byte, chunkBytes)
	for began := time.Now(); time.Since(began) < noAnswerTime; time.Sleep(chunkTime) {
		if _, err := conn.Write(chunk); err != nil {
			return
		}
	}
}
