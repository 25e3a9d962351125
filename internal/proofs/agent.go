package proofs

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/oklog/ulid/v2"

	"github.com/banyanglade/banyanglade/internal/testkit"
	"github.com/banyanglade/banyanglade/internal/wire"
)

const programsRoute = "/v1/programs"

// agent is a caller that runs one program: a chain of calls, each made after the
// response to the previous one.
type agent struct {
	rig        *Rig
	rng        *rand.Rand
	program    *Program
	lastNumber int
	// callCount numbers the idempotency keys.
	callCount int
	// fanCount numbers the lanes of sub-agents.
	fanCount int
	messages []wire.ChatMessage
}

// newAgent opens a program and returns an agent for it.
func (r *Rig) newAgent(ctx context.Context, rng *rand.Rand) (*agent, error) {
	a := &agent{rig: r, rng: rng, messages: []wire.ChatMessage{
		{Role: "system", Content: "You draft trademark applications for small makers."},
	}}
	id, err := r.openProgram(ctx, rng)
	if err != nil {
		return nil, err
	}
	a.program = &Program{ID: id, Tokens: r.budget.Tokens, Fees: r.budget.Fees}
	r.History.addProgram(a.program)
	return a, nil
}

// openProgram opens a program and returns its ID. It retries at other instances
// with the same idempotency key.
func (r *Rig) openProgram(ctx context.Context, rng *rand.Rand) (string, error) {
	key := ulid.Make().String()
	limited, cancel := context.WithTimeout(ctx, retryTimeout)
	defer cancel()
	var id string
	var at endpoint
	err := testkit.Poll(limited, func() error {
		short, stop := context.WithTimeout(limited, attemptDeadline+attemptGrace)
		defer stop()
		at = r.pickEndpoint(rng, at.id)
		response, err := testkit.NewClient(at.server, r.callerKey).
			Do(short, http.MethodPost, programsRoute, []byte("{}"), testkit.Call{Key: key})
		if err != nil {
			return err
		}
		var view struct {
			ID string `json:"id"`
		}
		if response.Status >= http.StatusBadRequest || json.Unmarshal(response.Body, &view) != nil || view.ID == "" {
			return errors.Newf("open: status %d: %s", response.Status, response.Body)
		}
		id = view.ID
		return nil
	})
	return id, err
}

// close closes the program, and records it as closed once an instance confirmed
// that.
func (a *agent) close(ctx context.Context) error {
	limited, cancel := context.WithTimeout(ctx, retryTimeout)
	defer cancel()
	var at endpoint
	err := testkit.Poll(limited, func() error {
		short, stop := context.WithTimeout(limited, attemptDeadline+attemptGrace)
		defer stop()
		at = a.rig.pickEndpoint(a.rng, at.id)
		response, err := testkit.NewClient(at.server, a.rig.callerKey).Close(short, a.program.ID)
		if err != nil {
			return err
		}
		if response.Status >= http.StatusBadRequest && response.Status != http.StatusGone {
			return errors.Newf("close: status %d: %s", response.Status, response.Body)
		}
		return nil
	})
	if err == nil {
		a.rig.History.setClosed(a.program)
	}
	return err
}

// newCall returns the next call of the program's own lane.
func (a *agent) newCall() *Call {
	a.lastNumber++
	a.callCount++
	return &Call{Program: a.program.ID, Number: a.lastNumber, Key: fmt.Sprintf("k%d", a.callCount)}
}

// do makes a call of the program's own lane. The number of a call that did not
// run is reused.
func (a *agent) do(ctx context.Context, q request) Attempt {
	attempt := a.rig.do(ctx, a.rng, q)
	if attempt.Outcome == NotRun {
		a.lastNumber--
	}
	return attempt
}

// chat makes a chat call whose answer has the given number of tokens.
func (a *agent) chat(ctx context.Context, tokens int, stream bool) Attempt {
	attempt := a.do(ctx, a.chatRequest(tokens, stream))
	if attempt.Outcome.answered() {
		a.messages = append(a.messages, wire.ChatMessage{Role: "assistant", Content: attempt.Text})
	} else {
		a.messages = a.messages[:len(a.messages)-1]
	}
	return attempt
}

func (a *agent) chatRequest(tokens int, stream bool) request {
	call := a.newCall()
	prompt := fmt.Sprintf("Step %d of the application. tokens=%d", a.callCount, tokens)
	a.messages = append(a.messages, wire.ChatMessage{Role: "user", Content: prompt})
	return chatRequest(call, append([]wire.ChatMessage(nil), a.messages...), tokens, stream)
}

func (a *agent) tool(ctx context.Context, runTime time.Duration) Attempt {
	return a.do(ctx, toolRequest(a.newCall(), runTime))
}

func (a *agent) submitFiling(ctx context.Context, fee int, runTime time.Duration) Attempt {
	return a.do(ctx, filingRequest(a.newCall(), fee, runTime))
}

// unnumberedCall returns a call without a number: only its key identifies a
// repeat.
func (a *agent) unnumberedCall() *Call {
	a.callCount++
	return &Call{Program: a.program.ID, Lane: "free", Key: fmt.Sprintf("k%d", a.callCount)}
}

// resubmitFiling submits a filing and, once it is answered, submits it again with
// the same key.
func (a *agent) resubmitFiling(ctx context.Context, fee int, runTime time.Duration) Attempt {
	q := filingRequest(a.unnumberedCall(), fee, runTime)
	first := a.rig.do(ctx, a.rng, q)
	if !first.Outcome.answered() {
		return first
	}
	return a.rig.retry(ctx, a.rng, q, retryTimeout)
}

// submitFilingConcurrently submits one filing twice at once with the same key,
// each time at an instance of its own choice.
func (a *agent) submitFilingConcurrently(ctx context.Context, fee int, runTime time.Duration) Attempt {
	q := filingRequest(a.unnumberedCall(), fee, runTime)
	a.rig.History.addCall(q.call)
	var attempts [2]Attempt
	var group sync.WaitGroup
	for i := range attempts {
		rng := rand.New(rand.NewPCG(a.rng.Uint64(), a.rng.Uint64()))
		group.Go(func() { attempts[i] = a.rig.retry(ctx, rng, q, retryTimeout) })
	}
	group.Wait()
	if attempts[0].Outcome.answered() {
		return attempts[0]
	}
	return attempts[1]
}

// fanOut makes several numbered tool calls of a separate lane concurrently and in
// random order. They must run in the order of their numbers.
func (a *agent) fanOut(ctx context.Context, lane string, count int, runTime time.Duration) []Attempt {
	attempts := make([]Attempt, count)
	var group sync.WaitGroup
	for _, i := range a.rng.Perm(count) {
		call := &Call{Program: a.program.ID, Lane: lane, Number: i + 1, Key: fmt.Sprintf("%s-%d", lane, i+1)}
		rng := rand.New(rand.NewPCG(a.rng.Uint64(), a.rng.Uint64()))
		group.Go(func() { attempts[i] = a.rig.do(ctx, rng, toolRequest(call, runTime)) })
	}
	group.Wait()
	return attempts
}
