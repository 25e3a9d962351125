// Package rig runs instances of the deploy file as separate processes, with stand-ins of
// the platform, of targets and of callers, and records what each of them saw.
package rig

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/banyanglade/banyanglade/internal/standin/metastore"
)

// Exit codes of a case.
const (
	Held   = 0
	Broken = 1
	NotRun = 2
)

// Rig is one run of a case.
type Rig struct {
	Store *metastore.Service
	// Bounds are the bounds in the settings, those of SmallBounds if nil.
	Bounds map[string]any
	// Gates gives each machine its own gate to the store.
	Gates bool

	dir     string
	started time.Time
	mu      sync.Mutex
	record  *os.File
	targets []*Target
	nodes   []*Node
}

// New starts the store of a case and opens its record.
func New(recordPath string) (*Rig, error) {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	record, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	return &Rig{Store: metastore.Start(), dir: dir, started: time.Now(), record: record}, nil
}

// Logf adds a line with the time since the start to the record.
func (r *Rig) Logf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.record, "%8.3f  %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, args...))
}

// Close ends all processes and stand-ins of the case.
func (r *Rig) Close() {
	for _, n := range r.nodes {
		n.Kill()
	}
	for _, t := range r.targets {
		t.Stop()
	}
	for _, n := range r.nodes {
		if n.Gate != nil {
			_ = n.Gate.server.Close()
		}
	}
	r.Store.Close()
	_ = r.record.Close()
	_ = os.RemoveAll(r.dir)
}

// PutSettings writes a version of the operator's settings.
func (r *Rig) PutSettings(settings map[string]any) error {
	value, err := json.Marshal(settings)
	if err != nil {
		return err
	}
	r.Store.Put("keyed.op", "config", value)
	r.Logf("operator: version %v acknowledged", settings["Version"])
	return nil
}

// machineIP returns the loopback address of a machine. Outgoing connections do not use it,
// so that its free ports stay free.
func machineIP(number int) string {
	return fmt.Sprintf("127.77.%d.%d", os.Getpid()%250+1, number+1)
}

// freeAddress returns an address of a machine that no process listens on.
func freeAddress(ip string) (string, error) {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}

// GraceS is the time from SIGTERM to SIGKILL in seconds, as in the pages' example.
const GraceS = 8

// Node is one machine with its process.
type Node struct {
	Name   string
	Zone   string
	IP     string
	Caller string
	Ready  string
	Peer   string
	// Gate is nil unless the case has gates.
	Gate *Gate

	rig  *Rig
	env  []string
	mu   sync.Mutex
	cmd  *exec.Cmd
	done chan struct{}
}

// Zones are the zones of a case.
var Zones = []string{"duluth-hall", "erie-hall", "huron-hall"}

// NewNodes creates a number of machines in each of the first zones. The first machines of
// the zones are the seeds.
func (r *Rig) NewNodes(zones, perZone int) error {
	var seeds []string
	for i := range zones * perZone {
		zone := Zones[i%zones]
		n := &Node{Name: fmt.Sprintf("edge-%s-%d", zone, i/zones+1), Zone: zone, IP: machineIP(i), rig: r}
		for _, address := range []*string{&n.Caller, &n.Ready, &n.Peer} {
			var err error
			if *address, err = freeAddress(n.IP); err != nil {
				return err
			}
		}
		if len(seeds) < 3 {
			seeds = append(seeds, n.Peer)
		}
		r.nodes = append(r.nodes, n)
	}
	for _, n := range r.nodes {
		if r.Gates {
			gate, err := newGate(r.Store.Address())
			if err != nil {
				return err
			}
			n.Gate = gate
		}
		if err := n.writeSettings(seeds); err != nil {
			return err
		}
	}
	return nil
}

// Nodes returns the machines.
func (r *Rig) Nodes() []*Node { return r.nodes }

// SmallBounds are the bounds of the pages' example.
var SmallBounds = map[string]any{
	"SeedLagS": 3, "ReuseAfterS": 2, "StableWindowMs": 3000, "AckMs": 4000, "CatchUpS": 4, "DrainMs": 2000,
	"GraceS": GraceS, "LossSlackMs": 200, "ConfigMs": 2000, "RollbackSlackMs": 250, "MaxSkewMs": 5000,
	"RecoverS": 12, "PassMs": 120, "AgainS": 0, "FinishS": 10, "SettleMs": 1000,
}

