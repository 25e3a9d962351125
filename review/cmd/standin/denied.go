package main

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/banyanglade/banyanglade/review/harness"
)

const (
	plainRunners = 22
	// crashes is the number of runners that crash at once, 0.14 of all. They are down for
	// downTime.
	crashes     = 3
	downTime    = 4500 * time.Millisecond
	lookupsPerS = 400
	// lookupWork is the time of a lookup.
	lookupWork = "90ms"
	calmTime   = 3 * time.Second
	lookupTime = 14 * time.Second
)

// denied sends lookups of one status page. Three of 22 runners crash at once and are
// replaced later.
func denied(d *harness.Deployment, trouble bool) (bool, error) {
	if err := startSmall(d, plainRunners, "-work", lookupWork); err != nil {
		return false, err
	}
	client := &http.Client{Timeout: 1500 * time.Millisecond, Transport: &http.Transport{MaxIdleConnsPerHost: 200, DisableCompression: true}}
	var (
		mu     sync.Mutex
		counts = make(map[string]int)
		work   sync.WaitGroup
		number atomic.Int64
	)
	lookup := func() {
		n := number.Add(1)
		i := d.Instances[n%int64(len(d.Instances))]
		id := fmt.Sprintf("9c41d07be2a%05x", n)
		answer := get(client, i.Frontend, id)
		d.Record.Logf("sent to %s: request %s; answered: %s", i.Name, id, answer)
		mu.Lock()
		defer mu.Unlock()
		counts[answer]++
	}
	began := time.Now()
	ticker := time.NewTicker(time.Second / lookupsPerS)
	defer ticker.Stop()
	crashed := !trouble
	for time.Since(began) < lookupTime {
		<-ticker.C
		work.Go(lookup)
		if crashed || time.Since(began) < calmTime {
			continue
		}
		crashed = true
		crashSome(d)
		work.Go(func() {
			time.Sleep(downTime)
			for n := range crashes {
				if _, err := d.StartRunner(harness.AppService, fmt.Sprintf("i-r%02d", n), "duluth-hall", "-work", lookupWork); err != nil {
					d.Record.Logf("no replacement: %v", err)
				}
			}
		})
	}
	work.Wait()
	total, refused := 0, 0
	for answer, count := range counts {
		total += count
		if answer == "400" || answer == "403" || answer == "404" {
			refused += count
		}
		d.Record.Logf("%d requests: %s", count, answer)
	}
	limit := 5 + total/500
	d.Record.Logf("%d of %d proper requests were ended with a 4xx; the rule allows %d", refused, total, limit)
	return refused > limit, nil
}

// get sends a lookup and returns its status.
func get(client *http.Client, address, id string) string {
	req, err := http.NewRequest(http.MethodGet, "http://"+address+"/pule252/2f", nil)
	if err != nil {
		return err.Error()
	}
	req.Host = harness.Host
	req.Header.Set("Banyanglade-Request-Id", id)
	req.Header.Set("Banyanglade-Deadline-Ms", "1500")
	resp, err := client.Do(req)
	if err != nil {
		return "no answer"
	}
	defer func() { _ = resp.Body.Close() }()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return "broken answer"
	}
	return fmt.Sprint(resp.StatusCode)
}

// crashSome kills some plain runners at the same moment.
func crashSome(d *harness.Deployment) {
	var killed sync.WaitGroup
	chosen := 0
	for _, r := range d.Runners() {
		if r.Service != harness.AppService || r.Command.ProcessState != nil || chosen == crashes {
			continue
		}
		chosen++
		killed.Go(func() {
			if err := d.Crash(r); err == nil {
				d.Record.Logf("runner %s was killed", r.ID)
			}
		})
	}
	killed.Wait()
}
