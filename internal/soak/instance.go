package soak

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/banyanglade/banyanglade/internal/testkit"
	"github.com/banyanglade/banyanglade/internal/testkit/relay"
)

// gracePeriod is the time from SIGTERM to SIGKILL.
const gracePeriod = 6 * time.Second

// machine is where an instance runs, one life after the other. Its links to the
// store and from other instances go through relays.
type machine struct {
	name    string
	callers string
	ready   string
	env     []string
	store   *relay.Relay
	peers   *relay.Relay

	mu   sync.Mutex
	life *life
}

// life is one process on a machine.
type life struct {
	machine *machine
	process *testkit.Process
	started time.Time

	// ending tells that the soak ends it.
	ending atomic.Bool

	mu sync.Mutex
	// terminated is when it was asked to shut down, disturbed that it was also
	// killed, paused or cut off.
	terminated time.Time
	disturbed  bool
}

func (l *life) disturb() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.disturbed = true
}

// drained tells when the life was asked to shut down, if nothing else befell it.
func (l *life) drained() (time.Time, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.terminated, !l.disturbed && !l.terminated.IsZero()
}

// newMachine prepares a machine: its settings file and its relays.
func newMachine(name, dir, store string, seeds []string) (*machine, error) {
	host := testkit.LoopbackHost()
	addresses, err := testkit.FreeAddresses(host, 3)
	if err != nil {
		return nil, err
	}
	m := &machine{name: name, callers: addresses[0], ready: addresses[1]}
	if m.store, err = relay.New(store); err != nil {
		return nil, errors.Wrap(err, "relay to the store")
	}
	if m.peers, err = relay.New(addresses[2]); err != nil {
		return nil, errors.Wrap(err, "relay from other instances")
	}
	settings, err := json.Marshal(map[string]any{
		"Node": name, "Ip": host, "Zone": "dc", "Region": "region",
		"Listen": map[string]string{"Frontend": m.callers, "Ready": m.ready, "Control": m.peers.Address()},
		"Seeds":  seeds,
		"Bounds": map[string]any{
			"GraceS": gracePeriod.Seconds(), "QuotaWindowS": quotaWindow.Seconds(), "QuotaOver": quotaOver,
			"QuotaSlack": quotaSlack,
		},
		"Platform": map[string]any{
			"Address": m.store.Address(), "parts": storePartitions, "RecordBytes": 1 << 18, "CallBytes": 1 << 21,
		},
	})
	if err != nil {
		return nil, errors.Wrap(err, "encode the settings")
	}
	path := filepath.Join(dir, name+".json")
	if err := os.WriteFile(path, settings, 0o600); err != nil {
		return nil, errors.Wrap(err, "write the settings")
	}
	m.env = []string{
		"BANYANGLADE_SETTINGS=" + path, "BANYANGLADE_PEER_KEY=a key for the soak alone",
		"BANYANGLADE_PEER_LISTEN=" + addresses[2], "BANYANGLADE_LOG_LEVEL=DEBUG",
	}
	return m, nil
}

// start starts the next life.
func (m *machine) start(binary, dir string, h *history) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	process, err := testkit.Launch(binary, "edge", fmt.Sprintf("%s-%d", m.name, now.UnixMilli()), m.env, dir)
	if err != nil {
		return err
	}
	l := &life{machine: m, process: process, started: now}
	m.life = l
	go func() {
		<-process.Exited()
		if !l.ending.Load() {
			h.endedAlone(l)
		}
	}()
	return nil
}

// now is the present life.
func (m *machine) now() *life {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.life
}

// kill ends the present life at once.
func (m *machine) kill() {
	l := m.now()
	l.disturb()
	l.ending.Store(true)
	l.process.Kill()
}

// terminate asks the present life to shut down and waits for its end.
func (m *machine) terminate() {
	l := m.now()
	l.ending.Store(true)
	l.mu.Lock()
	l.terminated = time.Now()
	l.mu.Unlock()
	if err := l.process.Terminate(); err != nil {
		l.disturb() // it had ended already
		return
	}
	timer := time.NewTimer(gracePeriod)
	defer timer.Stop()
	select {
	case <-l.process.Exited():
	case <-timer.C:
		l.disturb()
		l.process.Kill()
	}
}

// pause freezes the present life for a while.
func (m *machine) pause(d time.Duration) {
	l := m.now()
	l.disturb()
	if l.process.Pause() != nil {
		return // it has ended
	}
	time.Sleep(d)
	_ = l.process.Resume() // it may have been killed meanwhile
}

func (m *machine) close() {
	m.kill()
	m.store.Close()
	m.peers.Close()
}
