package rig

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// Request header fields of the pages.
const (
	HeaderID       = "Banyanglade-Request-Id"
	HeaderExpect   = "Banyanglade-Expect-Instance"
	HeaderSigned   = "Banyanglade-Server-Signature"
	HeaderDeadline = "Banyanglade-Deadline-Ms"
)

// Work is a request at a target.
type Work struct {
	Target *Target
	ID     string
	Body   []byte
	Header http.Header
	Path   string
}

// Target is a stand-in of a runner. Run works on a request and writes its answer.
type Target struct {
	ID      string
	Service string
	Zone    string
	Slots   int
	Version string

	rig      *Rig
	listener net.Listener
	server   *http.Server
	born     int64
	run      func(w http.ResponseWriter, r *http.Request, work Work)
	stop     chan struct{}
	once     sync.Once
	mu       sync.Mutex
	state    string
	sequence int
}

// heartbeat is the time between two heartbeats of a target.
const heartbeat = 1200 * time.Millisecond

// StartTarget starts a target and registers it.
func (r *Rig) StartTarget(id, service string, run func(http.ResponseWriter, *http.Request, Work)) (*Target, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	t := &Target{
		ID: id, Service: service, Zone: Zones[0], Slots: 16, Version: "1", rig: r, listener: listener, born: time.Now().UnixMilli(), run: run,
		stop: make(chan struct{}), state: "ready",
	}
	t.server = &http.Server{Handler: t, ReadHeaderTimeout: time.Minute}
	go func() { _ = t.server.Serve(listener) }()
	go t.beat()
	r.targets = append(r.targets, t)
	return t, nil
}

// Address returns the address of the target.
func (t *Target) Address() string { return t.listener.Addr().String() }

// register writes the target's entry.
func (t *Target) register() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sequence++
	value, err := json.Marshal(map[string]any{
		"Service": t.Service, "Address": t.Address(), "Zone": t.Zone, "Version": t.Version, "Slots": t.Slots, "State": t.state,
		"ColdRemainingMs": 0, "Sequence": t.sequence, "born": t.born,
	})
	if err == nil {
		t.rig.Store.Put("keyed.servers", t.ID, value)
	}
}

func (t *Target) beat() {
	for {
		t.register()
		select {
		case <-t.stop:
			return
		case <-time.After(heartbeat):
		}
	}
}

// SetState changes the state in the target's entry.
func (t *Target) SetState(state string) {
	t.mu.Lock()
	t.state = state
	t.mu.Unlock()
	t.register()
	t.rig.Logf("target %s: %s, acknowledged", t.ID, state)
}

// Stop ends the target.
func (t *Target) Stop() {
	t.once.Do(func() { close(t.stop) })
	_ = t.server.Close()
}

// Stopped reports whether the target has ended.
func (t *Target) Stopped() bool {
	select {
	case <-t.stop:
		return true
	default:
		return false
	}
}

// ServeHTTP implements http.Handler.
func (t *Target) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		t.rig.Logf("target %s: the body of %s breaks off: %v", t.ID, r.Header.Get(HeaderID), err)
		return
	}
	work := Work{Target: t, ID: r.Header.Get(HeaderID), Body: body, Header: r.Header, Path: r.URL.Path}
	w.Header().Set(HeaderID, work.ID)
	if expected := r.Header.Get(HeaderExpect); expected != "" && expected != t.ID {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	t.rig.Logf("target %s: begins to run %s, %s ms left", t.ID, work.ID, r.Header.Get(HeaderDeadline))
	t.run(w, r, work)
}

// Answer writes a complete answer with the target's signature.
func Answer(w http.ResponseWriter, work Work, text string) {
	w.Header().Set(HeaderSigned, "sig."+work.ID)
	w.Header().Set("Banyanglade-Server-Load", fmt.Sprintf("1,0,%d", work.Target.Slots))
	_, _ = io.WriteString(w, text)
	work.Target.rig.Logf("target %s: has run %s and answers", work.Target.ID, work.ID)
}
