package edge

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/banyanglade/banyanglade/platform"
)

// Bodies that tell a versionedEngine how to run a stream that begins.
const (
	// holdBody makes it stop after heldEvents events until the caller leaves.
	holdBody = "hold"
	// crashBody makes it stop listening and break the stream after heldEvents events.
	crashBody  = "crash"
	heldEvents = 2
)

// versionedEngine is an engine whose events carry its software version.
type versionedEngine struct {
	id, version string
	server      *httptest.Server
}

// startEngine starts an engine and registers it.
func (d *deployment) startEngine(id, version string) *versionedEngine {
	d.t.Helper()
	e := &versionedEngine{id: id, version: version}
	e.server = httptest.NewServer(e)
	d.t.Cleanup(e.server.Close)
	d.registerEngine(e, "ready")
	return e
}

func (d *deployment) registerEngine(e *versionedEngine, state string) {
	d.store.Put(platform.TopicTargets, e.id, fmt.Appendf(nil,
		`{"Service":"engine","Address":"%s","Zone":"dc","Version":"%s","Slots":16,"State":"%s","ColdRemainingMs":0,"Sequence":1}`,
		e.server.Listener.Addr(), e.version, state))
}

func (d *deployment) deregisterEngine(e *versionedEngine) {
	d.store.Put(platform.TopicTargets, e.id, nil)
}

func (e *versionedEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return // the sender has disconnected
	}
	resumed := r.Header.Get("Last-Event-Id") != ""
	after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id")) // 0 for a new stream
	w.Header().Set("Banyanglade-Request-Id", r.Header.Get("Banyanglade-Request-Id"))
	w.Header().Set("Banyanglade-Server-Signature", e.id)
	w.Header().Set("Content-Type", "text/event-stream")
	for i := after + 1; i <= eventsPerTurn; i++ {
		_, _ = fmt.Fprintf(w, "id: %d\ndata: %s\n\n", i, e.version) // the sender may have disconnected
		_ = http.NewResponseController(w).Flush()
		if resumed || i != heldEvents {
			continue
		}
		switch string(body) {
		case holdBody:
			<-r.Context().Done()
			return
		case crashBody:
			_ = e.server.Listener.Close()
			panic(http.ErrAbortHandler)
		}
	}
}

// streamRequest returns a request for a stream outside programs. last and resumes are
// empty for a new stream.
func (i *instance) streamRequest(ctx context.Context, t *testing.T, id, body, last, resumes string) *http.Request {
	t.Helper()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+i.machine.CallerAddress+"/turns/x", strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	r.Host = testHost
	r.Header.Set("Banyanglade-Request-Id", id)
	if last != "" {
		r.Header.Set("Last-Event-Id", last)
		r.Header.Set("Resumes", resumes)
	}
	return r
}

// readVersions returns the versions of up to limit events.
func readVersions(t *testing.T, body io.Reader, limit int) []string {
	t.Helper()
	var versions []string
	lines := bufio.NewScanner(body)
	for len(versions) < limit && lines.Scan() {
		if version, ok := strings.CutPrefix(lines.Text(), "data: "); ok {
			versions = append(versions, version)
		}
	}
	return versions
}

// begunStream is a stream whose caller left after heldEvents events.
type begunStream struct{ id, version string }

// beginStreams begins streams at an instance and leaves them.
func (i *instance) beginStreams(t *testing.T, count int) []begunStream {
	t.Helper()
	var streams []begunStream
	for n := range count {
		ctx, cancel := context.WithCancel(t.Context())
		id := fmt.Sprintf("%s-%d", i.machine.Name, n)
		resp, err := http.DefaultTransport.RoundTrip(i.streamRequest(ctx, t, id, holdBody, "", ""))
		if err != nil {
			t.Fatal(err)
		}
		versions := readVersions(t, resp.Body, heldEvents)
		cancel()
		resp.Body.Close()
		if resp.StatusCode != http.StatusOK || len(versions) != heldEvents {
			t.Fatalf("stream %s: status %d, events of %v", id, resp.StatusCode, versions)
		}
		streams = append(streams, begunStream{id, versions[0]})
	}
	return streams
}

