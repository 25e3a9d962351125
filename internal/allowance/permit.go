package allowance

import "time"

// permit is a request that was let in.
type permit struct {
	manager *Manager
	queue   *queue
	// first tells that it begins a program.
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

// Release implements serve.Permit. It is told at once: what came back later
// would count for a window in which it was not dealt out.
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

// noPermit is that of a request without a limit.
type noPermit struct{}

func (noPermit) CountRerun()          {}
func (noPermit) Utilization() float64 { return 0 }
func (noPermit) Release()             {}
