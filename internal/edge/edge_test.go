package edge

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/banyanglade/banyanglade/internal/relay"
	"github.com/banyanglade/banyanglade/internal/standin/metastore"
	"github.com/banyanglade/banyanglade/internal/testkit"
	"github.com/banyanglade/banyanglade/platform"
)

const (
	testHost    = "a.example"
	testTimeout = 20 * time.Second
	// eventTokens is the number of tokens per event, eventsPerTurn the number of events
	// per turn.
	eventTokens   = 10
	eventsPerTurn = 5
)

// deployment is a set of instances with a store and targets.
type deployment struct {
	t     *testing.T
	store *metastore.Service
	seeds []string
}

// instance is one incarnation of an instance.
type instance struct {
	machine platform.Machine
	stop    context.CancelFunc
	done    chan error
	log     *lockedBuffer
	// mayFail indicates that the test expects an error.
	mayFail atomic.Bool
}

type lockedBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (l *lockedBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

func (l *lockedBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.String()
}

func newDeployment(t *testing.T) *deployment {
	t.Helper()
	d := &deployment{t: t, store: metastore.Start()}
	t.Cleanup(d.store.Close)
	d.putSettings(1, "/turns/")
	engine := httptest.NewServer(http.HandlerFunc(serveTurn))
	t.Cleanup(engine.Close)
	d.store.Put(platform.TopicTargets, "e1", fmt.Appendf(nil,
		`{"Service":"engine","Address":"%s","Zone":"dc","Version":"v1","Slots":16,"State":"ready","ColdRemainingMs":0,"Sequence":1}`, engine.Listener.Addr()))
	return d
}

func (d *deployment) putSettings(version int, prefix string) {
	d.store.Put(platform.TopicOperator, platform.KeySettings, fmt.Appendf(nil,
		`{"Version":%d,"Routes":[{"Name":"turns","Hostname":"%s","PathPrefix":"%s","Type":"streaming","TimeoutMs":4000,
		"Service":"engine","MaxAttempts":1,"Retain":false,"RetentionS":60,"Resumable":true,"SessionAffinity":true}],
		"Services":[{"Name":"engine","Engine":{"StrideTokens":%d}}]}`, version, testHost, prefix, eventTokens))
}

func serveTurn(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Banyanglade-Request-Id", r.Header.Get("Banyanglade-Request-Id"))
	w.Header().Set("Banyanglade-Server-Signature", "s")
	w.Header().Set("Content-Type", "text/event-stream")
	for i := range eventsPerTurn {
		fmt.Fprintf(w, "id: %d\ndata: x\n\n", i+1)
	}
}

func (d *deployment) start(name string) *instance {
	d.t.Helper()
	return d.startWith(name, func(*platform.Machine, *Options) {})
}

// startWith starts an instance whose settings are changed first.
func (d *deployment) startWith(name string, change func(*platform.Machine, *Options)) *instance {
	d.t.Helper()
	host := testkit.LoopbackHost()
	addresses, err := testkit.FreeAddresses(host, 3)
	if err != nil {
		d.t.Fatal(err)
	}
	i := &instance{done: make(chan error, 1), log: new(lockedBuffer), machine: platform.Machine{
		Name: name, IP: host, DataCentre: "dc", Region: "r",
		CallerAddress: addresses[0], ReadyAddress: addresses[1], PeerAddress: addresses[2],
		GracePeriod: 3 * time.Second, Seeds: d.seeds,
		Store: platform.StoreInfo{Address: d.store.Address(), Partitions: 4, MaxRecordBytes: 1 << 18, MaxCallBytes: 1 << 21},
	}}
	options := Options{LogLevel: slog.LevelDebug, PeerKey: "0123456789abcdef"}
	change(&i.machine, &options)
	d.seeds = append(d.seeds, i.machine.PeerAddress)
	ctx, cancel := context.WithCancel(context.Background())
	i.stop = cancel
	go func() {
		err := runOn(ctx, i.machine, options, nil, i.log)
		if err != nil && !i.mayFail.Load() {
			d.t.Errorf("instance %s ended: %v", name, err)
		}
		i.done <- err
	}()
	d.t.Cleanup(cancel)
	return i
}

// eventually waits until a condition holds.
func eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for started := time.Now(); time.Since(started) < testTimeout; time.Sleep(10 * time.Millisecond) {
		if condition() {
			return
		}
	}
	t.Fatalf("timed out after %s: %s", testTimeout, what)
}

