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

// OverheadOptions configures the measurement of the latency that instances add.
type OverheadOptions struct {
	Setup
	// Programs is the number of programs per caller. Each program makes Calls
	// chats of Tokens tokens.
	Programs, Calls, Tokens int
	Callers                 int
	Repeats                 int
}

// pathLatencies holds the latencies of one path to the engines.
type pathLatencies struct {
	coldFirstToken, firstToken, tokenGap *histogram
}

func newPathLatencies() *pathLatencies {
	return &pathLatencies{coldFirstToken: newDurations(), firstToken: newDurations(), tokenGap: newDurations()}
}

// record records the latencies of a response. The first call of a program is
// recorded separately.
func (p *pathLatencies) record(response *testkit.Response, firstCall bool) {
	times := response.ChunkTimes
	if len(times) == 0 {
		return
	}
	if firstCall {
		p.coldFirstToken.recordDuration(times[0])
	} else {
		p.firstToken.recordDuration(times[0])
	}
	for i := 1; i < len(times); i++ {
		p.tokenGap.recordDuration(times[i] - times[i-1])
	}
}

// RunOverhead makes the same chats alternately directly at the engines and
// through instances, and prints the added latency.
func RunOverhead(ctx context.Context, out io.Writer, o OverheadOptions) error {
	cluster, err := o.start(ctx)
	if err != nil {
		return err
	}
	defer cluster.Close()
	r := newRun(ctx, cluster, o.Model, o.Classes)
	defer r.close()
	r.warmUp(ctx)
	fmt.Fprintf(out, "instances %d, callers %d, step %s; milliseconds; load average %s\n",
		o.Instances, o.Callers, o.Model.StepBase, LoadAverage())
	fmt.Fprintln(out, markdownRow("figure", "direct p50/p99", "through p50/p99", "added p50", "added p99"))
	fmt.Fprintln(out, markdownRow("---", "---", "---", "---", "---"))
	for range o.Repeats {
		direct, through := newPathLatencies(), newPathLatencies()
		if err := o.measure(ctx, r, direct, through); err != nil {
			return err
		}
		printAddedLatency(out, "first token", direct.firstToken, through.firstToken)
		printAddedLatency(out, "first token, first call of a program", direct.coldFirstToken, through.coldFirstToken)
		printAddedLatency(out, "between tokens", direct.tokenGap, through.tokenGap)
	}
	return nil
}

func printAddedLatency(out io.Writer, name string, direct, through *histogram) {
	d, t := direct.quantiles(), through.quantiles()
	fmt.Fprintln(out, markdownRow(name,
		fmt.Sprintf("%.2f/%.2f", d.P50, d.P99), fmt.Sprintf("%.2f/%.2f", t.P50, t.P99),
		fmt.Sprintf("%.2f", t.P50-d.P50), fmt.Sprintf("%.2f", t.P99-d.P99)))
}

func (o OverheadOptions) measure(ctx context.Context, r *run, direct, through *pathLatencies) error {
	var group sync.WaitGroup
	failures := make([]error, o.Callers)
	for i := range o.Callers {
		group.Go(func() {
			random := rand.New(rand.NewPCG(uint64(i), 0))
			for range o.Programs {
				if failures[i] = o.measurePair(ctx, r, random, direct, through); failures[i] != nil {
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

// measurePair runs one program directly and one through an instance.
func (o OverheadOptions) measurePair(ctx context.Context, r *run, random *rand.Rand, direct, through *pathLatencies) error {
	engine := r.randomEngine(random)
	if err := o.runChats(ctx, &testkit.Client{Server: engine, HTTP: r.http}, "", direct); err != nil {
		return errors.Wrap(err, "direct")
	}
	server := r.balancer.pick(random)
	client := &testkit.Client{Server: server, Key: callerKey(o.Classes[0].Name), HTTP: r.http}
	program, err := client.Open(ctx)
	if err != nil {
		return err
	}
	if err := o.runChats(ctx, client, program, through); err != nil {
		return errors.Wrap(err, "through an instance")
	}
	_, err = client.Close(ctx, program)
	return err
}

// runChats makes the chats of one program.
func (o OverheadOptions) runChats(ctx context.Context, client *testkit.Client, program string, p *pathLatencies) error {
	var messages []wire.ChatMessage
	for number := 1; number <= o.Calls; number++ {
		messages = append(messages, wire.ChatMessage{Role: "user", Content: fmt.Sprintf("tokens=%d step %d", o.Tokens, number)})
		call := testkit.Call{}
		if program != "" {
			call = testkit.Call{Program: program, Number: number}
		}
		response, err := client.Chat(ctx, wire.ChatRequest{
			Model: testkit.ModelService, Messages: messages, MaxTokens: o.Tokens, Stream: true,
		}, call)
		if err != nil {
			return err
		}
		if response.Status != http.StatusOK || response.Truncated || response.Problem != nil {
			return errors.Newf("status %d: %s", response.Status, response.Body)
		}
		p.record(response, number == 1)
		messages = append(messages, wire.ChatMessage{Role: "assistant", Content: response.Text})
		delay.Sleep(ctx, time.Duration(number%3)*time.Millisecond)
	}
	return nil
}

// randomEngine returns the base URL of a random engine.
func (r *run) randomEngine(random *rand.Rand) string {
	var addresses []string
	for _, target := range r.cluster.Endpoints().Targets {
		if target.Service == testkit.ModelService {
			addresses = append(addresses, target.Address)
		}
	}
	return addresses[random.IntN(len(addresses))]
}
