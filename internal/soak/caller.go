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
	// callerTimeout is how long a caller waits for a response.
	callerTimeout = 3500 * time.Millisecond
	// maxRetryWait caps the Retry-After delay that a caller honours.
	maxRetryWait = 700 * time.Millisecond
)

// caller sends requests over persistent connections to one instance, and switches to
// another when that fails.
type caller struct {
	deployment   *deployment
	rng          *rand.Rand
	transport    *http.Transport
	instance     *instance
	organisation organisation
	// neverLeaves makes the caller wait for each response.
	neverLeaves bool
}

func (d *deployment) newCaller(seed uint64) *caller {
	rng := rand.New(rand.NewPCG(seed, 3))
	return &caller{
		deployment: d, rng: rng, instance: d.instances[rng.IntN(len(d.instances))], organisation: organisations[0],
		transport: &http.Transport{MaxIdleConnsPerHost: 8, DisableCompression: true},
	}
}

// switchInstance picks a random instance for the next requests.
func (c *caller) switchInstance() {
	c.instance = c.deployment.instances[c.rng.IntN(len(c.deployment.instances))]
}

// request describes a request before it is sent.
type request struct {
	kind    kind
	path    string
	program string
	body    string
	header  map[string]string
	// forged requests carry a key that no organisation holds.
	forged bool
	// readDelay is the time from the response headers to the first read of the body.
	readDelay time.Duration
	// stored, previous, resumes and after are as in attempt.
	stored   bool
	previous string
	resumes  *attempt
	after    int
	// leaveAfter is the number of events after which the caller breaks the connection,
	// 0 for never.
	leaveAfter int
}

// send makes one attempt and records its outcome.
func (c *caller) send(ctx context.Context, req request) *attempt {
	a := &attempt{
		id: strconv.FormatUint(c.rng.Uint64(), 16), program: req.program, kind: req.kind, body: req.body,
		stored: req.stored, previous: req.previous, resumes: req.resumes, after: req.after, organisation: c.organisation.name,
		incarnation: c.instance.current(), start: time.Now(),
	}
	key := c.organisation.key
	if req.forged {
		a.organisation, key = "", forgedKey
	}
	c.deployment.history.recordStart(a)
	defer c.deployment.history.recordEnd(a)
	sendCtx, cancel := context.WithTimeout(ctx, callerTimeout)
	defer cancel()
	if !c.neverLeaves && c.rng.IntN(25) == 0 {
		a.cancelled = true
		time.AfterFunc(time.Duration(c.rng.IntN(40))*time.Millisecond, cancel)
	}
	wrote := false
	traced := httptrace.WithClientTrace(sendCtx, &httptrace.ClientTrace{
		WroteRequest: func(info httptrace.WroteRequestInfo) { wrote = info.Err == nil },
	})
	r, err := http.NewRequestWithContext(traced, http.MethodPost, "http://"+c.instance.callerAddress+req.path, strings.NewReader(req.body))
	if err != nil {
		panic(errors.AssertionFailedf("make a request: %v", err))
	}
	r.GetBody = nil // prevents transport retries, which would reuse the request id
	r.Host = host
	r.Header.Set("Banyanglade-Request-Id", a.id)
	r.Header.Set("Banyanglade-Credential", key)
	// A spoofed organisation must not reach the target.
	r.Header.Set("Banyanglade-Tenant", organisations[1].name)
	r.Header.Set("Banyanglade-Deadline-Ms", strconv.FormatInt(callerTimeout.Milliseconds(), 10))
	for name, value := range req.header {
		r.Header.Set(name, value)
	}
	if req.previous != "" {
		r.Header.Set("Banyanglade-Previous-Turn", req.previous)
	}
	if req.resumes != nil {
		r.Header.Set("Last-Event-Id", strconv.Itoa(req.after))
		r.Header.Set("Resumes", req.resumes.id)
	}
	resp, err := c.transport.RoundTrip(r)
	if err != nil {
		a.aborted = wrote && sendCtx.Err() == nil
		return a
	}
	defer func() { _ = resp.Body.Close() }()
	a.status, a.signature = resp.StatusCode, resp.Header.Get("Banyanglade-Server-Signature")
	delay.Sleep(sendCtx, req.readDelay)
	if req.kind == turn && resp.StatusCode == statusOK {
		err = a.readEvents(resp.Body, req.leaveAfter)
	} else {
		var body []byte
		body, err = io.ReadAll(resp.Body)
		a.received = string(body)
	}
	a.cancelled = a.cancelled || errors.Is(err, errLeft)
	a.complete, a.aborted = err == nil, err != nil && !errors.Is(err, errLeft) && sendCtx.Err() == nil
	if after, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); err == nil {
		delay.Sleep(ctx, min(time.Duration(after*float64(time.Second)), maxRetryWait))
	}
	return a
}