func (n *Node) writeSettings(seeds []string) error {
	bounds := n.rig.Bounds
	if bounds == nil {
		bounds = SmallBounds
	}
	store := n.rig.Store.Address()
	if n.Gate != nil {
		store = n.Gate.listener.Addr().String()
	}
	zones := make(map[string]string)
	for _, zone := range Zones {
		zones[zone] = "great-lakes"
	}
	settings := map[string]any{
		"Node": n.Name, "Role": "banyanglade", "MachineClass": "edge", "Serves": []string{"edge", "control_plane"},
		"Ip": n.IP, "Zone": n.Zone, "Region": "great-lakes", "Zones": zones,
		"Listen":        map[string]string{"Frontend": n.Caller, "Ready": n.Ready, "Control": n.Peer},
		"InternalPorts": []int{7380, 7395}, "Seeds": seeds, "Bootstrap": true, "LossCounts": false,
		"Limits":  map[string]any{"CpuShare": 0.8, "Cores": 1, "MemoryMb": 144, "MaxFds": 8200, "LinkMbps": 1000.0, "DiskMb": 0},
		"DataDir": nil, "Discovery": "platform", "Entry": "vip", "HeartbeatMs": 1200,
		"Contracts":      []string{"base", "drain", "config", "cost", "recover", "agent", "stream", "engine", "platform"},
		"FaultTolerance": map[string]int{"Machines": 1, "Zones": 0, "Regions": 0},
		"Bounds":         bounds,
		"Platform": map[string]any{
			"Address": store, "form": "log", "WritesPerS": 800, "ReadsPerS": 2000, "parts": 12, "AppendMs": 2.0,
			"IngressPerS": 20.0, "EgressPerS": 80.0, "RecordBytes": 262144, "CallBytes": 2097152, "RetentionS": 300,
			"PartMb": 200, "TtlMinMs": 1000,
		},
	}
	value, err := json.Marshal(settings)
	if err != nil {
		return err
	}
	path := filepath.Join(n.rig.dir, n.Name+".json")
	n.env = []string{
		"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"),
		"BANYANGLADE_SETTINGS=" + path, "BANYANGLADE_PEER_KEY=replace-me-per-deployment-0001",
	}
	return os.WriteFile(path, value, 0o600)
}

// Start starts the process of the machine with the command of the deploy file.
func (n *Node) Start() error {
	n.mu.Lock()
	defer n.mu.Unlock()
	cmd := exec.Command("target/banyanglade", "edge")
	cmd.Env = n.env
	if path := os.Getenv("INSTANCE_LOG"); path != "" {
		out, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
		if err != nil {
			return err
		}
		defer out.Close()
		cmd.Stdout, cmd.Stderr = out, out
	}
	if err := cmd.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	go func() {
		_ = cmd.Wait()
		n.rig.Logf("platform: the process of %s has ended: %s", n.Name, cmd.ProcessState)
		close(done)
	}()
	n.cmd, n.done = cmd, done
	n.rig.Logf("platform: %s started, callers at %s", n.Name, n.Caller)
	return nil
}

// Signal sends a signal to the process.
func (n *Node) Signal(s syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cmd != nil {
		n.rig.Logf("platform: %s gets signal %s", n.Name, s)
		_ = n.cmd.Process.Signal(s)
	}
}

// Terminate sends SIGTERM, and SIGKILL after the grace period.
func (n *Node) Terminate() {
	n.Signal(syscall.SIGTERM)
	n.mu.Lock()
	done := n.done
	n.mu.Unlock()
	select {
	case <-done:
	case <-time.After(GraceS * time.Second):
		n.Kill()
	}
}

// Kill ends the process with SIGKILL and waits for its end.
func (n *Node) Kill() {
	n.mu.Lock()
	cmd, done := n.cmd, n.done
	n.mu.Unlock()
	if cmd == nil {
		return
	}
	_ = cmd.Process.Kill()
	<-done
}

// Done is closed when the current process has ended.
func (n *Node) Done() <-chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.done
}

// IsReady asks the machine's readiness address once.
func (n *Node) IsReady() bool {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + n.Ready + "/banyanglade/ready")
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// Relays returns the machines of a zone that hold a record of the topic keyed.relays, which
// is written under a condition.
func (r *Rig) Relays(zone string) ([]*Node, error) {
	resp, err := http.Get("http://" + r.Store.Address() + "/banyanglade/log-newest?Topic=keyed.relays&part=0")
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	var page struct {
		Items []struct {
			Key   string
			Value []byte
		} `json:"items"`
	}
	if err := json.NewDecoder(resp.Body).Decode(&page); err != nil {
		return nil, err
	}
	var found []*Node
	for _, item := range page.Items {
		for _, n := range r.nodes {
			if n.Zone == zone && strings.Contains(string(item.Value), `"`+n.Name+`"`) {
				found = append(found, n)
			}
		}
	}
	return found, nil
}

// AwaitReady waits until all machines are ready.
func (r *Rig) AwaitReady(limit time.Duration) error {
	deadline := time.Now().Add(limit)
	for _, n := range r.nodes {
		for !n.IsReady() {
			if time.Now().After(deadline) {
				return fmt.Errorf("%s is not ready after %s", n.Name, limit)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}
