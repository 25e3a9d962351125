// Package abuse tests that clients which do not keep to the protocol or to the limits end
// no instance. The tests start the product's own processes and run one at a time: they
// check that the process lives, that its memory and descriptors stay within those of its
// machine, and that it serves an ordinary request afterwards.
package abuse

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/banyanglade/banyanglade/internal/standin/metastore"
	"github.com/banyanglade/banyanglade/internal/testkit"
	"github.com/banyanglade/banyanglade/platform"
)

const (
	productPackage = "github.com/banyanglade/banyanglade/cmd/banyanglade"
	host           = "abuse.example"

	// The machine of the instance under test.
	memoryMB    = 64
	maxFDs      = 1500
	gracePeriod = 8 * time.Second

	// The operator's limits.
	maxHeaderBytes  = 16 << 10
	maxBodyBytes    = 1 << 20
	headerTimeoutMS = 3000
	idleTimeoutMS   = 15000

	// crowdSize is the number of clients of a crowd.
	crowdSize = 1000
	// crowdBytes bounds what one client sends.
	crowdBytes = 512 << 10
	// blockedTimeout is after how long a client whose writes are not read gives up.
	blockedTimeout = 2 * time.Second
	// testTimeout bounds each wait for the process.
	testTimeout = 30 * time.Second
	// leftoverFDs is the number of descriptors that may be open in addition to those
	// before the crowd: idle connections to targets, other instances and the store.
	leftoverFDs = 100
)

var binary string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "abuse")
	if err != nil {
		panic(err)
	}
	binary = filepath.Join(dir, "banyanglade")
	if output, err := exec.Command("go", "build", "-o", binary, productPackage).CombinedOutput(); err != nil {
		panic(fmt.Sprintf("build the product: %v\n%s", err, output))
	}
	code := m.Run()
	_ = os.RemoveAll(dir) // left to the system's cleanup otherwise
	os.Exit(code)
}

// instance is a process under test with a store and targets of its own.
type instance struct {
	t       *testing.T
	process *testkit.Process
	store   *metastore.Service
	callers string
	ready   string
	peers   string
	// release ends the responses of the slow target.
	release chan struct{}
	// runs counts the requests that targets received.
	runs atomic.Int64
	// maxOpenFDs and peakMemory are the largest numbers of descriptors and of bytes of
	// resident memory seen.
	maxOpenFDs atomic.Int64
	peakMemory atomic.Int64
	fdsBefore  int
	requests   atomic.Int64
}

// startInstance starts an instance that may use a number of processors, 0 for all.
func startInstance(t *testing.T, processors int) *instance {
	t.Helper()
	i := &instance{t: t, store: metastore.Start(), release: make(chan struct{})}
	t.Cleanup(i.store.Close)
	i.startTargets()
	i.putSettings()
	address := testkit.LoopbackHost()
	addresses, err := testkit.FreeAddresses(address, 3)
	if err != nil {
		t.Fatal(err)
	}
	i.callers, i.ready, i.peers = addresses[0], addresses[1], addresses[2]
	settings, err := json.Marshal(map[string]any{
		"Node": "m0", "Ip": address, "Zone": "dc", "Region": "region",
		"Listen": map[string]string{"Frontend": i.callers, "Ready": i.ready, "Control": i.peers},
		"Limits": map[string]any{"CpuShare": 1, "Cores": 1, "MemoryMb": memoryMB, "MaxFds": maxFDs},
		"Bounds": map[string]any{"GraceS": gracePeriod.Seconds(), "DrainMs": 2000, "ConfigMs": 2000},
		"Platform": map[string]any{
			"Address": i.store.Address(), "parts": 4, "RecordBytes": 1 << 18, "CallBytes": 1 << 21,
		},
	})
	if err != nil {
		t.Fatal(err)
	}
	dir := t.TempDir()
	path := filepath.Join(dir, "m0.json")
	if err := os.WriteFile(path, settings, 0o600); err != nil {
		t.Fatal(err)
	}
	env := []string{platform.SettingsVariable + "=" + path, "BANYANGLADE_PEER_KEY=a key for these tests"}
	if processors > 0 {
		env = append(env, "GOMAXPROCS="+strconv.Itoa(processors))
	}
	i.process, err = testkit.Launch(binary, "edge", "m0", env, dir)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(i.process.Kill)
	i.eventually("the instance is ready", i.isReady)
	i.eventually("an ordinary request is served", func() bool { return i.ordinary() == http.StatusOK })
	i.fdsBefore = i.openFDs()
	i.watch()
	return i
}