// errLeft indicates that the caller breaks the connection by intent.
var errLeft = errors.New("the caller left")

// readEvents records the events that arrive complete. It returns errLeft after the given
// number of events, unless that is 0.
func (a *attempt) readEvents(body io.Reader, leaveAfter int) error {
	reader := bufio.NewReader(body)
	number, data, version := 0, "", ""
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
				return errors.Wrap(err, "parse the event id")
			}
		case strings.HasPrefix(line, "data: "):
			data = line[len("data: "):]
		case strings.HasPrefix(line, versionComment):
			version = line[len(versionComment):]
		case line == "":
			a.events = append(a.events, number)
			a.versions = append(a.versions, version)
			a.received = data
			number = 0
			if len(a.events) == leaveAfter {
				return errLeft
			}
		}
	}
}

// maxAttempts is the maximum number of attempts of a turn or call.
const maxAttempts = 3

// sendWithRetry makes attempts until one succeeds and returns the last one. proceed is
// false if the turn or call must not be retried.
func (c *caller) sendWithRetry(ctx context.Context, req request) (last *attempt, proceed bool) {
	for range maxAttempts {
		if c.deployment.options.Versions {
			req.leaveAfter = c.leaveAfter(req)
		}
		a := c.send(ctx, req)
		last = a
		switch {
		case a.served():
			return a, true
		case a.status == http.StatusPaymentRequired, a.status == http.StatusBadRequest, a.status == statusNotFound, ctx.Err() != nil:
			return a, false
		case req.kind == once && (a.status == 0 || a.status >= http.StatusInternalServerError) && a.status != http.StatusServiceUnavailable:
			return a, false // may have run
		}
		if a.status == 0 || a.aborted || req.leaveAfter > 0 {
			c.switchInstance()
		}
		if c.deployment.options.Versions {
			req = req.afterFailureOf(a)
		}
		delay.Sleep(ctx, time.Duration(50+c.rng.IntN(200))*time.Millisecond)
	}
	return last, true
}

// maxRefusedTurns is the number of refused turns after which a lane ends.
const maxRefusedTurns = 3

// runProgram runs one program: concurrent lanes of turns with calls in between.
func (d *deployment) runProgram(ctx context.Context, seed uint64) {
	rng := rand.New(rand.NewPCG(seed, 4))
	program := fmt.Sprintf("p%x", rng.Uint64())
	turns := 1 + rng.IntN(8)
	budget := turns * maxTurnTokens
	if rng.IntN(5) == 0 {
		turns = 1000 // runs into its budget
	}
	d.history.recordProgram(program, budget)
	lanes := 1 + rng.IntN(3)
	done := make(chan struct{}, lanes)
	for lane := range lanes {
		c := d.newCaller(seed*10 + uint64(lane))
		c.organisation = organisationOf(seed)
		go func() {
			c.runLane(ctx, program, budget, turns)
			c.transport.CloseIdleConnections()
			done <- struct{}{}
		}()
	}
	for range lanes {
		<-done
	}
}

