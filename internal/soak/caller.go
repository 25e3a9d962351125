package soak

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/banyanglade/banyanglade/internal/delay"
)

const (
	// callerPatience is how long a caller waits for an answer.
	callerPatience = 3500 * time.Millisecond
	// longestWait bounds what a caller waits before it comes back.
	longestWait = 700 * time.Millisecond
)

// caller makes requests over connections that it keeps: it stays with an
// instance until that is gone.
type caller struct {
	deployment   *deployment
	rng          *rand.Rand
	client       *http.Transport
	machine      *machine
	organisation organisation
}

func (d *deployment) newCaller(seed uint64) *caller {
	rng := rand.New(rand.NewPCG(seed, 3))
	return &caller{
		deployment: d, rng: rng, machine: d.machines[rng.IntN(len(d.machines))], organisation: organisations[0],
		client: &http.Transport{MaxIdleConnsPerHost: 8, DisableCompression: true},
	}
}

// elsewhere goes on to another instance.
func (c *caller) elsewhere() {
	c.machine = c.deployment.machines[c.rng.IntN(len(c.deployment.machines))]
}

// question is what a request asks.
type question struct {
	kind    kind
	path    string
	program string
	body    string
	header  map[string]string
	// forged tells that it carries a key that nobody holds.
	forged bool
	// readAfter is how long the answer is left unread once it begins.
	readAfter time.Duration
	// kept and previous are those of the attempt.
	kept     bool
	previous string
}

// send makes one attempt and notes what came of it.
func (c *caller) send(ctx context.Context, q question) *attempt {
	a := &attempt{
		id: strconv.FormatUint(c.rng.Uint64(), 16), program: q.program, kind: q.kind, body: q.body,
		kept: q.kept, previous: q.previous, organisation: c.organisation.name,
		life: c.machine.now(), start: time.Now(),
	}
	key := c.organisation.key
	if q.forged {
		a.organisation, key = "", forged
	}
	c.deployment.history.begin(a)
	defer c.deployment.history.end(a)
	limited, cancel := context.WithTimeout(ctx, callerPatience)
	defer cancel()
	if c.rng.IntN(25) == 0 {
		a.left = true
		time.AfterFunc(time.Duration(c.rng.IntN(40))*time.Millisecond, cancel)
	}
	wrote := false
	traced := httptrace.WithClientTrace(limited, &httptrace.ClientTrace{
		WroteRequest: func(info httptrace.WroteRequestInfo) { wrote = info.Err == nil },
	})
	r, err := http.NewRequestWithContext(traced, http.MethodPost, "http://"+c.machine.callers+q.path, strings.NewReader(q.body))
	if err != nil {
		panic(errors.AssertionFailedf("make a request: %v", err))
	}
	r.GetBody = nil // a request is sent again by the caller alone, under another id
	r.Host = host
	r.Header.Set("Banyanglade-Request-Id", a.id)
	r.Header.Set("Banyanglade-Credential", key)
	// Only the system may tell a target whose request it is.
	r.Header.Set("Banyanglade-Tenant", organisations[1].name)
	r.Header.Set("Banyanglade-Deadline-Ms", strconv.FormatInt(callerPatience.Milliseconds(), 10))
	for name, value := range q.header {
		r.Header.Set(name, value)
	}
	if q.previous != "" {
		r.Header.Set("Banyanglade-Previous-Turn", q.previous)
	}
	resp, err := c.client.RoundTrip(r)
	if err != nil {
		a.cut = wrote && limited.Err() == nil
		return a
	}
	defer func() { _ = resp.Body.Close() }()
	a.status, a.signed = resp.StatusCode, resp.Header.Get("Banyanglade-Server-Signature")
	delay.Sleep(limited, q.readAfter)
	if q.kind == turn && resp.StatusCode == statusOK {
		err = a.readEvents(resp.Body)
	} else {
		var body []byte
		body, err = io.ReadAll(resp.Body)
		a.received = string(body)
	}
	a.whole, a.cut = err == nil, err != nil && limited.Err() == nil
	if after, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); err == nil {
		delay.Sleep(ctx, min(time.Duration(after*float64(time.Second)), longestWait))
	}
	return a
}

// readEvents notes the whole events that arrive.
func (a *attempt) readEvents(body io.Reader) error {
	reader := bufio.NewReader(body)
	number, data := 0, ""
	for {
		line, err := reader.ReadString('\n')
		if err == io.EOF && line == "" && number == 0 {
			return nil
		}
		if err != nil {
			return errors.Wrap(err, "read events")
		}
		line = strings.TrimRight(line, "\n")
		switch {
		case strings.HasPrefix(line, "id: "):
			if number, err = strconv.Atoi(line[len("id: "):]); err != nil {
				return errors.Wrap(err, "number of an event")
			}
		case strings.HasPrefix(line, "data: "):
			data = line[len("data: "):]
		case line == "":
			a.events = append(a.events, number)
			a.received = data
			number = 0
		}
	}
}

// tries is how often a caller makes a turn or a call.
const tries = 3

