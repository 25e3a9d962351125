package owner

// Gauges holds the sizes of an owner's tables, for metrics.
type Gauges struct {
	// Shards is the number of owned shards. LogDown counts those among them that
	// cannot reach the log.
	Shards  int
	LogDown int
	// Programs is the number of programs in the owned shards, Calls the number of
	// live calls, and Records the number of records not in the log yet.
	Programs int
	Calls    int
	Records  int
}

// Gauges returns the sizes of the owner's tables.
func (o *Owner) Gauges() Gauges {
	var g Gauges
	for _, s := range o.shards {
		if !s.owned() {
			continue
		}
		g.Shards++
		if s.logDown() {
			g.LogDown++
		}
		g.Programs += len(s.state.Programs)
		g.Calls += s.calls
		g.Records += len(s.app.queue) + len(s.app.inFlight)
	}
	return g
}
