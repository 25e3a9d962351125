package main

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/banyanglade/banyanglade/review/harness"
)

const (
	soundRunners  = 11
	faultyRunners = 11
	// spoiltOf is the number of answers of a faulty runner of which one is spoilt.
	spoiltOf = "50"
	// sendsPerS and sendTime define the traffic, one in syncOf of which is unsafe.
	sendsPerS = 300
	syncOf    = 2
	sendTime  = 20 * time.Second
	// The faulty runners spoil answers for spoilTime, from spoilAfter behind the start of
	// the traffic.
	spoilAfter = 4 * time.Second
	spoilTime  = 5500 * time.Millisecond
	// plainWork is the time of a plain request, as the sheet has it for specimen-chk.
	plainWork = "139ms"
	// channels is the number of channels to each instance that clients keep from the start.
	channels = 40
	// toleratedLosses is the number of requests that the rule allows a machine to lose.
	toleratedLosses = 3
)

// exchange is one request with its outcome.
type exchange struct {
	id       string
	instance *harness.Instance
	// kept reports whether its channel had carried a request before.
	kept    bool
	outcome string
	ended   time.Time
}

// spoilt sends plain requests while half of the runners send bytes that are not a
// response in place of one in 50 of their answers. The platform kills a process that
// exceeds its memory.
func spoilt(d *harness.Deployment, trouble bool) (bool, error) {
	if err := startSmall(d, soundRunners, "-work", plainWork); err != nil {
		return false, err
	}
	sound := make(map[string]bool)
	for _, r := range d.Runners() {
		sound[r.ID] = true
	}
	from := time.Now().Add(harness.StableMs*time.Millisecond + spoilAfter)
	for n := range faultyRunners {
		spoil := "0"
		if trouble {
			spoil = spoiltOf
		}
		if _, err := d.StartRunner(harness.AppService, fmt.Sprintf("i-f%02d", n), "erie-hall", "-work", plainWork, "-spoil", spoil,
			"-spoil-from", fmt.Sprint(from.UnixMilli()), "-spoil-until", fmt.Sprint(from.Add(spoilTime).UnixMilli())); err != nil {
			return false, err
		}
	}
	time.Sleep(harness.StableMs * time.Millisecond)
	kills := 0
	var mu sync.Mutex
	d.LimitMemory(func(i *harness.Instance, megabytes int) {
		mu.Lock()
		defer mu.Unlock()
		kills++
		d.Record.Logf("%s holds %d MB of %d: the platform kills it", i.Name, megabytes, harness.MemoryMb)
	})
	exchanges := sendPlain(d)
	runs, err := d.Runs()
	if err != nil {
		return false, err
	}
	runBy := make(map[string]string)
	for _, r := range runs {
		if sound[r.Runner] {
			runBy[r.ID] = r.Runner
		}
	}
	lost, counts := make(map[string]int), make(map[string]int)
	for _, e := range exchanges {
		counts[e.outcome]++
		runner, ran := runBy[e.id]
		if e.kept && ran && e.outcome == channelClosed {
			lost[e.instance.Name]++
			d.Record.Logf("%s closed a kept channel at %s without an answer to %s, which sound runner %s has run",
				e.instance.Name, d.Record.At(e.ended), e.id, runner)
		}
	}
	for outcome, count := range counts {
		d.Record.Logf("%d requests: %s", count, outcome)
	}
	mu.Lock()
	defer mu.Unlock()
	d.Record.Logf("%d processes were killed for their memory", kills)
	violated := false
	for name, count := range lost {
		d.Record.Logf("LOST: %s, %d times; the rule allows %d", name, count, toleratedLosses)
		violated = violated || count > toleratedLosses
	}
	return violated, nil
}

// sendPlain sends lookups and, in between, unsafe requests.
func sendPlain(d *harness.Deployment) []exchange {
	client := &http.Client{Timeout: 7 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 300, DisableCompression: true}}
	var (
		mu   sync.Mutex
		all  []exchange
		work sync.WaitGroup
	)
	for n := range channels * len(d.Instances) {
		e := exchange{id: fmt.Sprintf("5b2907c14da%05x", n), instance: d.Instances[n%len(d.Instances)]}
		work.Go(func() { e.send(client, http.MethodGet, fmt.Sprintf("/pule252/w%x", n), "1500") })
	}
	work.Wait()
	ticker := time.NewTicker(time.Second / sendsPerS)
	defer ticker.Stop()
	number := 0
	for began := time.Now(); time.Since(began) < sendTime; number++ {
		<-ticker.C
		e := exchange{id: fmt.Sprintf("9c41d07be2a%05x", number), instance: d.Instances[number%len(d.Instances)]}
		method, path, deadline := http.MethodGet, fmt.Sprintf("/pule252/%x", number), "1500"
		if number%syncOf == 0 {
			method, path, deadline = http.MethodPost, fmt.Sprintf("/puxa403/%x", number), "6000"
		}
		work.Go(func() {
			e.outcome = e.send(client, method, path, deadline)
			e.ended = time.Now()
			d.Record.Logf("sent to %s: request %s, %s %s; answered: %s", e.instance.Name, e.id, method, path, e.outcome)
			mu.Lock()
			defer mu.Unlock()
			all = append(all, e)
		})
	}
	work.Wait()
	return all
}

// Outcomes of a request without a whole answer.
const (
	channelClosed = "the channel was closed"
	tooLate       = "nothing within the time limit"
	notConnected  = "no channel"
)

// send sends the request once and returns its outcome.
func (e *exchange) send(client *http.Client, method, path, deadline string) string {
	// A body that can't be read twice keeps the client from sending the request again.
	req, err := http.NewRequest(method, "http://"+e.instance.Frontend+path, io.NopCloser(strings.NewReader("")))
	if err != nil {
		return err.Error()
	}
	req.ContentLength = 0
	connected := false
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) { connected, e.kept = true, info.Reused }}
	req = req.WithContext(httptrace.WithClientTrace(req.Context(), trace))
	req.Host = harness.Host
	req.Header.Set("Banyanglade-Request-Id", e.id)
	req.Header.Set("Banyanglade-Deadline-Ms", deadline)
	resp, err := client.Do(req)
	if err != nil {
		switch {
		case !connected:
			return notConnected
		case os.IsTimeout(err):
			return tooLate
		}
		return channelClosed
	}
	defer func() { _ = resp.Body.Close() }()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return channelClosed
	}
	return fmt.Sprint(resp.StatusCode)
}
