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

// bytesPerToken is the length of a prompt token at the stand-in engines.
const bytesPerToken = 4

// lane is one ordered sequence of calls of a program under way.
type lane struct {
	run      *run
	caller   *caller
	program  string
	name     string
	number   int
	messages []wire.ChatMessage
	// context is the number of tokens that an engine may hold of the
	// program after the last chat of this lane.
	context int
	agents  int
}

// steps runs the steps and gives the time they would take on an idle system.
func (l *lane) steps(ctx context.Context, steps []Step) (time.Duration, error) {
	var alone time.Duration
	for i, step := range steps {
		took, err := l.step(ctx, step)
		alone += took
		if err != nil {
			return alone, err
		}
		if i < len(steps)-1 {
			alone += step.Pause
			delay.Sleep(ctx, step.Pause)
		}
	}
	return alone, ctx.Err()
}

func (l *lane) step(ctx context.Context, step Step) (time.Duration, error) {
	l.number++
	if step.Kind != StepChat {
		return step.RunTime, l.plain(ctx, step)
	}
	alone, err := l.chat(ctx, step)
	if err != nil || len(step.Agents) == 0 {
		return alone, err
	}
	agents, err := l.fan(ctx, step.Agents)
	return alone + agents, err
}

// chat makes one streamed chat completion.
func (l *lane) chat(ctx context.Context, step Step) (time.Duration, error) {
	directive := fmt.Sprintf("tokens=%d ", step.Output)
	l.messages = append(l.messages, wire.ChatMessage{Role: "user", Content: directive + filler(step.Input)})
	prompt := engine.PromptTokens(l.messages)
	fresh := prompt - min(l.context, prompt)
	alone := l.run.alone(fresh, step.Output)
	request := wire.ChatRequest{
		Model: testkit.ModelService, Messages: l.messages, MaxTokens: step.Output, Stream: true,
	}
	answer, err := l.caller.do(ctx, func(ctx context.Context, c *testkit.Client, attempt int) (*testkit.Response, error) {
		return c.Chat(ctx, request, l.call(step, attempt))
	})
	if err != nil {
		return alone, err
	}
	l.caller.figures.pieces(answer.ChunkTimes)
	l.caller.figures.prompt.Add(int64(prompt))
	l.caller.figures.recomputed.Add(int64(max(0, prompt-fresh-answer.Usage.CachedTokens)))
	l.context = prompt + step.Output
	l.messages = append(l.messages, wire.ChatMessage{Role: "assistant", Content: answer.Text})
	return alone, nil
}

// plain makes one call to a tool or plain service.
func (l *lane) plain(ctx context.Context, step Step) error {
	name := testkit.ToolService
	if step.Kind == StepFiling {
		name = testkit.FilingService
	}
	path := fmt.Sprintf("/v1/services/%s/run?%s=%d", name, service.DelayParameter, step.RunTime.Milliseconds())
	body := []byte(fmt.Sprintf(`{"number":%d}`, l.number))
	_, err := l.caller.do(ctx, func(ctx context.Context, c *testkit.Client, attempt int) (*testkit.Response, error) {
		return c.Do(ctx, http.MethodPost, path, body, l.call(step, attempt))
	})
	return err
}

func (l *lane) call(step Step, attempt int) testkit.Call {
	return testkit.Call{
		Program: l.program, Lane: l.name, Number: l.number, Attempt: attempt,
		Key: fmt.Sprintf("%s-%d", l.name, l.number), NotRepeatable: step.Kind == StepFiling,
	}
}

// fan runs sub-agents at once and gives the time of the longest on an idle
// system. Each starts with a copy of the lane's history.
func (l *lane) fan(ctx context.Context, agents [][]Step) (time.Duration, error) {
	times := make([]time.Duration, len(agents))
	failures := make([]error, len(agents))
	var group sync.WaitGroup
	for i, steps := range agents {
		l.agents++
		sub := &lane{
			run: l.run, caller: l.caller.fork(), program: l.program, name: fmt.Sprintf("agent-%d", l.agents),
			messages: append([]wire.ChatMessage(nil), l.messages...), context: l.context,
		}
		group.Go(func() { times[i], failures[i] = sub.steps(ctx, steps) })
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

// fork gives a caller with random choices of its own.
func (c *caller) fork() *caller {
	other := *c
	other.random = rand.New(rand.NewPCG(c.random.Uint64(), c.random.Uint64()))
	return &other
}

// open opens a program at any instance, with one key for all attempts.
func (c *caller) open(ctx context.Context) (string, error) {
	key := ulid.Make().String()
	answer, err := c.do(ctx, func(ctx context.Context, client *testkit.Client, attempt int) (*testkit.Response, error) {
		return client.Do(ctx, http.MethodPost, "/v1/programs", []byte("{}"), testkit.Call{Key: key})
	})
	if err != nil {
		return "", errors.Wrap(err, "open")
	}
	return answer.Program, nil
}

func (c *caller) close(ctx context.Context, program string) error {
	_, err := c.do(ctx, func(ctx context.Context, client *testkit.Client, attempt int) (*testkit.Response, error) {
		return client.Close(ctx, program)
	})
	return errors.Wrap(err, "close")
}

// filler is a text of so many prompt tokens.
func filler(tokens int) string {
	const text = "shore "
	length := tokens * bytesPerToken
	return strings.Repeat(text, length/len(text)+1)[:length]
}
