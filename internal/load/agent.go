package load

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/oklog/ulid/v2"

	"github.com/banyanglade/banyanglade/internal/delay"
	"github.com/banyanglade/banyanglade/internal/standin/engine"
	"github.com/banyanglade/banyanglade/internal/standin/service"
	"github.com/banyanglade/banyanglade/internal/testkit"
	"github.com/banyanglade/banyanglade/internal/wire"
)

// bytesPerToken is the size of a prompt token at the stand-in engines.
const bytesPerToken = 4

// lane is one ordered sequence of calls of a running program.
type lane struct {
	run      *run
	caller   *caller
	program  string
	name     string
	number   int
	messages []wire.ChatMessage
	// contextTokens is the number of tokens of the program that an engine
	// may have cached after the last chat of this lane.
	contextTokens int
	agentCount    int
}

// runSteps runs the steps and returns the time they would take on an idle system.
func (l *lane) runSteps(ctx context.Context, steps []Step) (time.Duration, error) {
	var idle time.Duration
	for i, step := range steps {
		took, err := l.runStep(ctx, step)
		idle += took
		if err != nil {
			return idle, err
		}
		if i < len(steps)-1 {
			idle += step.Pause
			delay.Sleep(ctx, step.Pause)
		}
	}
	return idle, ctx.Err()
}

func (l *lane) runStep(ctx context.Context, step Step) (time.Duration, error) {
	l.number++
	if step.Kind != StepChat {
		return step.RunTime, l.callService(ctx, step)
	}
	idle, err := l.runChat(ctx, step)
	if err != nil || len(step.Agents) == 0 {
		return idle, err
	}
	agents, err := l.runAgents(ctx, step.Agents)
	return idle + agents, err
}

// runChat makes one streamed chat completion.
func (l *lane) runChat(ctx context.Context, step Step) (time.Duration, error) {
	directive := fmt.Sprintf("tokens=%d ", step.OutputTokens)
	l.messages = append(l.messages, wire.ChatMessage{Role: "user", Content: directive + fillerText(step.InputTokens)})
	promptTokens := engine.PromptTokens(l.messages)
	newTokens := promptTokens - min(l.contextTokens, promptTokens)
	idle := l.run.idleLatency(newTokens, step.OutputTokens)
	request := wire.ChatRequest{
		Model: testkit.ModelService, Messages: l.messages, MaxTokens: step.OutputTokens, Stream: true,
	}
	response, err := l.caller.do(ctx, func(ctx context.Context, c *testkit.Client, attempt int) (*testkit.Response, error) {
		return c.Chat(ctx, request, l.callOptions(step, attempt))
	})
	if err != nil {
		return idle, err
	}
	l.caller.recorder.recordChunks(response.ChunkTimes)
	l.caller.recorder.promptTokens.Add(int64(promptTokens))
	l.caller.recorder.recomputedTokens.Add(int64(max(0, promptTokens-newTokens-response.Usage.CachedTokens)))
	l.contextTokens = promptTokens + step.OutputTokens
	l.messages = append(l.messages, wire.ChatMessage{Role: "assistant", Content: response.Text})
	return idle, nil
}

// callService makes one call to a tool or plain service.
func (l *lane) callService(ctx context.Context, step Step) error {
	name := testkit.ToolService
	if step.Kind == StepFiling {
		name = testkit.FilingService
	}
	path := fmt.Sprintf("/v1/services/%s/run?%s=%d", name, service.DelayParameter, step.RunTime.Milliseconds())
	body := []byte(fmt.Sprintf(`{"number":%d}`, l.number))
	_, err := l.caller.do(ctx, func(ctx context.Context, c *testkit.Client, attempt int) (*testkit.Response, error) {
		return c.Do(ctx, http.MethodPost, path, body, l.callOptions(step, attempt))
	})
	return err
}

func (l *lane) callOptions(step Step, attempt int) testkit.Call {
	return testkit.Call{
		Program: l.program, Lane: l.name, Number: l.number, Attempt: attempt,
		Key: fmt.Sprintf("%s-%d", l.name, l.number), NotRepeatable: step.Kind == StepFiling,
	}
}

// runAgents runs sub-agents concurrently and returns the time of the longest
// one on an idle system. Each starts with a copy of the lane's history.
func (l *lane) runAgents(ctx context.Context, agents [][]Step) (time.Duration, error) {
	times := make([]time.Duration, len(agents))
	failures := make([]error, len(agents))
	var group sync.WaitGroup
	for i, steps := range agents {
		l.agentCount++
		sub := &lane{
			run: l.run, caller: l.caller.fork(), program: l.program, name: fmt.Sprintf("agent-%d", l.agentCount),
			messages: append([]wire.ChatMessage(nil), l.messages...), contextTokens: l.contextTokens,
		}
		group.Go(func() { times[i], failures[i] = sub.runSteps(ctx, steps) })
	}
	group.Wait()
	var longest time.Duration
	for i := range agents {
		longest = max(longest, times[i])
		if failures[i] != nil {
			return longest, failures[i]
		}
	}
	return longest, nil
}

// fork returns a copy of the caller with its own random source.
func (c *caller) fork() *caller {
	other := *c
	other.random = rand.New(rand.NewPCG(c.random.Uint64(), c.random.Uint64()))
	return &other
}

// open opens a program at any instance. All attempts use the same idempotency
// key.
func (c *caller) open(ctx context.Context) (string, error) {
	key := ulid.Make().String()
	response, err := c.do(ctx, func(ctx context.Context, client *testkit.Client, attempt int) (*testkit.Response, error) {
		return client.Do(ctx, http.MethodPost, "/v1/programs", []byte("{}"), testkit.Call{Key: key})
	})
	if err != nil {
		return "", errors.Wrap(err, "open")
	}
	return response.Program, nil
}

func (c *caller) close(ctx context.Context, program string) error {
	_, err := c.do(ctx, func(ctx context.Context, client *testkit.Client, attempt int) (*testkit.Response, error) {
		return client.Close(ctx, program)
	})
	return errors.Wrap(err, "close")
}

// fillerText returns a text of the given number of prompt tokens.
func fillerText(tokens int) string {
	const pattern = "shore "
	length := tokens * bytesPerToken
	return strings.Repeat(pattern, length/len(pattern)+1)[:length]
}
