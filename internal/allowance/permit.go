package allowance

import "time"

// permit is a request that was let in.
type permit struct {
	keeper *Manager
	line   *line
	// first tells that it begins a program.
	first bool
}

// Again counts one more run of the request.
func (p permit) Again() {
	p.keeper.mu.Lock()
	defer p.keeper.mu.Unlock()
	p.line.debt++
}

// Use implements serve.Permit.
func (p permit) Use() float64 {
	p.keeper.mu.Lock()
	defer p.keeper.mu.Unlock()
	return p.line.told.now(time.Now())
}

// GiveBack implements serve.Permit. It is told at once: what came back later
// would count for a window in which it was not dealt out.
func (p permit) GiveBack() {
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

func (noPermit) Again()       {}
func (noPermit) Use() float64 { return 0 }
func (noPermit) GiveBack()    {}
