package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/banyanglade/banyanglade/internal/testkit"
	"github.com/banyanglade/banyanglade/internal/wire"
)

// killAtChunk is the chunk of a streamed response at which the owner is killed.
const killAtChunk = 10

// tour runs the calls of one program through the instances.
type tour struct {
	cluster  *testkit.Cluster
	program  string
	messages []wire.ChatMessage
	number   int
	// onChunk is called for each chunk of the next streamed response.
	onChunk func(number int)
}

func newTour(cluster *testkit.Cluster) *tour {
	return &tour{
		cluster:  cluster,
		messages: []wire.ChatMessage{{Role: "system", Content: "You draft trademark applications for small makers."}},
	}
}

// client returns a client of the n-th instance, simulating a load balancer.
func (t *tour) client(n int) *testkit.Client {
	p := t.cluster.Instances[n%len(t.cluster.Instances)]
	return testkit.NewClient(p.Server, testkit.CallerKey)
}

func (t *tour) run(ctx context.Context) error {
	var err error
	if t.program, err = t.client(0).Open(ctx); err != nil {
		return err
	}
	fmt.Printf("Program %s is open.\n\n", t.program)
	fmt.Printf("%-4s %-40s %-11s %-10s %s\n", "call", "what", "instance", "outcome", "time")
	steps := []func(context.Context) error{t.search, t.draft, t.file, t.repeatFiling, t.killOwner, t.close}
	for _, step := range steps {
		if err := step(ctx); err != nil {
			return err
		}
	}
	return t.checkLedger()
}

func (t *tour) search(ctx context.Context) error {
	return t.chat(ctx, 1, "Search for marks like Heron Lake Honey. tokens=40", true)
}

func (t *tour) draft(ctx context.Context) error {
	return t.chat(ctx, 2, "Draft the application. tokens=24", false)
}

func (t *tour) file(ctx context.Context) error { return t.submit(ctx, 0, "answered") }

func (t *tour) repeatFiling(ctx context.Context) error {
	t.number--
	return t.submit(ctx, 1, "replayed")
}

// killOwner kills the program's owner in the middle of a streamed response. The
// caller's instance forwards the call to the next owner, which resumes the stream
// at the engine.
func (t *tour) killOwner(ctx context.Context) error {
	owner, err := t.owner(ctx)
	if err != nil {
		return err
	}
	other := slices.IndexFunc(t.cluster.Instances, func(p *testkit.Process) bool { return p != owner })
	t.onChunk = func(number int) {
		if number == killAtChunk {
			owner.Kill()
			fmt.Printf("     %s, the program's owner, is killed in the middle of the next answer.\n", owner.ID)
		}
	}
	err = t.chat(ctx, other, "Summarize for the member. tokens=60", true)
	t.onChunk = nil
	t.cluster.Remove(owner)
	return err
}

// owner returns the instance that owns the program.
func (t *tour) owner(ctx context.Context) (*testkit.Process, error) {
	response, err := t.client(0).Do(ctx, http.MethodGet, "/v1/programs/"+t.program, nil, testkit.Call{})
	if err != nil {
		return nil, err
	}
	var view struct{ Owner string }
	if err := json.Unmarshal(response.Body, &view); err != nil {
		return nil, errors.Wrapf(err, "program: %s", response.Body)
	}
	for _, p := range t.cluster.Instances {
		if p.ID == view.Owner {
			return p, nil
		}
	}
	return nil, errors.Newf("no instance owns the program: %s", response.Body)
}

func (t *tour) close(ctx context.Context) error {
	response, err := t.client(1).Close(ctx, t.program)
	if err != nil {
		return err
	}
	if response.Problem != nil {
		return errors.Newf("close the program: %s", response.Body)
	}
	return nil
}

func (t *tour) chat(ctx context.Context, instance int, prompt string, stream bool) error {
	t.number++
	t.messages = append(t.messages, wire.ChatMessage{Role: "user", Content: prompt})
	request := wire.ChatRequest{Model: testkit.ModelService, Messages: t.messages, MaxTokens: 100, Stream: stream}
	client := t.client(instance)
	client.OnChunk = t.onChunk
	response, err := client.Chat(ctx, request, testkit.Call{Program: t.program, Number: t.number})
	if err != nil {
		return err
	}
	if !response.OK() {
		return errors.Newf("call %d: status %d, cut %v: %s %+v", t.number, response.Status, response.Truncated, response.Body, response.Problem)
	}
	t.messages = append(t.messages, wire.ChatMessage{Role: "assistant", Content: response.Text})
	what := "chat, not streamed"
	if stream {
		what = fmt.Sprintf("chat, streamed in %d chunks", response.Chunks)
	}
	t.print(what, instance, response)
	return nil
}

func (t *tour) submit(ctx context.Context, instance int, want string) error {
	t.number++
	call := testkit.Call{Program: t.program, Number: t.number, Key: "filing-1", NotRepeatable: true, Fee: 250}
	path := "/v1/services/" + testkit.FilingService + "/applications"
	response, err := t.client(instance).Do(ctx, http.MethodPost, path, []byte(`{"mark":"Heron Lake Honey"}`), call)
	if err != nil {
		return err
	}
	if response.Outcome != want {
		return errors.Newf("filing: outcome %q, want %q: %s", response.Outcome, want, response.Body)
	}
	t.print("filing, not repeatable", instance, response)
	return nil
}

func (t *tour) print(what string, instance int, response *testkit.Response) {
	p := t.cluster.Instances[instance%len(t.cluster.Instances)]
	fmt.Printf("%-4d %-40s %-11s %-10s %s\n", t.number, what, p.ID, response.Outcome, response.Duration.Round(time.Millisecond))
}

// checkLedger checks the ledgers of the targets: the filing must have run once.
func (t *tour) checkLedger() error {
	sent := 0
	for _, service := range t.cluster.Services {
		for _, entry := range service.Ledger().Entries() {
			if entry.Program == t.program {
				sent++
			}
		}
	}
	fmt.Printf("\nThe filing was sent twice by the caller and ran %d time(s) at the targets.\n", sent)
	if sent != 1 {
		return errors.Newf("the filing ran %d times, expected 1", sent)
	}
	return nil
}