// resume resumes a stream at an instance and returns the status and the versions of the
// events.
func (i *instance) resume(t *testing.T, s begunStream, try string) (int, []string) {
	t.Helper()
	r := i.streamRequest(t.Context(), t, s.id+"-"+try, holdBody, strconv.Itoa(heldEvents), s.id)
	resp, err := http.DefaultTransport.RoundTrip(r)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		reason, err := io.ReadAll(resp.Body)
		t.Logf("stream %s is not resumed by %s: %s%v", s.id, i.machine.Name, reason, err)
		return resp.StatusCode, nil
	}
	return resp.StatusCode, readVersions(t, resp.Body, eventsPerTurn)
}

// checkResumed resumes streams at an instance. Each must continue at its version.
func (i *instance) checkResumed(t *testing.T, streams []begunStream, try string) {
	t.Helper()
	for _, s := range streams {
		status, versions := i.resume(t, s, try)
		if status != http.StatusOK || len(versions) != eventsPerTurn-heldEvents {
			t.Errorf("stream %s of version %s: status %d, events of %v", s.id, s.version, status, versions)
		}
		if slices.ContainsFunc(versions, func(v string) bool { return v != s.version }) {
			t.Errorf("stream %s of version %s continued with events of %v", s.id, s.version, versions)
		}
	}
}

// What two software versions of a target write does not fit together.
func TestStreamsContinueAtTheVersionThatBeganThem(t *testing.T) {
	versions := []string{"v1", "v1.1", "v2"}
	start := func(t *testing.T) (*deployment, map[string][]*versionedEngine, []*instance) {
		d := newDeployment(t)
		d.store.Put(platform.TopicTargets, "e1", nil)
		engines := make(map[string][]*versionedEngine)
		for _, version := range versions {
			for n := range 3 {
				engines[version] = append(engines[version], d.startEngine(fmt.Sprintf("%s-%d", version, n), version))
			}
		}
		instances := []*instance{d.start("a"), d.start("b"), d.start("c"), d.start("d")}
		for _, i := range instances {
			eventually(t, "ready", i.ready)
		}
		return d, engines, instances
	}
	t.Run("another instance", func(t *testing.T) {
		_, _, instances := start(t)
		streams := instances[0].beginStreams(t, 12)
		instances[1].checkResumed(t, streams, "second")
		instances[2].checkResumed(t, streams, "third")
	})
	t.Run("after the end of the first instance", func(t *testing.T) {
		_, _, instances := start(t)
		streams := instances[0].beginStreams(t, 12)
		instances[0].stop()
		if err := <-instances[0].done; err != nil {
			t.Fatal(err)
		}
		instances[1].checkResumed(t, streams, "second")
	})
	t.Run("within one response", func(t *testing.T) {
		_, _, instances := start(t)
		for n := range 6 {
			resp, err := http.DefaultTransport.RoundTrip(instances[0].streamRequest(t.Context(), t, fmt.Sprint("s", n), crashBody, "", ""))
			if err != nil {
				t.Fatal(err)
			}
			got := readVersions(t, resp.Body, eventsPerTurn)
			resp.Body.Close()
			if len(slices.Compact(slices.Clone(got))) != 1 {
				t.Errorf("one response has events of %v", got)
			}
		}
	})
	t.Run("a version that ends and comes back", func(t *testing.T) {
		d, engines, instances := start(t)
		streams := instances[0].beginStreams(t, 6)
		gone := streams[0].version
		for _, e := range engines[gone] {
			d.deregisterEngine(e)
		}
		eventually(t, "refusal of streams of the version that ended", func() bool {
			status, _ := instances[1].resume(t, streams[0], fmt.Sprint("gone", time.Now().UnixNano()))
			return status == http.StatusServiceUnavailable
		})
		d.startEngine("back", gone)
		eventually(t, "streams of the version that came back", func() bool {
			status, _ := instances[1].resume(t, streams[0], fmt.Sprint("back", time.Now().UnixNano()))
			return status == http.StatusOK
		})
		instances[1].checkResumed(t, streams, "last")
	})
}
