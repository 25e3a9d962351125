// Package harness runs a small deployment of the project's own programs as separate
// processes on loopback, with stand-ins of the platform's store and of runners.
package harness

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/banyanglade/banyanglade/internal/standin/metastore"
	"github.com/banyanglade/banyanglade/platform"
)

// Bounds of the deployment, as on the sheet of lakeshore-filing.
const (
	HeartbeatMs = 1200
	DrainMs     = 2000
	ConfigMs    = 2000
	GraceS      = 8
	StableMs    = 3000
	MemoryMb    = 144
	RetentionS  = 60
	partitions  = 12
	engineSlots = 16
	appSlots    = 6
)

// Names of the deployment. Those of the users are drawn anew for each day.
const (
	Host          = "ficu95.example"
	EngineService = "huvo11a"
	AppService    = "wuno96b"
)

var zones = []string{"duluth-hall", "erie-hall", "huron-hall"}

// Recorder writes what was sent, answered and run, with the time since its start.
type Recorder struct {
	mu      sync.Mutex
	file    *os.File
	started time.Time
}

// NewRecorder creates the file.
func NewRecorder(path string) (*Recorder, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &Recorder{file: file, started: time.Now()}, nil
}

// Logf writes one line.
func (r *Recorder) Logf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, args...))
}

// At returns a time as it is written in the record.
func (r *Recorder) At(t time.Time) string { return fmt.Sprintf("%.3f", t.Sub(r.started).Seconds()) }

// Close closes the file.
func (r *Recorder) Close() { _ = r.file.Close() }

// Instance is one process of the system, with the addresses at which it is called.
type Instance struct {
	Name     string
	Frontend string
	Ready    string
	control  string
	env      []string
	log      *os.File

	mu      sync.Mutex
	command *exec.Cmd
	ended   bool
}

// Runner is a stand-in of a runner, a process of its own.
type Runner struct {
	ID      string
	Service string
	Address string
	Zone    string
	runs    string
	Command *exec.Cmd
	silent  bool
	state   string
}

// Deployment is a store, runners and instances.
type Deployment struct {
	Record    *Recorder
	Store     *metastore.Service
	Instances []*Instance
	dir       string
	root      string
	stop      chan struct{}
	done      sync.WaitGroup

	mu       sync.Mutex
	runners  []*Runner
	sequence int
}

// New starts the store's stand-in. The root is the project's folder.
func New(root, dir string, record *Recorder) *Deployment {
	d := &Deployment{Record: record, Store: metastore.Start(), dir: dir, root: root, stop: make(chan struct{})}
	d.done.Go(d.beat)
	return d
}

// Close kills all processes that were started, and waits for them.
func (d *Deployment) Close() {
	close(d.stop)
	d.done.Wait()
	for _, i := range d.Instances {
		i.end()
	}
	for _, r := range d.runners {
		if r.Command.ProcessState == nil {
			_ = r.Command.Process.Kill()
			_ = r.Command.Wait()
		}
	}
	d.Store.Close()
}

// freeAddresses returns free loopback addresses.
func freeAddresses(count int) ([]string, error) {
	var addresses []string
	for range count {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		defer func() { _ = l.Close() }()
		addresses = append(addresses, l.Addr().String())
	}
	return addresses, nil
}

// StartInstances starts instances, one zone after the other, and waits until they are
// ready.
func (d *Deployment) StartInstances(count int) error {
	var seeds []string
	for n := range count {
		addresses, err := freeAddresses(3)
		if err != nil {
			return err
		}
		i := &Instance{
			Name:     fmt.Sprintf("edge-%s-%d", zones[n%len(zones)], n/len(zones)+1),
			Frontend: addresses[0], Ready: addresses[1], control: addresses[2],
		}
		if len(seeds) < 3 {
			seeds = append(seeds, i.control)
		}
		d.Instances = append(d.Instances, i)
	}
	for n, i := range d.Instances {
		if err := d.configure(i, zones[n%len(zones)], seeds); err != nil {
			return err
		}
		if err := d.launch(i); err != nil {
			return err
		}
	}
	return d.AwaitReady(10 * time.Second)
}

