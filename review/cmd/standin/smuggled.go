package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/banyanglade/banyanglade/review/harness"
)

// variant is the way in which the header of a hiding request is sent.
type variant struct {
	name string
	// long adds the header of a long prompt, packets is the number of packets.
	long    bool
	packets int
}

// variants are the ways in which the header is sent, each to all instances.
var variants = []variant{
	{name: "short header, one packet", packets: 1},
	{name: "header of 5 KB, one write", long: true, packets: 1},
	{name: "short header, two packets", packets: 2},
}

// packetPause is the time between two packets.
const packetPause = 60 * time.Millisecond

// smuggled sends requests whose body, by the length that they state, holds the bytes of
// another request. They also state a transfer coding. No requester sends the request
// inside, so no runner may run it.
func smuggled(d *harness.Deployment, trouble bool) (bool, error) {
	if err := startSmall(d, 2); err != nil {
		return false, err
	}
	sent := make(map[string]bool)
	attempts := len(variants) * len(d.Instances)
	for n := range attempts {
		i, v := d.Instances[n%len(d.Instances)], variants[n/len(d.Instances)]
		outer, inner := fmt.Sprintf("9c41d07be2a3%04x", n), fmt.Sprintf("e5b2907c14da%04x", n)
		sent[outer] = true
		d.Record.Logf("sent to %s (%s): request %s, whose body holds the bytes of a request %s", i.Name, v.name, outer, inner)
		answers, err := sendHiding(i.Frontend, outer, inner, v, trouble)
		if err != nil {
			return false, err
		}
		for _, a := range answers {
			d.Record.Logf("answered: %s", a)
		}
	}
	time.Sleep(500 * time.Millisecond)
	runs, err := d.Runs()
	if err != nil {
		return false, err
	}
	violated, proper := false, 0
	for _, r := range runs {
		d.Record.Logf("run by %s at %s: request %s, %s %s, body of %d bytes", r.Runner, d.Record.At(r.At), r.ID, r.Method, r.Path, r.Body)
		if sent[r.ID] {
			proper++
			continue
		}
		violated = true
		d.Record.Logf("UNASKED: no requester sent %s: it was smuggled inside another request", r.ID)
	}
	if !trouble && proper != attempts {
		return false, fmt.Errorf("%d of %d proper requests ran", proper, attempts)
	}
	return violated, nil
}

// prefixes returns the header of a long prompt, of about 5 KB.
func prefixes() string {
	parts := make([]string, 0, 400)
	for n := range cap(parts) {
		parts = append(parts, fmt.Sprintf("%08x:%d", 0x5c1e07a2+n, 16))
	}
	return strings.Join(parts, ",")
}

// sendHiding sends a request with another one in its body on a channel of its own, and
// returns the answers on that channel.
func sendHiding(address, outer, inner string, v variant, trouble bool) ([]string, error) {
	hidden := "0\r\n\r\n" +
		"POST /puxa403/4b HTTP/1.1\r\nHost: " + harness.Host + "\r\nBanyanglade-Request-Id: " + inner +
		"\r\nBanyanglade-Deadline-Ms: 6000\r\nContent-Length: 0\r\n\r\n"
	head := "POST /puxa403/2f HTTP/1.1\r\nHost: " + harness.Host + "\r\nBanyanglade-Request-Id: " + outer +
		"\r\nBanyanglade-Deadline-Ms: 6000\r\nContent-Length: " + strconv.Itoa(len(hidden)) + "\r\n"
	if v.long {
		head += "Banyanglade-Prompt-Prefix: " + prefixes() + "\r\n"
	}
	split := len(head)
	if trouble {
		head += "Transfer-Encoding: chunked\r\n"
	}
	c, err := net.Dial("tcp", address)
	if err != nil {
		return nil, err
	}
	defer func() { _ = c.Close() }()
	text := head + "\r\n" + hidden
	if v.packets > 1 {
		if _, err := io.WriteString(c, text[:split]); err != nil {
			return nil, err
		}
		time.Sleep(packetPause)
		text = text[split:]
	}
	if _, err := io.WriteString(c, text); err != nil {
		return nil, err
	}
	if err := c.SetReadDeadline(time.Now().Add(700 * time.Millisecond)); err != nil {
		return nil, err
	}
	var answers []string
	for reader := bufio.NewReader(c); ; {
		resp, err := http.ReadResponse(reader, nil)
		if err != nil {
			return answers, nil // the channel has ended, or nothing more came
		}
		body, err := io.ReadAll(resp.Body)
		if err != nil {
			return answers, nil
		}
		answers = append(answers, fmt.Sprintf("%s, request %s, %q", resp.Status, resp.Header.Get("Banyanglade-Request-Id"), body))
	}
}

// startSmall starts three instances, one engine and a number of plain runners.
func startSmall(d *harness.Deployment, plain int, arguments ...string) error {
	if err := d.PublishManifest(1); err != nil {
		return err
	}
	if _, err := d.StartRunner(harness.EngineService, "i-e0", "duluth-hall"); err != nil {
		return err
	}
	for n := range plain {
		if _, err := d.StartRunner(harness.AppService, fmt.Sprintf("i-p%02d", n), "duluth-hall", arguments...); err != nil {
			return err
		}
	}
	if err := d.StartInstances(3); err != nil {
		return err
	}
	time.Sleep(harness.StableMs * time.Millisecond)
	return nil
}
