package load

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/banyanglade/banyanglade/internal/delay"
	"github.com/banyanglade/banyanglade/internal/testkit"
	"github.com/banyanglade/banyanglade/internal/wire"
)

// OverheadOptions describe the measurement of the path's own time.
type OverheadOptions struct {
	Setup
	// Programs is the number of programs of each of Callers callers, each of
	// Calls chats of Tokens tokens.
	Programs, Calls, Tokens int
	Callers                 int
	Repeats                 int
}

// path is one way to the engines.
type path struct {
	cold, first, token *histogram
}

func newPath() *path {
	return &path{cold: newDurations(), first: newDurations(), token: newDurations()}
}

// note takes in an answer; the first call of a program counts apart.
func (p *path) note(answer *testkit.Response, isFirst bool) {
	times := answer.ChunkTimes
	if len(times) == 0 {
		return
	}
	if isFirst {
		p.cold.duration(times[0])
	} else {
		p.first.duration(times[0])
	}
	for i := 1; i < len(times); i++ {
		p.token.duration(times[i] - times[i-1])
	}
}

// RunOverhead makes the same chats directly at the engines and through
// instances, in turns, and prints the added time.
func RunOverhead(ctx context.Context, out io.Writer, o OverheadOptions) error {
	cluster, err := o.start(ctx)
	if err != nil {
		return err
	}
	defer cluster.Close()
	r := newRun(ctx, cluster, o.Model, o.Classes)
	defer r.close()
	r.warm(ctx)
	fmt.Fprintf(out, "instances %d, callers %d, step %s; milliseconds; load average %s\n",
		o.Instances, o.Callers, o.Model.StepBase, LoadAverage())
	fmt.Fprintln(out, row("figure", "direct p50/p99", "through p50/p99", "added p50", "added p99"))
	fmt.Fprintln(out, row("---", "---", "---", "---", "---"))
	for range o.Repeats {
		direct, through := newPath(), newPath()
		if err := o.measure(ctx, r, direct, through); err != nil {
			return err
		}
		printAdded(out, "first token", direct.first, through.first)
		printAdded(out, "first token, first call of a program", direct.cold, through.cold)
		printAdded(out, "between tokens", direct.token, through.token)
	}
	return nil
}

func printAdded(out io.Writer, name string, direct, through *histogram) {
	d, t := direct.quantiles(), through.quantiles()
	fmt.Fprintln(out, row(name,
		fmt.Sprintf("%.2f/%.2f", d.P50, d.P99), fmt.Sprintf("%.2f/%.2f", t.P50, t.P99),
		fmt.Sprintf("%.2f", t.P50-d.P50), fmt.Sprintf("%.2f", t.P99-d.P99)))
}

func (o OverheadOptions) measure(ctx context.Context, r *run, direct, through *path) error {
	var group sync.WaitGroup
	failures := make([]error, o.Callers)
	for i := range o.Callers {
		group.Go(func() {
			random := rand.New(rand.NewPCG(uint64(i), 0))
			for range o.Programs {
				if failures[i] = o.pair(ctx, r, random, direct, through); failures[i] != nil {
					return
				}
			}
		})
	}
	group.Wait()
	for _, err := range failures {
		if err != nil {
			return err
		}
	}
	return nil
}

// pair runs one program directly and one through an instance.
func (o OverheadOptions) pair(ctx context.Context, r *run, random *rand.Rand, direct, through *path) error {
	engine := r.anyEngine(random)
	if err := o.chats(ctx, &testkit.Client{Server: engine, HTTP: r.http}, "", direct); err != nil {
		return errors.Wrap(err, "direct")
	}
	server := r.balancer.pick(random)
	client := &testkit.Client{Server: server, Key: callerKey(o.Classes[0].Name), HTTP: r.http}
	program, err := client.Open(ctx)
	if err != nil {
		return err
	}
	if err := o.chats(ctx, client, program, through); err != nil {
		return errors.Wrap(err, "through an instance")
	}
	_, err = client.Close(ctx, program)
	return err
}

// chats makes the chats of one program.
func (o OverheadOptions) chats(ctx context.Context, client *testkit.Client, program string, p *path) error {
	var messages []wire.ChatMessage
	for number := 1; number <= o.Calls; number++ {
		messages = append(messages, wire.ChatMessage{Role: "user", Content: fmt.Sprintf("tokens=%d step %d", o.Tokens, number)})
		call := testkit.Call{}
		if program != "" {
			call = testkit.Call{Program: program, Number: number}
		}
		answer, err := client.Chat(ctx, wire.ChatRequest{
			Model: testkit.ModelService, Messages: messages, MaxTokens: o.Tokens, Stream: true,
		}, call)
		if err != nil {
			return err
		}
		if answer.Status != http.StatusOK || answer.Truncated || answer.Problem != nil {
			return errors.Newf("status %d: %s", answer.Status, answer.Body)
		}
		p.note(answer, number == 1)
		messages = append(messages, wire.ChatMessage{Role: "assistant", Content: answer.Text})
		delay.Sleep(ctx, time.Duration(number%3)*time.Millisecond)
	}
	return nil
}

// anyEngine gives the base URL of an engine.
func (r *run) anyEngine(random *rand.Rand) string {
	var addresses []string
	for _, target := range r.cluster.Endpoints().Targets {
		if target.Service == testkit.ModelService {
			addresses = append(addresses, target.Address)
		}
	}
	return addresses[random.IntN(len(addresses))]
}
