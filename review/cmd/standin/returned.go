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
	returnEngines   = 12
	returnInstances = 5
	programs        = 24
	// parallelTurns is the number of sub-agents of a program, each with one turn a round.
	parallelTurns = 4
	// A turn has turnEvents events of tokensPerEvent tokens each and lasts 3.6 s.
	turnEvents     = 29
	turnGap        = "125ms"
	tokensPerEvent = 10
	tokensPerTurn  = turnEvents * tokensPerEvent
	// tokenBudget is that of two rounds.
	tokenBudget = 2 * parallelTurns * tokensPerTurn
	// roundTime is the time from the start of the first round to that of the second.
	roundTime = 4200 * time.Millisecond
	// killAfter is the time from the start of the second round to the kill.
	killAfter = 400 * time.Millisecond
	// restartAfter is the time for which the killed process is down.
	restartAfter = 500 * time.Millisecond
	// awayTime is the time after which a stopped program returns, below harness.RetentionS.
	awayTime = 59400 * time.Millisecond
	// turnAttempts is how often a turn is sent that was refused with a promise.
	turnAttempts = 3
)

// agent is a program with its tokens.
type agent struct {
	id       string
	instance *harness.Instance

	mu     sync.Mutex
	tokens int
}

// returned runs programs that use up their token budget and are stopped. One process is
// killed while their last turns run through other instances, and started again. The
// programs return within RetentionS of the end of their last turns.
func returned(d *harness.Deployment, trouble bool) (bool, error) {
	if err := d.PublishManifest(1); err != nil {
		return false, err
	}
	for n := range returnEngines {
		if _, err := d.StartRunner(harness.EngineService, fmt.Sprintf("i-e%02d", n), "duluth-hall",
			"-slots", "16", "-events", fmt.Sprint(turnEvents), "-gap", turnGap); err != nil {
			return false, err
		}
	}
	started := time.Now()
	if err := d.StartInstances(returnInstances); err != nil {
		return false, err
	}
	time.Sleep(harness.StableMs * time.Millisecond)
	victim, claims, err := d.MostClaims()
	if err != nil {
		return false, err
	}
	d.Record.Logf("%s has claimed %d partitions at the store", victim.Name, claims)
	var callers []*harness.Instance
	for _, i := range d.Instances {
		if i != victim {
			callers = append(callers, i)
		}
	}
	var agents []*agent
	for n := range programs {
		agents = append(agents, &agent{id: fmt.Sprintf("%06x", 0x3fa81c+n), instance: callers[n%len(callers)]})
	}
	secondRound := alignedStart(started)
	time.Sleep(time.Until(secondRound.Add(-roundTime)))
	runRound(d, agents, 1)
	time.Sleep(time.Until(secondRound))
	var disruption sync.WaitGroup
	if trouble {
		disruption.Go(func() {
			time.Sleep(killAfter)
			victim.Kill()
			d.Record.Logf("%s was killed", victim.Name)
			time.Sleep(restartAfter)
			if err := d.Restart(victim); err != nil {
				d.Record.Logf("%s did not start again: %v", victim.Name, err)
			}
		})
	}
	runRound(d, agents, 2)
	disruption.Wait()
	stopped := time.Now()
	d.Record.Logf("all programs are stopped")
	time.Sleep(time.Until(stopped.Add(awayTime)))
	d.Record.Logf("the programs return after %s", time.Since(stopped).Round(time.Millisecond))
	runRound(d, agents, 3)
	runs, err := d.Runs()
	if err != nil {
		return false, err
	}
	for _, r := range runs {
		d.Record.Logf("run by %s at %s: turn %s", r.Runner, d.Record.At(r.At), r.ID)
	}
	violated, used := false, 0
	for _, a := range agents {
		used += a.tokens
		d.Record.Logf("program %s was handed %d tokens of %d", a.id, a.tokens, tokenBudget)
		if a.tokens > tokenBudget+tokensPerTurn {
			violated = true
			d.Record.Logf("BUDGET: program %s, at %s, was handed %d tokens; the rule allows %d", a.id, a.instance.Name, a.tokens, tokenBudget+tokensPerTurn)
		}
	}
	if used < programs*tokenBudget/2 {
		return false, fmt.Errorf("the programs were handed %d tokens only", used)
	}
	return violated, nil
}

// alignedStart returns a time for the second round. Instances look for programs that may
// not return any more every five seconds after their start; one such time has to lie
// between the end of RetentionS after the kill and the return of the programs, 2.5 s later.
func alignedStart(started time.Time) time.Time {
	const (
		interval = 5 * time.Second
		// lookAfter is the time from the start of the second round to such a time.
		lookAfter = 62 * time.Second
	)
	earliest := time.Now().Add(roundTime + 100*time.Millisecond)
	at := started.Add(-lookAfter)
	for at.Before(earliest) {
		at = at.Add(interval)
	}
	return at
}

// runRound runs one turn of each sub-agent of all programs.
func runRound(d *harness.Deployment, agents []*agent, round int) {
	var work sync.WaitGroup
	for _, a := range agents {
		for line := range parallelTurns {
			work.Go(func() { a.runTurn(d, round, line) })
		}
	}
	work.Wait()
}

// runTurn sends a turn, and again after a refusal that promises that it has not run.
func (a *agent) runTurn(d *harness.Deployment, round, line int) {
	for attempt := range turnAttempts {
		id := fmt.Sprintf("%s%02x%02x%02x%04x", a.id, round, line, attempt, 0x5f68)
		outcome, events := a.sendTurn(id, line)
		a.mu.Lock()
		a.tokens += events * tokensPerEvent
		a.mu.Unlock()
		d.Record.Logf("sent to %s: turn %s of program %s; answered: %s, %d events", a.instance.Name, id, a.id, outcome, events)
		if outcome != "503" {
			return
		}
		time.Sleep(200 * time.Millisecond)
	}
}

// sendTurn sends a turn once and returns its outcome and the number of its events.
func (a *agent) sendTurn(id string, line int) (string, int) {
	client := http.Client{Timeout: 4 * time.Second, Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	req, err := http.NewRequest(http.MethodPost, "http://"+a.instance.Frontend+"/lohu930/2f", strings.NewReader("the prompt of turn "+id))
	if err != nil {
		return err.Error(), 0
	}
	req.Host = harness.Host
	for name, value := range map[string]string{
		"Request-Id": id, "Program-Id": a.id, "Session-Id": fmt.Sprintf("%s%02x", a.id, line), "Program-Deadline-Ms": "90000",
		"Token-Budget": fmt.Sprint(tokenBudget), "Token-Usage": fmt.Sprintf("1840,%d", tokensPerTurn), "Deadline-Ms": "4000",
	} {
		req.Header.Set("Banyanglade-"+name, value)
	}
	resp, err := client.Do(req)
	if err != nil {
		return "no answer", 0
	}
	defer func() { _ = resp.Body.Close() }()
	events := 0
	for reader := bufio.NewReader(resp.Body); ; {
		text, err := reader.ReadString('\n')
		if strings.HasPrefix(text, "data: ") && strings.HasSuffix(text, "\n") {
			events++
		}
		switch {
		case err == io.EOF:
			return fmt.Sprint(resp.StatusCode), events
		case err != nil:
			return fmt.Sprintf("%d, cut off", resp.StatusCode), events
		}
	}
}