func (d *Deployment) configure(i *Instance, zone string, seeds []string) error {
	regions := make(map[string]string)
	for _, z := range zones {
		regions[z] = "great-lakes"
	}
	settings, err := json.MarshalIndent(map[string]any{
		"Node": i.Name, "Role": "banyanglade", "MachineClass": "edge", "Serves": []string{"edge", "control_plane"},
		"Ip": "127.0.0.1", "Zone": zone, "Region": "great-lakes", "Zones": regions,
		"Listen": map[string]string{"Frontend": i.Frontend, "Ready": i.Ready, "Control": i.control},
		"Seeds":  seeds, "Bootstrap": true, "LossCounts": false,
		"Limits":    map[string]any{"CpuShare": 0.8, "Cores": 1, "MemoryMb": MemoryMb, "MaxFds": 8200, "LinkMbps": 1000, "DiskMb": 0},
		"Discovery": "platform", "Entry": "vip", "HeartbeatMs": HeartbeatMs,
		"Contracts":      []string{"base", "drain", "config", "cost", "recover", "agent", "stream", "engine", "platform"},
		"FaultTolerance": map[string]int{"Machines": 1, "Zones": 0, "Regions": 0},
		"Bounds": map[string]any{
			"SeedLagS": 3, "ReuseAfterS": 2, "StableWindowMs": StableMs, "AckMs": 4000, "CatchUpS": 4, "DrainMs": DrainMs,
			"GraceS": GraceS, "LossSlackMs": 200, "ConfigMs": ConfigMs, "RollbackSlackMs": 250, "MaxSkewMs": 5000,
			"RecoverS": 12, "PassMs": 120, "AgainS": 0, "FinishS": 10, "SettleMs": 1000,
		},
		"Platform": map[string]any{
			"Address": d.Store.Address(), "form": "log", "WritesPerS": 800, "ReadsPerS": 2000, "parts": partitions,
			"AppendMs": 2.0, "IngressPerS": 20.0, "EgressPerS": 80.0, "RecordBytes": 262144, "CallBytes": 2097152,
			"RetentionS": 300, "PartMb": 200, "TtlMinMs": 1000,
		},
	}, "", "  ")
	if err != nil {
		return err
	}
	path := filepath.Join(d.dir, i.Name+".json")
	i.env = []string{
		"PATH=" + os.Getenv("PATH"), "HOME=" + d.dir, "BANYANGLADE_SETTINGS=" + path,
		"BANYANGLADE_PEER_KEY=replace-me-per-deployment-0001",
	}
	return os.WriteFile(path, settings, 0o600)
}

// Kill kills the process of an instance.
func (i *Instance) Kill() { i.kill() }

// Restart starts an instance again after its process was killed.
func (d *Deployment) Restart(i *Instance) error { return i.start(d.root) }

// MostClaims returns the instance that has claimed the most partitions at the store by a
// conditional write, and how many.
func (d *Deployment) MostClaims() (*Instance, int, error) {
	store := platform.NewStore(d.Store.Address(), tally.NoopScope)
	claims := make(map[string]int)
	for part := range partitions {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		list, err := store.Newest(ctx, "keyed.budgets", part)
		cancel()
		if err != nil {
			return nil, 0, err
		}
		for _, r := range list.Records {
			var claim struct {
				Owner string `json:"owner"`
			}
			if r.Key == "owner" && json.Unmarshal(r.Value, &claim) == nil {
				machine, _, _ := strings.Cut(claim.Owner, "~")
				claims[machine]++
			}
		}
	}
	var most *Instance
	for _, i := range d.Instances {
		if most == nil || claims[i.Name] > claims[most.Name] {
			most = i
		}
	}
	if claims[most.Name] == 0 {
		return nil, 0, errors.New("no instance has claimed a partition")
	}
	return most, claims[most.Name], nil
}

// launch starts an instance with the command of the deploy file.
func (d *Deployment) launch(i *Instance) error {
	var err error
	if i.log, err = os.Create(filepath.Join(d.dir, i.Name+".log")); err != nil {
		return err
	}
	return i.start(d.root)
}

// start starts the next process, unless the deployment has been closed.
func (i *Instance) start(root string) error {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.ended {
		return nil
	}
	i.command = exec.Command("target/banyanglade", "edge")
	i.command.Dir, i.command.Env = root, i.env
	i.command.Stdout, i.command.Stderr = i.log, i.log
	return i.command.Start()
}

// kill kills the process and waits for its end.
func (i *Instance) kill() {
	i.mu.Lock()
	defer i.mu.Unlock()
	_ = i.command.Process.Kill()
	_ = i.command.Wait() // killed
}

