package orders_test

import (
	"encoding/json"
	"fmt"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/banyanglade/banyanglade/internal/instance"
	"github.com/banyanglade/banyanglade/internal/logclient"
	"github.com/banyanglade/banyanglade/internal/standin/engine"
	"github.com/banyanglade/banyanglade/internal/standin/logservice"
	"github.com/banyanglade/banyanglade/internal/structs"
	"github.com/banyanglade/banyanglade/internal/target"
	"github.com/banyanglade/banyanglade/internal/wire"
)

const (
	waitTimeout = 60 * time.Second
	// clockSpeed is the factor by which the instance's clock runs faster than
	// real time.
	clockSpeed = 10
)

// testbed runs the core of an instance with the real adapters, a log service
// and two engines: one that checks the fencing number and one that ignores it.
type testbed struct {
	t       *testing.T
	clock   func() time.Time
	core    *instance.Instance
	events  chan structs.Event
	log     *logclient.Log
	runner  *target.Runner
	engines map[string]*restartableEngine
}

// restartableEngine is an engine that can be replaced without a change of its
// address.
type restartableEngine struct {
	checks bool
	server atomic.Pointer[engine.Server]
}

func (r *restartableEngine) restart(t *testing.T) {
	server := engine.NewServer(engine.Settings{ChecksFencing: r.checks})
	t.Cleanup(server.Close)
	r.server.Store(server)
}

func (r *restartableEngine) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	r.server.Load().Handler().ServeHTTP(w, request)
}

// applied returns the orders that took effect since the engine was started,
// without consecutive duplicates: an order whose reply is late is sent again.
func (r *restartableEngine) applied(t *testing.T) (seen []wire.Order) {
	reply := httptest.NewRecorder()
	r.ServeHTTP(reply, httptest.NewRequest(http.MethodGet, engine.OrderLogRoute, nil))
	if err := json.Unmarshal(reply.Body.Bytes(), &seen); err != nil {
		t.Fatal(err)
	}
	return slices.Compact(seen)
}

func newTestbed(t *testing.T) *testbed {
	start := time.Now()
	b := &testbed{
		t: t, clock: func() time.Time { return start.Add(clockSpeed * time.Since(start)) },
		events: make(chan structs.Event, 1024), engines: map[string]*restartableEngine{},
	}
	post := func(ev structs.Event) bool { b.events <- ev; return true }
	quiet := slog.New(slog.DiscardHandler)
	server := httptest.NewServer(logservice.New(logservice.Settings{}).Handler())
	t.Cleanup(server.Close)
	var err error
	b.log, err = logclient.NewLog(t.Context(), logclient.LogConfig{URL: server.URL}, post, tally.NoopScope, quiet)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(b.log.Close)
	b.runner = target.New(t.Context(), target.Config{Now: b.clock}, nil, post, tally.NoopScope, quiet)
	t.Cleanup(b.runner.Close)
	self := structs.Peer{ID: "i", Region: "r"}
	b.core = instance.New(structs.DefaultInstanceConfig(self, "1"))
	b.startEngines()
	return b
}

// startEngines starts the engines and adds them to the membership and the
// settings.
func (b *testbed) startEngines() {
	var list wire.MemberList
	var changes []structs.SettingChange
	for name, checks := range map[string]bool{"checks": true, "ignores_it": false} {
		e := &restartableEngine{checks: checks}
		e.restart(b.t)
		server := httptest.NewServer(e)
		b.t.Cleanup(server.Close)
		b.engines[name] = e
		list.Members = append(list.Members, wire.Member{
			ID: name, Role: wire.MemberRoleTarget, Region: "r", Service: name, Address: server.URL,
		})
		for key, value := range map[string]string{
			"kind": `"engine"`, "checks_fencing": fmt.Sprint(checks), "orders/model": `"m1"`, "orders/role": `"prefill"`,
		} {
			path := "services/" + name + "/" + key
			changes = append(changes, structs.SettingChange{Path: path, Value: []byte(value), ChangeID: path})
		}
	}
	b.events <- structs.MembersListed{List: list}
	b.waitFor(func() bool { return b.core.Dump().Ready })
	b.events <- structs.SettingsPropose{Request: "s", Changes: changes, Deadline: b.clock().Add(clockSpeed * waitTimeout)}
}

// waitFor runs the instance until the condition holds.
func (b *testbed) waitFor(condition func() bool) {
	b.t.Helper()
	timeout := time.After(waitTimeout)
	var batch []structs.Event
	for {
		for _, cmd := range b.core.Tick(b.clock(), batch) {
			b.execute(cmd)
		}
		if condition() {
			return
		}
		var wake <-chan time.Time
		if next := b.core.NextWake(); !next.IsZero() {
			wake = time.After(next.Sub(b.clock()) / clockSpeed)
		}
		batch = nil
		select {
		case ev := <-b.events:
			batch = []structs.Event{ev}
		case <-wake:
		case <-timeout:
			b.t.Fatalf("condition not met within the timeout; orders: %+v", b.core.Dump().Orders)
		}
	}
}

func (b *testbed) execute(cmd structs.Command) {
	switch cmd := cmd.(type) {
	case structs.LogAppend:
		b.log.Append(cmd)
	case structs.LogTail:
		b.log.Tail(cmd)
	case structs.LogTailEnd:
		b.log.TailEnd(cmd)
	case structs.ReadOrders:
		b.runner.ReadOrders(cmd)
	case structs.SendOrder:
		b.runner.SendOrder(cmd)
	case structs.ReplySettings:
		if cmd.Result.Status != structs.SettingsAccepted {
			b.t.Fatalf("settings were not accepted: %+v", cmd.Result)
		}
	}
}

// The real adapters bring the stand-in engines to the desired state, initially
// and after the engines are restarted.
func TestStandInEnginesReachDesiredState(t *testing.T) {
	b := newTestbed(t)
	for range 2 {
		for _, e := range b.engines {
			b.waitFor(func() bool { return len(e.applied(t)) == 2 })
			want := []wire.Order{
				{Kind: wire.OrderLoadModel, Value: "m1", Fencing: 1}, {Kind: wire.OrderSetRole, Value: "prefill", Fencing: 1},
			}
			if got := e.applied(t); !slices.Equal(got, want) {
				t.Errorf("applied orders = %+v, want load_model and set_role", got)
			}
		}
		// All engines have both orders, so none is restarted between the two.
		for _, e := range b.engines {
			e.restart(t)
		}
	}
}