// startTargets starts a target that responds at once and one that responds once released.
func (i *instance) startTargets() {
	sign := func(w http.ResponseWriter, r *http.Request) {
		i.runs.Add(1)
		w.Header().Set("Banyanglade-Request-Id", r.Header.Get("Banyanglade-Request-Id"))
		w.Header().Set("Banyanglade-Server-Signature", "s")
	}
	i.startTarget("app", func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body) // the caller may leave
		sign(w, r)
		fmt.Fprint(w, "ok")
	})
	i.startTarget("slow", func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body) // the caller may leave
		sign(w, r)
		select {
		case <-i.release:
		case <-r.Context().Done():
		}
	})
	large := make([]byte, maxBodyBytes)
	i.startTarget("large", func(w http.ResponseWriter, r *http.Request) {
		sign(w, r)
		_, _ = w.Write(large) // the caller may leave
	})
	i.startTarget("engine", func(w http.ResponseWriter, r *http.Request) {
		sign(w, r)
		w.Header().Set("Content-Type", "text/event-stream")
		fmt.Fprint(w, "id: 1\ndata: x\n\n")
	})
}

func (i *instance) startTarget(service string, handler http.HandlerFunc) {
	server := httptest.NewServer(handler)
	i.t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	i.store.Put(platform.TopicTargets, service+"1", fmt.Appendf(nil,
		`{"Service":"%s","Address":"%s","Zone":"dc","Version":"v1","Slots":1000,"State":"ready","ColdRemainingMs":0,"Sequence":1}`,
		service, server.Listener.Addr()))
}

func (i *instance) putSettings() {
	route := func(service, kind, more string) string {
		return fmt.Sprintf(`{"Name":"%[1]s","Hostname":"%[2]s","PathPrefix":"/%[1]s/","Type":"%[3]s","TimeoutMs":20000,"Service":"%[1]s","MaxAttempts":1%[4]s}`,
			service, host, kind, more)
	}
	upload := fmt.Sprintf(`{"Name":"upload","Hostname":"%s","PathPrefix":"/upload/","Type":"unsafe","TimeoutMs":600000,"Service":"app","MaxAttempts":1}`, host)
	timingOut := fmt.Sprintf(`{"Name":"late","Hostname":"%s","PathPrefix":"/late/","Type":"safe","TimeoutMs":200,"Service":"slow","MaxAttempts":2}`, host)
	routes := []string{
		route("app", "unsafe", ""), route("slow", "unsafe", ""), route("large", "unsafe", ""),
		route("engine", "streaming", `,"Retain":false,"RetentionS":60,"Resumable":true,"SessionAffinity":true`),
		timingOut, upload,
	}
	i.store.Put(platform.TopicOperator, platform.KeySettings, fmt.Appendf(nil,
		`{"Version":1,"Routes":[%s],"Services":[{"Name":"app"},{"Name":"slow"},{"Name":"large"},{"Name":"engine","Engine":{"StrideTokens":1}}],
		"Limits":{"MaxHeaderBytes":%d,"MaxBodyBytes":%d,"HeaderTimeoutMs":%d,"IdleTimeoutMs":%d}}`,
		strings.Join(routes, ","), maxHeaderBytes, maxBodyBytes, headerTimeoutMS, idleTimeoutMS))
}

func (i *instance) eventually(what string, condition func() bool) {
	i.t.Helper()
	for started := time.Now(); time.Since(started) < testTimeout; time.Sleep(20 * time.Millisecond) {
		if condition() {
			return
		}
		if i.ended() {
			i.t.Fatalf("the process ended: %s", i.process.Log())
		}
	}
	i.t.Fatalf("timed out after %s: %s", testTimeout, what)
}

func (i *instance) ended() bool {
	select {
	case <-i.process.Exited():
		return true
	default:
		return false
	}
}

func (i *instance) isReady() bool {
	return i.get("http://"+i.ready+platform.ReadyPath) == http.StatusOK
}

// get returns the status of a response on a connection of its own, 0 if there is none.
func (i *instance) get(url string) int {
	client := http.Client{Timeout: testTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get(url)
	if err != nil {
		return 0
	}
	_ = resp.Body.Close() // only the status matters
	return resp.StatusCode
}

// ordinary sends one ordinary request on a connection of its own and returns its status, 0
// if there is no response.
func (i *instance) ordinary() int {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+i.callers+"/app/x", strings.NewReader("body"))
	if err != nil {
		i.t.Fatal(err)
	}
	r.Host, r.Close = host, true
	r.Header.Set("Banyanglade-Request-Id", i.nextID())
	resp, err := http.DefaultTransport.RoundTrip(r)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return 0
	}
	return resp.StatusCode
}