// ask makes attempts until one is answered, and returns the last one. It tells
// whether the program may go on.
func (c *caller) ask(ctx context.Context, q question) (last *attempt, goOn bool) {
	for range tries {
		a := c.send(ctx, q)
		last = a
		switch {
		case a.served():
			return a, true
		case a.status == http.StatusPaymentRequired, a.status == statusNotFound, ctx.Err() != nil:
			return a, false
		case q.kind == once && (a.status == 0 || a.status >= http.StatusInternalServerError) && a.status != http.StatusServiceUnavailable:
			return a, false // it may have run
		}
		if a.status == 0 || a.cut {
			c.elsewhere()
		}
		delay.Sleep(ctx, time.Duration(50+c.rng.IntN(200))*time.Millisecond)
	}
	return last, true
}

// endless is how many more turns a program that does not stop makes after it
// was told that its budget is spent.
const endless = 3

// runProgram runs one program: lines of turns with calls between them.
func (d *deployment) runProgram(ctx context.Context, seed uint64) {
	rng := rand.New(rand.NewPCG(seed, 4))
	program := fmt.Sprintf("p%x", rng.Uint64())
	turns := 1 + rng.IntN(8)
	budget := turns * turnMost
	if rng.IntN(5) == 0 {
		turns = 1000 // it never stops by itself
	}
	d.history.open(program, budget)
	lines := 1 + rng.IntN(3)
	done := make(chan struct{}, lines)
	for line := range lines {
		c := d.newCaller(seed*10 + uint64(line))
		c.organisation = organisationOf(seed)
		go func() {
			c.runLine(ctx, program, budget, turns)
			c.client.CloseIdleConnections()
			done <- struct{}{}
		}()
	}
	for range lines {
		<-done
	}
}

func (c *caller) runLine(ctx context.Context, program string, budget, turns int) {
	stopped := 0
	talk := c.newTalk()
	for i := 0; i < turns && stopped < endless && ctx.Err() == nil; i++ {
		a, goOn := c.ask(ctx, talk.next(turnOf(program, budget, 1+c.rng.IntN(eventsPerTurn), c.rng.Uint64())))
		if !goOn {
			stopped++
		}
		talk.note(a)
		delay.Sleep(ctx, time.Duration(c.rng.IntN(60))*time.Millisecond)
		call := question{kind: safe, path: "/safe/x", program: program, body: fmt.Sprint(i)}
		if c.rng.IntN(2) == 0 {
			call.kind, call.path = once, "/once/x"
		}
		c.ask(ctx, call)
		if i%forgedEvery == forgedEvery-1 {
			c.send(ctx, question{kind: once, path: "/once/x", body: "forged", forged: true})
		}
	}
}

// forgedEvery is after how many turns a caller tries a forged key.
const forgedEvery = 6

// turnOf is a program's turn of some events.
func turnOf(program string, budget, events int, mark uint64) question {
	return question{
		kind: turn, path: "/turn/x", program: program, body: fmt.Sprintf("%d %s %x", events, program, mark),
		header: map[string]string{
			"Banyanglade-Program-Id": program, "Banyanglade-Token-Budget": strconv.Itoa(budget),
			"Banyanglade-Token-Usage": fmt.Sprintf("100,%d", turnMost),
		},
	}
}

// talk is the conversation of a line of turns, if the system keeps it.
type talk struct {
	caller   *caller
	kept     bool
	previous string
}

// newTalk begins a conversation, or goes on with another program's.
func (c *caller) newTalk() *talk {
	t := &talk{caller: c, kept: c.rng.IntN(2) == 0}
	if t.kept && c.rng.IntN(3) == 0 {
		t.previous = c.deployment.history.anyKept(c.rng, c.organisation.name)
	}
	return t
}

// next makes the line's next turn of a question. A few name a turn that does
// not exist.
func (t *talk) next(q question) question {
	if !t.kept {
		return q
	}
	if t.caller.rng.IntN(25) == 0 {
		return q.continuing(fmt.Sprintf("none%x", t.caller.rng.Uint64()))
	}
	return q.continuing(t.previous)
}

// continuing makes a kept turn of a question, behind another one if that is not
// empty.
func (q question) continuing(previous string) question {
	q.kept, q.path, q.previous = true, "/kept/x", previous
	return q
}

// note goes on behind a turn that was served.
func (t *talk) note(a *attempt) {
	if a != nil && a.served() {
		t.previous = a.id
	}
}

// probeInterval is the time between two looks at the settings of an instance.
const probeInterval = 120 * time.Millisecond

// watchSettings asks one machine over and over which version is in force.
func (d *deployment) watchSettings(ctx context.Context, m *machine, seed uint64) {
	c := d.newCaller(seed)
	c.machine = m
	defer c.client.CloseIdleConnections()
	for ctx.Err() == nil {
		newest := d.newestVersion()
		for version := newest; version >= max(1, newest-1); version-- {
			p := probe{life: m.now(), version: version, start: time.Now()}
			a := c.send(ctx, question{kind: safe, path: versionPath(version) + "x", body: "probe"})
			p.end = time.Now()
			p.inForce = a.whole && a.status == statusOK
			known := p.inForce || a.status == http.StatusNotFound
			if known && m.now() == p.life {
				d.history.probed(p)
			}
		}
		delay.Sleep(ctx, probeInterval)
	}
}
