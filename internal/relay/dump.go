package relay

import (
	"time"
)

// Dump is the state of an instance's topics for debugging.
type Dump struct {
	// Relay reports whether the instance reads the topics from the store; Source is the
	// address of the relay that it polls otherwise.
	Relay  bool   `json:"relay"`
	Source string `json:"source,omitempty"`
	// Ages maps each topic to the time since its copy was last known to be current, in
	// seconds.
	Ages map[string]float64 `json:"ages"`
	// Slots are the known slot holders, Unresponsive the addresses of
	// unresponsive relays.
	Slots        map[string]Holder `json:"slots"`
	Unresponsive []string          `json:"silent,omitempty"`
}

// Dump returns the state of this instance's topics.
func (n *Node) Dump(now time.Time) Dump {
	d := Dump{Relay: n.reading.Load(), Ages: make(map[string]float64), Slots: n.slotHolders()}
	if source := n.source.Load(); source != nil {
		d.Source = *source
	}
	for _, f := range n.Topics {
		d.Ages[f.Topic.Name] = f.Topic.Age(now).Seconds()
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	for address, f := range n.failures {
		if !f.unresponsiveSince.IsZero() {
			d.Unresponsive = append(d.Unresponsive, address)
		}
	}
	return d
}
