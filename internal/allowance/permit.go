package allowance

// permit is a request that was let in.
type permit struct {
	keeper *Keeper
	purse  *purse
}

// Unused gives back a request that did not run.
func (p permit) Unused() {
	p.keeper.mu.Lock()
	defer p.keeper.mu.Unlock()
	p.purse.giveBack()
}

// Again counts one more run of the request.
func (p permit) Again() {
	p.keeper.mu.Lock()
	defer p.keeper.mu.Unlock()
	p.purse.debt++
}

// noPermit is that of a request without a limit.
type noPermit struct{}

func (noPermit) Unused() {}
func (noPermit) Again()  {}