func (i *instance) nextID() string { return fmt.Sprintf("r%d", i.requests.Add(1)) }

// openFDs returns the number of open descriptors, 0 if the process has ended.
func (i *instance) openFDs() int {
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", i.process.PID()))
	if err != nil {
		return 0
	}
	return len(entries)
}

// watch records the largest use of descriptors and memory until the test ends.
func (i *instance) watch() {
	done := make(chan struct{})
	var watch sync.WaitGroup
	i.t.Cleanup(func() {
		close(done)
		watch.Wait()
	})
	watch.Go(func() {
		ticker := time.NewTicker(10 * time.Millisecond)
		defer ticker.Stop()
		for {
			select {
			case <-done:
				return
			case <-ticker.C:
				i.measure()
			}
		}
	})
}

func (i *instance) measure() {
	i.maxOpenFDs.Store(max(i.maxOpenFDs.Load(), int64(i.openFDs())))
	i.peakMemory.Store(max(i.peakMemory.Load(), i.residentPeak()))
}

// residentPeak returns the largest resident memory of the process so far, in bytes, 0 if
// it has ended.
func (i *instance) residentPeak() int64 {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", i.process.PID()))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(status)) {
		value, found := strings.CutPrefix(line, "VmHWM:")
		if !found {
			continue
		}
		kb, err := strconv.ParseInt(strings.TrimSuffix(strings.TrimSpace(value), " kB"), 10, 64)
		if err != nil {
			i.t.Error(err)
		}
		return kb << 10
	}
	return 0
}

// check checks that the process lives within the bounds of its machine.
func (i *instance) check() {
	i.t.Helper()
	if i.ended() {
		i.t.Fatalf("the process ended: %s", i.process.Log())
	}
	i.measure()
	i.checkBounds()
}

// checkBounds checks the memory and descriptors of the process so far.
func (i *instance) checkBounds() {
	i.t.Helper()
	peak, open := i.peakMemory.Load(), i.maxOpenFDs.Load()
	i.t.Logf("peak memory %d MB, %d descriptors", peak>>20, open)
	if peak > memoryMB<<20 {
		i.t.Errorf("peak memory is %d MB, the machine has %d MB", peak>>20, memoryMB)
	}
	if open > maxFDs {
		i.t.Errorf("%d descriptors were open, the machine has %d", open, maxFDs)
	}
}

// checkAfterwards checks that the instance serves and has freed the descriptors.
func (i *instance) checkAfterwards() {
	i.t.Helper()
	i.check()
	i.eventually("an ordinary request is served", func() bool { return i.ordinary() == http.StatusOK })
	i.eventually("the instance is ready", i.isReady)
	i.eventually("descriptors are freed", func() bool { return i.openFDs() <= i.fdsBefore+leftoverFDs })
}

// client is one member of a crowd.
type client func(i *instance, conn net.Conn)

// crowd lets clients connect to an address and act until each has sent all it wants, was
// refused, or is blocked. Then all close their connections.
func (i *instance) crowd(address string, act client) {
	leave := i.hold(address, act)
	i.check()
	leave()
}

// hold is a crowd whose connections stay open until the returned function is called.
func (i *instance) hold(address string, act client) (leave func()) {
	conns := make([]net.Conn, crowdSize)
	var members sync.WaitGroup
	for n := range conns {
		members.Go(func() {
			dialer := net.Dialer{Timeout: blockedTimeout}
			conn, err := dialer.Dial("tcp", address)
			if err != nil {
				return // refused
			}
			conns[n] = conn
			act(i, conn)
		})
	}
	members.Wait()
	return func() {
		for _, conn := range conns {
			if conn != nil {
				_ = conn.Close() // the instance may have closed it
			}
		}
	}
}

// send writes text and reports whether the instance still takes it.
func send(conn net.Conn, text string) bool {
	if conn.SetWriteDeadline(time.Now().Add(blockedTimeout)) != nil {
		return false
	}
	_, err := io.WriteString(conn, text)
	return err == nil
}

// sendEndlessly sends a beginning, then repeats a text up to crowdBytes.
func sendEndlessly(beginning, repeated string) client {
	return sendUpTo(crowdBytes, beginning, repeated)
}

// sendUpTo sends a beginning, then repeats a text until size bytes were sent.
func sendUpTo(size int, beginning, repeated string) client {
	block := strings.Repeat(repeated, 1+(4<<10)/len(repeated))
	return func(_ *instance, conn net.Conn) {
		if !send(conn, beginning) {
			return
		}
		for sent := len(beginning); sent < size; sent += len(block) {
			if !send(conn, block[:min(len(block), size-sent)]) {
				return
			}
		}
	}
}
