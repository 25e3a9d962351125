package edge

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/banyanglade/banyanglade/platform"
)

// startApp registers a target of the service "app", and puts settings in force with a
// route of unsafe requests to it.
func (d *deployment) startApp(handler http.HandlerFunc) {
	d.t.Helper()
	target := httptest.NewServer(handler)
	d.t.Cleanup(target.Close)
	d.store.Put(platform.TopicTargets, "a1", fmt.Appendf(nil,
		`{"Service":"app","Address":"%s","Zone":"dc","Version":"v1","Slots":500,"State":"ready","ColdRemainingMs":0,"Sequence":1}`, target.Listener.Addr()))
	d.store.Put(platform.TopicOperator, platform.KeySettings, fmt.Appendf(nil,
		`{"Version":2,"Routes":[{"Name":"once","Hostname":"%s","PathPrefix":"/once/","Type":"unsafe","TimeoutMs":30000,
		"Service":"app","MaxAttempts":1}],"Services":[{"Name":"app"}]}`, testHost))
}

// startStuckTarget starts an app that never responds. Each request that it receives is sent
// to the channel.
func (d *deployment) startStuckTarget() <-chan string {
	d.t.Helper()
	received := make(chan string)
	d.startApp(func(_ http.ResponseWriter, r *http.Request) {
		// The server notices a closed connection once the body is read.
		_, _ = io.Copy(io.Discard, r.Body)
		select {
		case received <- r.Header.Get("Banyanglade-Request-Id"):
			<-r.Context().Done()
		case <-r.Context().Done():
		}
	})
	return received
}

// send sends an unsafe request.
func (i *instance) send(ctx context.Context, id string) reply {
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+i.machine.CallerAddress+"/once/x", strings.NewReader("body"))
	if err != nil {
		return reply{err: err}
	}
	r.Host = testHost
	r.Header.Set("Banyanglade-Request-Id", id)
	resp, err := http.DefaultTransport.RoundTrip(r)
	if err != nil {
		return reply{err: err}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return reply{resp.StatusCode, string(body), err}
}

// awaitRequest waits until a target has received a request.
func awaitRequest(t *testing.T, received <-chan string) {
	t.Helper()
	select {
	case <-received:
	case <-time.After(testTimeout):
		t.Fatal("no request reached the target")
	}
}

// reply is what a caller receives. err is set if there is no whole response.
type reply struct {
	status int
	body   string
	err    error
}

// stopDuringRequest stops an instance while a target has an unsafe request, which does
// not end within the grace period, and returns what its caller receives.
func stopDuringRequest(t *testing.T, id string) (*instance, reply) {
	t.Helper()
	d := newDeployment(t)
	received := d.startStuckTarget()
	i := d.start("a")
	eventually(t, "the instance is ready", i.ready)
	replies := make(chan reply, 1)
	go func() { replies <- i.send(t.Context(), id) }()
	awaitRequest(t, received)
	i.stop()
	<-i.done
	return i, <-replies
}

// The log of a stopped instance has to tell requests that it cancelled from those whose
// callers left.
func TestRequestsCancelledByAShutdownAreLogged(t *testing.T) {
	i, _ := stopDuringRequest(t, "cancelled")
	if want := `"request":"cancelled","program":"","reason":"instance_stopped"`; !strings.Contains(i.log.String(), want) {
		t.Errorf("log without %s:\n%s", want, i.log)
	}
}

// A caller whose unsafe request was cancelled must not take it for completed.
func TestRequestsCancelledByAShutdownAreNotAnsweredWithAnEmptySuccess(t *testing.T) {
	if _, got := stopDuringRequest(t, "cancelled"); got.err != nil || got.status != http.StatusBadGateway {
		t.Errorf("got status %d with body %q and error %v, want status %d", got.status, got.body, got.err, http.StatusBadGateway)
	}
}
