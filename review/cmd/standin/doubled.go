package main

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/banyanglade/banyanglade/review/harness"
)

const (
	// faultyCount of doubledRunners, 0.57, send one in doubledOf of their answers twice,
	// 0.029, for doubledTime.
	doubledRunners = 7
	faultyCount    = 4
	doubledOf      = "34"
	doubledTime    = 5 * time.Second
	// doubledAfter is the time from the start of the traffic to that.
	doubledAfter = 3 * time.Second
	// doubledWork is the time of an unsafe request, as the sheet has it for docket-sync.
	doubledWork = "208ms"
	// doubledQueue is the number of requests that wait at a runner.
	doubledQueue = "24"
	// clumpSize requests come at once, every clumpTime.
	clumpSize = 60
	clumpTime = 250 * time.Millisecond
	loadTime  = 10 * time.Second
)

// doubled sends unsafe requests in clumps, so that runners are full at times. Some of the
// runners send some of their answers, refusals too, a second time, at the point where the
// next answer is expected.
func doubled(d *harness.Deployment, trouble bool) (bool, error) {
	if err := startSmall(d, 0); err != nil {
		return false, err
	}
	from := time.Now().Add(harness.StableMs*time.Millisecond + doubledAfter)
	for n := range doubledRunners {
		id, spoil := fmt.Sprintf("i-s%02d", n), "0"
		if n < faultyCount {
			id = fmt.Sprintf("i-f%02d", n)
			if trouble {
				spoil = doubledOf
			}
		}
		if _, err := d.StartRunner(harness.AppService, id, "erie-hall", "-twice", "-work", doubledWork, "-queue", doubledQueue, "-spoil", spoil,
			"-spoil-from", fmt.Sprint(from.UnixMilli()), "-spoil-until", fmt.Sprint(from.Add(doubledTime).UnixMilli())); err != nil {
			return false, err
		}
	}
	time.Sleep(harness.StableMs * time.Millisecond)
	answers := sendClumps(d)
	notes, err := d.Notes()
	if err != nil {
		return false, err
	}
	for _, n := range notes {
		d.Record.Logf("%s at %s: %s", n.Runner, d.Record.At(n.At), n.Text)
	}
	runs, err := d.Runs()
	if err != nil {
		return false, err
	}
	runsOf := make(map[string][]harness.Run)
	for _, r := range runs {
		d.Record.Logf("run by %s at %s: request %s, %s %s", r.Runner, d.Record.At(r.At), r.ID, r.Method, r.Path)
		runsOf[r.ID] = append(runsOf[r.ID], r)
	}
	violated, counts := false, make(map[string]int)
	for id, answer := range answers {
		counts[answer]++
		ran := runsOf[id]
		if len(ran) > 1 {
			violated = true
			d.Record.Logf("TWICE: unsafe request %s ran at %s and at %s; answered: %s", id, ran[0].Runner, ran[1].Runner, answer)
		}
		if len(ran) > 0 && (answer == "503" || answer == "429") {
			// Another rule than the one of this case.
			d.Record.Logf("REFUSED: unsafe request %s was answered %s and ran at %s", id, answer, ran[0].Runner)
		}
	}
	for answer, count := range counts {
		d.Record.Logf("%d requests: %s", count, answer)
	}
	return violated, nil
}

// sendClumps sends unsafe requests and returns the answers by request.
func sendClumps(d *harness.Deployment) map[string]string {
	client := &http.Client{Timeout: 7 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 300, DisableCompression: true}}
	var (
		mu      sync.Mutex
		answers = make(map[string]string)
		work    sync.WaitGroup
		number  atomic.Int64
	)
	ticker := time.NewTicker(clumpTime)
	defer ticker.Stop()
	for began := time.Now(); time.Since(began) < loadTime; <-ticker.C {
		for range clumpSize {
			n := number.Add(1)
			e := exchange{id: fmt.Sprintf("9c41d07be2a%05x", n), instance: d.Instances[n%int64(len(d.Instances))]}
			work.Go(func() {
				answer := e.send(client, http.MethodPost, fmt.Sprintf("/puxa403/%x", n), "6000")
				d.Record.Logf("sent to %s: unsafe request %s; answered: %s", e.instance.Name, e.id, answer)
				mu.Lock()
				defer mu.Unlock()
				answers[e.id] = answer
			})
		}
	}
	work.Wait()
	return answers
}
