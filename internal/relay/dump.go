package relay

import (
	"time"
)

// Dump is what an instance tells of how it keeps its topics.
type Dump struct {
	// Relay tells that it reads them from the store; Source is the relay that it
	// asks otherwise.
	Relay  bool   `json:"relay"`
	Source string `json:"source,omitempty"`
	// Ages are how long ago each topic was last known to be the newest, in seconds.
	Ages map[string]float64 `json:"ages"`
	// Slots are the relays that it knows, Silent those that did not answer it.
	Slots  map[string]Holder `json:"slots"`
	Silent []string          `json:"silent,omitempty"`
}

// Dump tells how this instance keeps its topics.
func (n *Node) Dump(now time.Time) Dump {
	d := Dump{Relay: n.reading.Load(), Ages: make(map[string]float64), Slots: n.entries()}
	if source := n.source.Load(); source != nil {
		d.Source = *source
	}
	for _, f := range n.Topics {
		d.Ages[f.Topic.Name] = f.Topic.Age(now).Seconds()
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	for address, f := range n.failures {
		if !f.since.IsZero() {
			d.Silent = append(d.Silent, address)
		}
	}
	return d
}
