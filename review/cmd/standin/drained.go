package main

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/banyanglade/banyanglade/review/harness"
)

const (
	engines = 4
	streams = 60
	// streamEvents and streamGap make a stream last 3.4 s, streamStart is the time between
	// two of them.
	streamEvents = "18"
	streamGap    = "190ms"
	streamStart  = 10 * time.Millisecond
	// drainAfter is the time from the start of the last stream to the drain, breakAfter
	// that from the start of a stream to its break.
	drainAfter = 100 * time.Millisecond
	breakAfter = "3s"
)

// drained sends streams to engines, one of which drains. A stream that it runs breaks off
// later than DrainMs after the store has acknowledged that.
func drained(d *harness.Deployment, trouble bool) (bool, error) {
	if err := d.PublishManifest(1); err != nil {
		return false, err
	}
	for n := range engines {
		arguments := []string{"-slots", "16", "-events", streamEvents, "-gap", streamGap}
		if n == 0 {
			// One of its streams is broken off.
			arguments = append(arguments, "-break-at", breakAfter)
		}
		if _, err := d.StartRunner(harness.EngineService, fmt.Sprintf("i-e%d", n), "duluth-hall", arguments...); err != nil {
			return false, err
		}
	}
	if err := d.StartInstances(3); err != nil {
		return false, err
	}
	time.Sleep(harness.StableMs * time.Millisecond)
	var work sync.WaitGroup
	for n := range streams {
		i := d.Instances[n%len(d.Instances)]
		id := fmt.Sprintf("9c41d07be2a%05x", n)
		work.Go(func() { d.Record.Logf("sent to %s: stream %s; answered: %s", i.Name, id, stream(i.Frontend, id, n)) })
		time.Sleep(streamStart)
	}
	time.Sleep(drainAfter)
	leaving := d.Runners()[0]
	acknowledged := time.Now()
	if trouble {
		acknowledged = d.Drain(leaving)
		d.Record.Logf("runner %s is draining", leaving.ID)
	}
	work.Wait()
	runs, err := d.Runs()
	if err != nil {
		return false, err
	}
	violated := false
	for _, r := range runs {
		late := r.At.Sub(acknowledged)
		if trouble && r.Runner == leaving.ID && late > harness.DrainMs*time.Millisecond {
			violated = true
			d.Record.Logf("DRAIN: request %s reached %s %d ms after the acknowledgement", r.ID, r.Runner, late.Milliseconds())
		}
	}
	return violated, nil
}

// stream sends a turn and returns what came.
func stream(address, id string, n int) string {
	client := http.Client{Timeout: 4 * time.Second}
	req, err := http.NewRequest(http.MethodPost, "http://"+address+"/lohu930/2f", strings.NewReader(fmt.Sprint("prompt ", n)))
	if err != nil {
		return err.Error()
	}
	req.Host = harness.Host
	for name, value := range map[string]string{
		"Request-Id": id, "Program-Id": fmt.Sprintf("%06x", 0x3fa81c+n), "Session-Id": fmt.Sprintf("%06x", n),
		"Program-Deadline-Ms": "9000", "Token-Budget": "2320", "Token-Usage": "1840,180", "Deadline-Ms": "4000",
	} {
		req.Header.Set("Banyanglade-"+name, value)
	}
	resp, err := client.Do(req)
	if err != nil {
		return err.Error()
	}
	defer func() { _ = resp.Body.Close() }()
	events, last := 0, ""
	reader := bufio.NewReader(resp.Body)
	for {
		line, err := reader.ReadString('\n')
		if strings.HasPrefix(line, "id: ") {
			events, last = events+1, strings.TrimSpace(line[len("id: "):])
		}
		if err != nil {
			whole := "whole"
			if err != io.EOF {
				whole = "cut off"
			}
			return fmt.Sprintf("%s, %d events, the last %s, %s", resp.Status, events, last, whole)
		}
	}
}