func (i *instance) ready() bool {
	resp, err := http.Get("http://" + i.machine.ReadyAddress + platform.ReadyPath)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// turn runs a turn of a program and returns the status and the number of tokens received.
func (i *instance) turn(t *testing.T, path, program string, budget int) (int, int) {
	t.Helper()
	r, err := http.NewRequest(http.MethodPost, "http://"+i.machine.CallerAddress+path, strings.NewReader("prompt"))
	if err != nil {
		t.Fatal(err)
	}
	r.Host = testHost
	r.Header.Set("Banyanglade-Request-Id", fmt.Sprint(program, time.Now().UnixNano()))
	r.Header.Set("Banyanglade-Program-Id", program)
	r.Header.Set("Banyanglade-Token-Budget", fmt.Sprint(budget))
	r.Header.Set("Banyanglade-Token-Usage", "100,100")
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0, 0
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return resp.StatusCode, strings.Count(string(body), "id: ") * eventTokens
}

func TestBudgetHoldsOverShutdowns(t *testing.T) {
	d := newDeployment(t)
	instances := []*instance{d.start("a"), d.start("b"), d.start("c")}
	for _, i := range instances {
		eventually(t, "ready", i.ready)
	}
	const budget = 500
	total := 0
	spend := func(at *instance) int {
		status, tokens := at.turn(t, "/turns/x", "p", budget)
		total += tokens
		return status
	}
	for range 4 {
		eventually(t, "a turn at each instance", func() bool { return spend(instances[0]) == 200 })
	}
	instances[0].stop()
	eventually(t, "not ready once it stops", func() bool { return !instances[0].ready() })
	if err := <-instances[0].done; err != nil {
		t.Errorf("shutdown: %v", err)
	}
	eventually(t, "the budget is spent", func() bool { return spend(instances[1]) == 402 })
	if total > budget {
		t.Errorf("%d tokens of %d", total, budget)
	}
	instances[1].stop()
	instances[2].stop()
	<-instances[1].done
	<-instances[2].done
	// All instances have stopped; a new one reads the spent budget from the store.
	last := d.start("d")
	eventually(t, "ready", last.ready)
	eventually(t, "the spent budget is refused", func() bool { return spend(last) == 402 })
	if total > budget+100 {
		t.Errorf("%d tokens of %d and a turn's maximum", total, budget)
	}
}

func TestNewSettingsAreApplied(t *testing.T) {
	d := newDeployment(t)
	i := d.start("a")
	eventually(t, "ready", i.ready)
	if status, _ := i.turn(t, "/other/x", "p", 500); status != 404 {
		t.Errorf("status %d before the route exists", status)
	}
	d.putSettings(2, "/other/")
	eventually(t, "the new route", func() bool {
		status, _ := i.turn(t, "/other/x", "p", 500)
		return status == 200
	})
}

func TestInstanceStartedDuringOutageQueriesPeers(t *testing.T) {
	d := newDeployment(t)
	first := d.start("a")
	eventually(t, "ready", first.ready)
	d.store.Set(metastore.Fault{Status: 503})
	second := d.start("b")
	eventually(t, "ready without the store", second.ready)
}

func TestInstanceWithoutSettingsIsNotReady(t *testing.T) {
	d := newDeployment(t)
	d.store.Set(metastore.Fault{Reset: true})
	i := d.start("a")
	eventually(t, "refused without settings", func() bool {
		status, _ := i.turn(t, "/turns/x", "p", 500)
		return status == 503
	})
	if i.ready() {
		t.Error("ready without settings")
	}
	d.store.Set(metastore.Fault{})
	eventually(t, "ready", i.ready)
}

func TestInstanceReadsCopiesWhileSettingsPartitionIsUnavailable(t *testing.T) {
	d := newDeployment(t)
	first := d.start("a")
	eventually(t, "ready", first.ready)
	eventually(t, "copies are written", func() bool { return d.store.Records(topicCopies) >= 2*4 })
	first.stop()
	<-first.done
	d.seeds = nil
	d.store.Set(metastore.Fault{Status: 503, Topics: []string{platform.TopicOperator, platform.TopicTargets}})
	second := d.start("b")
	eventually(t, "ready from copies", second.ready)
}

// Copies are read also while the relay slots are unavailable, or instances that start
// together during a partial outage of the store would wait for its end.
func TestInstanceReadsCopiesWhileRelaySlotsAreUnavailable(t *testing.T) {
	d := newDeployment(t)
	first := d.start("a")
	eventually(t, "ready", first.ready)
	eventually(t, "copies are written", func() bool { return d.store.Records(topicCopies) >= 2*4 })
	first.stop()
	<-first.done
	d.seeds = nil
	d.store.Set(metastore.Fault{Status: 503, Topics: []string{
		platform.TopicOperator, platform.TopicTargets, relay.SlotsTopic, topicInstances,
	}})
	second := d.start("b")
	eventually(t, "ready from copies", second.ready)
}

func TestDumpAndMetrics(t *testing.T) {
	d := newDeployment(t)
	i := d.start("a")
	eventually(t, "ready", i.ready)
	resp, err := http.Get("http://" + i.machine.PeerAddress + "/debug/state")
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	var got state
	if err := json.NewDecoder(resp.Body).Decode(&got); err != nil {
		t.Fatal(err)
	}
	if !got.Ready || got.SettingsVersion != 1 || len(got.Targets) != 1 {
		t.Errorf("dump %+v", got)
	}
	eventually(t, "metrics", func() bool {
		resp, err := http.Get("http://" + i.machine.PeerAddress + "/metrics")
		if err != nil {
			return false
		}
		defer resp.Body.Close()
		body, err := io.ReadAll(resp.Body)
		return err == nil && strings.Contains(string(body), "banyanglade_store_calls")
	})
}