// end kills the process for good.
func (i *Instance) end() {
	i.mu.Lock()
	if i.ended || i.command == nil {
		i.mu.Unlock()
		return
	}
	i.ended = true
	i.mu.Unlock()
	i.kill()
	_ = i.log.Close()
}

// memoryMb returns the resident memory of the process, 0 if it has none.
func (i *Instance) memoryMb() int {
	i.mu.Lock()
	defer i.mu.Unlock()
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", i.command.Process.Pid))
	if err != nil {
		return 0
	}
	var size, resident int
	if _, err := fmt.Sscan(string(data), &size, &resident); err != nil {
		return 0
	}
	return resident * os.Getpagesize() >> 20
}

const (
	// memoryInterval is the time between two looks at a process's memory.
	memoryInterval = 20 * time.Millisecond
	// restartDelay is the time after which a killed process is started again.
	restartDelay = 500 * time.Millisecond
)

// LimitMemory does what the platform does: it kills a process that exceeds its memory, and
// starts it again after a short delay. It calls the function at each kill.
func (d *Deployment) LimitMemory(killed func(i *Instance, megabytes int)) {
	for _, i := range d.Instances {
		d.done.Go(func() {
			for d.sleep(memoryInterval) {
				used := i.memoryMb()
				if used <= MemoryMb {
					continue
				}
				killed(i, used)
				i.kill()
				if !d.sleep(restartDelay) {
					return
				}
				if err := i.start(d.root); err != nil {
					d.Record.Logf("%s did not start again: %v", i.Name, err)
					return
				}
			}
		})
	}
}

// sleep returns false if the deployment is closed meanwhile.
func (d *Deployment) sleep(pause time.Duration) bool {
	select {
	case <-d.stop:
		return false
	case <-time.After(pause):
		return true
	}
}

// IsReady reports whether an instance says that it is ready.
func (i *Instance) IsReady() bool {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + i.Ready + "/banyanglade/ready")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// AwaitReady waits until all instances are ready.
func (d *Deployment) AwaitReady(patience time.Duration) error {
	for end := time.Now().Add(patience); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, i := range d.Instances {
			if i.IsReady() {
				ready++
			}
		}
		if ready == len(d.Instances) {
			return nil
		}
	}
	return fmt.Errorf("the instances are not ready after %s", patience)
}

// StartRunner starts a runner as a process of this program, and registers it.
func (d *Deployment) StartRunner(service, id, zone string, arguments ...string) (*Runner, error) {
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	r := &Runner{ID: id, Service: service, Zone: zone, runs: filepath.Join(d.dir, id+".runs"), state: "ready"}
	r.Command = exec.Command(self, append([]string{"runner", "-id", id, "-runs", r.runs}, arguments...)...)
	r.Command.Stderr = os.Stderr
	output, err := r.Command.StdoutPipe()
	if err != nil {
		return nil, err
	}
	if err := r.Command.Start(); err != nil {
		return nil, err
	}
	if _, err := fmt.Fscanln(output, &r.Address); err != nil {
		return nil, fmt.Errorf("runner %s: %w", id, err)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.runners = append(d.runners, r)
	d.register(r)
	return r, nil
}

// Runners lists the runners.
func (d *Deployment) Runners() []*Runner {
	d.mu.Lock()
	defer d.mu.Unlock()
	return append([]*Runner(nil), d.runners...)
}

// register writes a runner's entry. The mutex is held.
func (d *Deployment) register(r *Runner) {
	d.sequence++
	kind := map[string]any{
		"Service": r.Service, "Address": r.Address, "Zone": r.Zone, "Version": "v1", "Slots": slotsOf(r.Service), "State": r.state,
		"ColdRemainingMs": 0, "Sequence": d.sequence,
	}
	value, err := json.Marshal(kind)
	if err != nil {
		panic(err)
	}
	d.Store.Put("keyed.servers", r.ID, value)
}

// slotsOf returns the slots of a runner, as on the sheet.
func slotsOf(service string) int {
	if service == EngineService {
		return engineSlots
	}
	return appSlots
}

// Drain registers a runner as draining and returns the time of the store's
// acknowledgement.
func (d *Deployment) Drain(r *Runner) time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	r.state = "draining"
	d.register(r)
	return time.Now()
}

