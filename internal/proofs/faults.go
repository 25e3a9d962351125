package proofs

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/banyanglade/banyanglade/internal/testkit"
	"github.com/banyanglade/banyanglade/internal/wire"
)

// resumeSlack is how long a resumed instance may still break or ignore requests
// from before the pause.
const resumeSlack = 2 * time.Second

// openFaultWindow records that an instance is about to be killed or paused.
func (r *Rig) openFaultWindow(p *testkit.Process) *FaultWindow {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.faultCount++
	w := &FaultWindow{Instance: p.ID, From: time.Now()}
	r.faultWindows = append(r.faultWindows, w)
	return w
}

// Kill kills an instance (SIGKILL) and removes it from the balancer and, unless
// listed is set, from the membership list.
func (r *Rig) Kill(p *testkit.Process, listed bool) {
	r.openFaultWindow(p)
	p.Kill()
	r.removeEndpoint(p)
	r.removeInstance(p, listed)
}

// removeInstance removes a process that has ended. With listed set, it stays in the
// membership list.
func (r *Rig) removeInstance(p *testkit.Process, listed bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.removed = append(r.removed, p)
	r.Remove(p)
	if listed {
		r.Members.Put(r.Member(p, wire.MemberStateLive))
	}
}

// Unlist removes an instance from the membership list.
func (r *Rig) Unlist(p *testkit.Process) { r.Members.Remove(p.ID) }

// Pause stops an instance (SIGSTOP); resume continues it (SIGCONT).
func (r *Rig) Pause(p *testkit.Process) (resume func() error, err error) {
	w := r.openFaultWindow(p)
	if err := p.Pause(); err != nil {
		return nil, errors.Wrap(err, "pause")
	}
	return func() error {
		err := p.Resume()
		r.mu.Lock()
		defer r.mu.Unlock()
		w.To = time.Now().Add(resumeSlack)
		return errors.Wrap(err, "resume")
	}, nil
}

// Add starts another instance, waits until it is ready, and adds it to the
// balancer.
func (r *Rig) Add(ctx context.Context) (*testkit.Process, error) {
	p, err := r.AddUnready()
	if err != nil {
		return nil, err
	}
	if err := r.WaitReady(ctx, p); err != nil {
		return nil, err
	}
	r.addEndpoint(p)
	return p, nil
}

// AddUnready starts another instance without waiting for it to become ready.
func (r *Rig) AddUnready() (*testkit.Process, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	p, err := r.StartInstance()
	return p, errors.Wrap(err, "start an instance")
}

// Replace kills an instance and starts another in its place.
func (r *Rig) Replace(ctx context.Context, p *testkit.Process) error {
	r.Kill(p, false)
	_, err := r.Add(ctx)
	return err
}

// drainTimeout bounds the wait for a graceful shutdown.
const drainTimeout = 40 * time.Second

// Drain shuts an instance down gracefully (SIGTERM) and waits for its exit. It opens
// no fault window, since a graceful shutdown must not break any request.
func (r *Rig) Drain(ctx context.Context, p *testkit.Process) error {
	r.countFault()
	r.removeEndpoint(p)
	if err := p.Terminate(); err != nil {
		return errors.Wrap(err, "terminate")
	}
	limited, cancel := context.WithTimeout(ctx, drainTimeout)
	defer cancel()
	select {
	case <-p.Exited():
	case <-limited.Done():
		return errors.Newf("instance %s did not exit after SIGTERM", p.ID)
	}
	r.removeInstance(p, false)
	if code := p.ExitCode(); code != 0 {
		return errors.Newf("instance %s exited with code %d after SIGTERM", p.ID, code)
	}
	return nil
}

// SetLogFaults sets the faults of the log service.
func (r *Rig) SetLogFaults(faults wire.LogFaults) {
	if faults != (wire.LogFaults{}) {
		r.countFault()
	}
	r.Log.SetFaults(faults)
}

// SetMemberFaults sets the faults of the membership service.
func (r *Rig) SetMemberFaults(faults wire.MemberFaults) {
	if faults != (wire.MemberFaults{}) {
		r.countFault()
	}
	r.Members.SetFaults(faults)
}

// SetTargetFaults sets the faults of one target.
func (r *Rig) SetTargetFaults(id string, faults wire.ServiceFaults) {
	if faults != (wire.ServiceFaults{}) {
		r.countFault()
	}
	if target, ok := r.Engines[id]; ok {
		target.Faults().Set(faults)
	}
	if target, ok := r.Services[id]; ok {
		target.Faults().Set(faults)
	}
}

// MarkLeaving marks a target as leaving. After the grace period it may receive no
// requests.
func (r *Rig) MarkLeaving(id string, grace time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.faultCount++
	r.leaving = append(r.leaving, LeavingTarget{Target: id, At: time.Now(), Grace: grace})
	r.Members.SetLeaving(id)
}
