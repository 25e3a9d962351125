package allowance

import "time"

// permit is an admitted request.
type permit struct {
	manager *Manager
	queue   *queue
	// first indicates that the request starts a program.
	first bool
}

// CountRerun counts one more run of the request.
func (p permit) CountRerun() {
	p.manager.mu.Lock()
	defer p.manager.mu.Unlock()
	p.queue.reruns++
}

// Utilization implements serve.Permit.
func (p permit) Utilization() float64 {
	p.manager.mu.Lock()
	defer p.manager.mu.Unlock()
	return p.queue.usage.current(time.Now())
}

// Release implements serve.Permit. It notifies the coordinator at once: a later return
// would count for a window in which the permit was not allocated.
func (p permit) Release() {
	p.manager.mu.Lock()
	defer p.manager.mu.Unlock()
	if p.first {
		p.queue.returnedStarts++
	} else {
		p.queue.returned++
	}
	p.manager.metrics.returned.Inc(1)
	p.manager.sendRequest(p.queue, time.Now())
}

// noPermit is the permit of a request without a limit.
type noPermit struct{}

func (noPermit) CountRerun()          {}
func (noPermit) Utilization() float64 { return 0 }
func (noPermit) Release()             {}
