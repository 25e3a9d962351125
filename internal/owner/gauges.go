package owner

// Gauges are the sizes of an owner's tables, for metrics.
type Gauges struct {
	// Shards are owned; LogDown of them cannot reach the log.
	Shards  int
	LogDown int
	// Programs are held by the owned shards, Calls are live and Records wait
	// for the log.
	Programs int
	Calls    int
	Records  int
}

// Gauges gives the sizes of the owner's tables.
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
