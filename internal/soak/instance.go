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

// instance is one instance over all its incarnations. Its links to the store and from
// other instances go through relays, where faults are injected.
type instance struct {
	name          string
	callerAddress string
	readyAddress  string
	// peerAddress is the address behind peerRelay.
	peerAddress string
	env         []string
	// gracePeriod is the time from SIGTERM to SIGKILL.
	gracePeriod time.Duration
	storeRelay  *relay.Relay
	peerRelay   *relay.Relay

	mu          sync.Mutex
	incarnation *incarnation
}

// incarnation is one process of an instance.
type incarnation struct {
	instance *instance
	process  *testkit.Process
	started  time.Time

	// stopping is set before the test stops the process.
	stopping atomic.Bool

	mu sync.Mutex
	// terminated is the time of SIGTERM, zero if it was not sent. disrupted is true
	// if the process was also killed, paused or disconnected.
	terminated time.Time
	disrupted  bool
}

func (inc *incarnation) markDisrupted() {
	inc.mu.Lock()
	defer inc.mu.Unlock()
	inc.disrupted = true
}

// cleanShutdown returns the time of SIGTERM, and whether there was one and no other
// disruption.
func (inc *incarnation) cleanShutdown() (time.Time, bool) {
	inc.mu.Lock()
	defer inc.mu.Unlock()
	return inc.terminated, !inc.disrupted && !inc.terminated.IsZero()
}

// requestsMayBeCut returns the time from which on a process that was told to stop may cut
// requests: the last sixth of its grace period.
func (inst *instance) requestsMayBeCut(terminated time.Time) time.Time {
	return terminated.Add(inst.gracePeriod * 5 / 6)
}

// killed reports whether the process ended by a kill.
func (inc *incarnation) killed() bool {
	inc.mu.Lock()
	defer inc.mu.Unlock()
	return inc.disrupted && inc.stopping.Load()
}

// newInstance creates the settings file and the relays of an instance. The limits are those
// of its machine.
func newInstance(name, dir, store string, seeds []string, limits map[string]any, gracePeriod time.Duration) (*instance, error) {
	host := testkit.LoopbackHost()
	addresses, err := testkit.FreeAddresses(host, 3)
	if err != nil {
		return nil, err
	}
	inst := &instance{name: name, callerAddress: addresses[0], readyAddress: addresses[1], peerAddress: addresses[2], gracePeriod: gracePeriod}
	if inst.storeRelay, err = relay.New(store); err != nil {
		return nil, errors.Wrap(err, "relay to the store")
	}
	if inst.peerRelay, err = relay.New(addresses[2]); err != nil {
		return nil, errors.Wrap(err, "relay from other instances")
	}
	settings, err := json.Marshal(map[string]any{
		"Node": name, "Ip": host, "Zone": "dc", "Region": "region",
		"Listen": map[string]string{"Frontend": inst.callerAddress, "Ready": inst.readyAddress, "Control": inst.peerRelay.Address()},
		"Seeds":  seeds,
		"Limits": limits,
		"Bounds": map[string]any{
			"GraceS": gracePeriod.Seconds(), "QuotaWindowS": quotaWindow.Seconds(), "QuotaOver": quotaOver,
			"QuotaSlack": quotaSlack,
		},
		"Platform": map[string]any{
			"Address": inst.storeRelay.Address(), "parts": storePartitions, "RecordBytes": 1 << 18, "CallBytes": 1 << 21,
		},
	})
	if err != nil {
		return nil, errors.Wrap(err, "encode the settings")
	}
	path := filepath.Join(dir, name+".json")
	if err := os.WriteFile(path, settings, 0o600); err != nil {
		return nil, errors.Wrap(err, "write the settings")
	}
	inst.env = []string{
		"BANYANGLADE_SETTINGS=" + path, "BANYANGLADE_PEER_KEY=a key for the soak alone",
		"BANYANGLADE_PEER_LISTEN=" + inst.peerAddress, "BANYANGLADE_LOG_LEVEL=DEBUG",
	}
	return inst, nil
}

// start starts the next incarnation.
func (inst *instance) start(binary, dir string, h *history) error {
	inst.mu.Lock()
	defer inst.mu.Unlock()
	now := time.Now()
	process, err := testkit.Launch(binary, "edge", fmt.Sprintf("%s-%d", inst.name, now.UnixMilli()), inst.env, dir)
	if err != nil {
		return err
	}
	inc := &incarnation{instance: inst, process: process, started: now}
	inst.incarnation = inc
	go func() {
		<-process.Exited()
		if !inc.stopping.Load() {
			h.recordCrash(inc)
		}
	}()
	return nil
}

// current returns the current incarnation.
func (inst *instance) current() *incarnation {
	inst.mu.Lock()
	defer inst.mu.Unlock()
	return inst.incarnation
}

// kill kills the current incarnation.
func (inst *instance) kill() {
	inc := inst.current()
	inc.markDisrupted()
	inc.stopping.Store(true)
	inc.process.Kill()
}

// terminate sends SIGTERM to the current incarnation and waits for its exit. It is
// killed after the grace period.
func (inst *instance) terminate() {
	inc := inst.current()
	inc.stopping.Store(true)
	inc.mu.Lock()
	inc.terminated = time.Now()
	inc.mu.Unlock()
	if err := inc.process.Terminate(); err != nil {
		inc.markDisrupted() // it had already exited
		return
	}
	timer := time.NewTimer(inst.gracePeriod)
	defer timer.Stop()
	select {
	case <-inc.process.Exited():
	case <-timer.C:
		inc.markDisrupted()
		inc.process.Kill()
	}
}

// pause suspends the current incarnation for a duration.
func (inst *instance) pause(d time.Duration) {
	inc := inst.current()
	inc.markDisrupted()
	if inc.process.Pause() != nil {
		return // it has exited
	}
	time.Sleep(d)
	_ = inc.process.Resume() // it may have been killed since
}

func (inst *instance) close() {
	inst.kill()
	inst.storeRelay.Close()
	inst.peerRelay.Close()
}