func (c *caller) runLane(ctx context.Context, program string, budget, turns int) {
	refused := 0
	conv := c.newConversation()
	for i := 0; i < turns && refused < maxRefusedTurns && ctx.Err() == nil; i++ {
		a, proceed := c.sendWithRetry(ctx, conv.nextTurn(newTurn(program, budget, 1+c.rng.IntN(eventsPerTurn), c.rng.Uint64())))
		if !proceed {
			refused++
		}
		conv.advance(a)
		delay.Sleep(ctx, time.Duration(c.rng.IntN(60))*time.Millisecond)
		call := request{kind: safe, path: "/safe/x", program: program, body: fmt.Sprint(i)}
		if c.rng.IntN(2) == 0 {
			call.kind, call.path = once, "/once/x"
		}
		c.sendWithRetry(ctx, call)
		if i%turnsPerForgedKey == turnsPerForgedKey-1 {
			c.send(ctx, request{kind: once, path: "/once/x", body: "forged", forged: true})
		}
	}
}

// turnsPerForgedKey is the number of turns between two requests with a forged key.
const turnsPerForgedKey = 6

// newTurn returns a turn that generates the given number of events.
func newTurn(program string, budget, events int, nonce uint64) request {
	return request{
		kind: turn, path: "/turn/x", program: program, body: fmt.Sprintf("%d %s %x", events, program, nonce),
		header: map[string]string{
			"Banyanglade-Program-Id": program, "Banyanglade-Token-Budget": strconv.Itoa(budget),
			"Banyanglade-Token-Usage": fmt.Sprintf("100,%d", maxTurnTokens),
		},
	}
}

// conversation is the sequence of stored turns of a lane, unless the lane sends turns
// that are not stored.
type conversation struct {
	caller   *caller
	stored   bool
	previous string
}

// newConversation starts a conversation, or continues one of another program.
func (c *caller) newConversation() *conversation {
	conv := &conversation{caller: c, stored: c.rng.IntN(2) == 0}
	if conv.stored && c.rng.IntN(3) == 0 {
		conv.previous = c.deployment.history.randomStoredTurn(c.rng, c.organisation.name)
	}
	return conv
}

// nextTurn makes the request the next turn of the conversation. A few turns continue
// one that does not exist.
func (conv *conversation) nextTurn(req request) request {
	if !conv.stored {
		return req
	}
	if conv.caller.rng.IntN(25) == 0 {
		return req.asStoredTurn(fmt.Sprintf("none%x", conv.caller.rng.Uint64()))
	}
	return req.asStoredTurn(conv.previous)
}

// asStoredTurn returns the request as a stored turn that continues the previous one,
// or as the first turn if previous is empty.
func (req request) asStoredTurn(previous string) request {
	req.stored, req.path, req.previous = true, "/kept/x", previous
	return req
}

// advance makes the next turn continue a, if a was served.
func (conv *conversation) advance(a *attempt) {
	if a != nil && a.served() {
		conv.previous = a.id
	}
}

// probeInterval is the time between two probes of the settings of an instance.
const probeInterval = 120 * time.Millisecond

// probeSettings polls which version of the settings is in force at an instance.
func (d *deployment) probeSettings(ctx context.Context, inst *instance, seed uint64) {
	c := d.newCaller(seed)
	c.instance = inst
	defer c.transport.CloseIdleConnections()
	for ctx.Err() == nil {
		newest := d.newestVersion()
		for version := newest; version >= max(1, newest-1); version-- {
			p := probe{incarnation: inst.current(), version: version, start: time.Now()}
			a := c.send(ctx, request{kind: safe, path: versionPath(version) + "x", body: "probe"})
			p.end = time.Now()
			p.inForce = a.complete && a.status == statusOK
			known := p.inForce || a.status == http.StatusNotFound
			if known && inst.current() == p.incarnation {
				d.history.recordProbe(p)
			}
		}
		delay.Sleep(ctx, probeInterval)
	}
}
