package allowance

import "time"

// permit is a request that was let in.
type permit struct {
	keeper *Manager
	line   *line
	// first tells that it begins a program.
	first bool
}

// CountRerun counts one more run of the request.
func (p permit) CountRerun() {
	p.keeper.mu.Lock()
	defer p.keeper.mu.Unlock()
	p.line.debt++
}

// Utilization implements serve.Permit.
func (p permit) Utilization() float64 {
	p.keeper.mu.Lock()
	defer p.keeper.mu.Unlock()
	return p.line.told.now(time.Now())
}

// Release implements serve.Permit. It is told at once: what came back later
// would count for a window in which it was not dealt out.
func (p permit) Release() {
	p.keeper.mu.Lock()
	defer p.keeper.mu.Unlock()
	if p.first {
		p.line.returnedStarts++
	} else {
		p.line.returned++
	}
	p.keeper.metrics.returned.Inc(1)
	p.keeper.startAsk(p.line, time.Now())
}

// noPermit is that of a request without a limit.
type noPermit struct{}

func (noPermit) CountRerun()          {}
func (noPermit) Utilization() float64 { return 0 }
func (noPermit) Release()             {}
