package edge

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"
)

// startEndlessTarget starts an app whose responses have no end.
func (d *deployment) startEndlessTarget() {
	d.t.Helper()
	d.startApp(func(rw http.ResponseWriter, r *http.Request) {
		rw.Header().Set("Banyanglade-Request-Id", r.Header.Get("Banyanglade-Request-Id"))
		rw.Header().Set("Banyanglade-Server-Signature", "s")
		for block := make([]byte, 64<<10); ; {
			if _, err := rw.Write(block); err != nil {
				return
			}
		}
	})
}

// sendWithoutReading sends a request to an endless target and reads only the start of
// the response.
func (i *instance) sendWithoutReading(t *testing.T, id string) {
	t.Helper()
	for started := time.Now(); time.Since(started) < testTimeout; {
		c, err := net.Dial("tcp", i.machine.CallerAddress)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = c.Close() })
		if _, err := fmt.Fprintf(c, "POST /once/x HTTP/1.1\r\nHost: %s\r\nBanyanglade-Request-Id: %s\r\nContent-Length: 0\r\n\r\n", testHost, id); err != nil {
			t.Fatal(err)
		}
		statusLine, err := bufio.NewReaderSize(c, 16).Peek(len("HTTP/1.1 200"))
		if err != nil {
			t.Fatal(err)
		}
		if string(statusLine) == "HTTP/1.1 200" {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatal("the target does not respond")
}

// stopAndWait stops an instance and waits until it has ended.
func (i *instance) stopAndWait(t *testing.T) {
	t.Helper()
	i.stop()
	select {
	case <-i.done:
	case <-time.After(testTimeout):
		t.Fatal("the instance has not ended")
	}
}

// Responses to many cancelled requests must leave before the end of the grace period.
func TestManyRequestsCancelledByAShutdownAreAnswered(t *testing.T) {
	const requests = 400
	d := newDeployment(t)
	received := d.startStuckTarget()
	i := d.start("a")
	eventually(t, "the instance is ready", i.ready)
	replies := make(chan reply, requests)
	for n := range requests {
		go func() { replies <- i.send(t.Context(), fmt.Sprint("cancelled", n)) }()
	}
	for range requests {
		awaitRequest(t, received)
	}
	i.stopAndWait(t)
	for range requests {
		if got := <-replies; got.err != nil || got.status != http.StatusBadGateway {
			t.Errorf("got status %d with body %q and error %v, want status %d", got.status, got.body, got.err, http.StatusBadGateway)
		}
	}
}

// Callers that read nothing must not keep an instance from ending within its grace period.
func TestShutdownDoesNotWaitForCallersThatReadNothing(t *testing.T) {
	const requests = 50
	d := newDeployment(t)
	d.startEndlessTarget()
	i := d.start("a")
	eventually(t, "the instance is ready", i.ready)
	for n := range requests {
		i.sendWithoutReading(t, fmt.Sprint("unread", n))
	}
	i.stopAndWait(t)
}

// A short grace period leaves time for the responses to cancelled requests, behind the
// notice that the platform is given.
func TestMarginsLeaveTimeInShortGracePeriods(t *testing.T) {
	for _, grace := range []time.Duration{100 * time.Millisecond, 500 * time.Millisecond, time.Second, 3 * time.Second, 8 * time.Second} {
		stopped := time.Now()
		order := []time.Time{
			stopped.Add(min(drainNotice, grace/2)),
			drainDeadline(drainMargin, stopped, grace), drainDeadline(exitMargin, stopped, grace), drainDeadline(closeMargin, stopped, grace),
			stopped.Add(grace),
		}
		if end := drainDeadline(drainMargin, stopped, grace); end.Before(stopped.Add(grace * 5 / 6)) {
			t.Errorf("grace period of %s: requests are cut after %s, before its last sixth", grace, end.Sub(stopped))
		}
		for n := range order[1:] {
			if !order[n].Before(order[n+1]) {
				t.Errorf("grace period of %s: step %d is at %s, step %d at %s", grace, n, order[n].Sub(stopped), n+1, order[n+1].Sub(stopped))
			}
		}
	}
}
