package allowance

// permit is a request that was let in.
type permit struct {
	keeper *Keeper
	line   *line
}

// Again counts one more run of the request.
func (p permit) Again() {
	p.keeper.mu.Lock()
	defer p.keeper.mu.Unlock()
	p.line.debt++
}

// noPermit is that of a request without a limit.
type noPermit struct{}

func (noPermit) Again() {}