// Crash kills a runner's process. Its entry goes after three heartbeats.
func (d *Deployment) Crash(r *Runner) error {
	d.mu.Lock()
	r.silent = true
	d.mu.Unlock()
	if err := r.Command.Process.Kill(); err != nil {
		return err
	}
	_ = r.Command.Wait() // killed
	time.AfterFunc(3*HeartbeatMs*time.Millisecond, func() { d.Store.Put("keyed.servers", r.ID, nil) })
	return nil
}

// beat renews the entries of the runners.
func (d *Deployment) beat() {
	ticker := time.NewTicker(HeartbeatMs * time.Millisecond)
	defer ticker.Stop()
	for {
		select {
		case <-d.stop:
			return
		case <-ticker.C:
		}
		d.mu.Lock()
		for _, r := range d.runners {
			if !r.silent {
				d.register(r)
			}
		}
		d.mu.Unlock()
	}
}

// Run is what a runner recorded as it began to run a request.
type Run struct {
	Runner string
	At     time.Time
	ID     string
	Method string
	Path   string
	Body   int
}

// Runs reads what the runners have run.
func (d *Deployment) Runs() ([]Run, error) {
	var runs []Run
	for _, r := range d.Runners() {
		data, err := os.ReadFile(r.runs)
		if err != nil {
			return nil, err
		}
		for line := range strings.Lines(string(data)) {
			run := Run{Runner: r.ID}
			var at int64
			if _, err := fmt.Sscanf(line, "%d %s %s %s %d", &at, &run.ID, &run.Method, &run.Path, &run.Body); err != nil {
				return nil, fmt.Errorf("runs of %s: %q: %w", r.ID, line, err)
			}
			run.At = time.Unix(0, at)
			runs = append(runs, run)
		}
	}
	return runs, nil
}

// Note is what a runner noted besides its runs.
type Note struct {
	Runner string
	At     time.Time
	Text   string
}

// Notes reads what the runners noted.
func (d *Deployment) Notes() ([]Note, error) {
	var notes []Note
	for _, r := range d.Runners() {
		data, err := os.ReadFile(r.runs + ".notes")
		if err != nil {
			return nil, err
		}
		for line := range strings.Lines(string(data)) {
			at, text, _ := strings.Cut(strings.TrimSpace(line), " ")
			nano, err := strconv.ParseInt(at, 10, 64)
			if err != nil {
				return nil, fmt.Errorf("notes of %s: %q: %w", r.ID, line, err)
			}
			notes = append(notes, Note{Runner: r.ID, At: time.Unix(0, nano), Text: text})
		}
	}
	return notes, nil
}

// PublishManifest writes the manifest.
func (d *Deployment) PublishManifest(engineAttempts int) error {
	value, err := json.Marshal(map[string]any{
		"Version": 7,
		"Routes": []any{
			map[string]any{
				"Name": "r-hh2b9wu", "Hostname": Host, "PathPrefix": "/lohu930/", "Type": "streaming", "TimeoutMs": 4000,
				"TargetLatencyMs": 250, "Priority": 0, "Service": EngineService, "MaxAttempts": engineAttempts, "Retain": false,
				"RetentionS": float64(RetentionS), "SessionAffinity": true, "Resumable": true, "GapAimMs": 200,
			},
			map[string]any{
				"Name": "r-p2", "Hostname": Host, "PathPrefix": "/pule252/", "Type": "safe", "TimeoutMs": 1500,
				"TargetLatencyMs": 250, "Priority": 2, "Service": AppService, "MaxAttempts": 2,
			},
			map[string]any{
				"Name": "r-p3", "Hostname": Host, "PathPrefix": "/puxa403/", "Type": "unsafe", "TimeoutMs": 6000,
				"TargetLatencyMs": 800, "Priority": 2, "Service": AppService, "MaxAttempts": 1,
			},
		},
		"Services": []any{
			map[string]any{
				"Name": EngineService, "HealthPath": "/health", "MaxConnections": 180, "Protocol": "h1", "Tls": false,
				"Engine": map[string]any{"Slots": 16, "KvCapacity": 182302, "KvTokenBytes": 18432, "LinkMbps": 130000.0, "StrideTokens": 10},
			},
			map[string]any{"Name": AppService, "HealthPath": "/health", "MaxConnections": 110, "Protocol": "h1", "Tls": false},
		},
		"Limits": map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
	})
	if err != nil {
		return err
	}
	d.Store.Put("keyed.op", "config", value)
	return nil
}
