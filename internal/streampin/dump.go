package streampin

// Dump is the state of a Manager in a dump.
type Dump struct {
	// Pins is the number of streams whose versions are known here, Shared the number of
	// those that other instances know, too.
	Pins   int `json:"pins"`
	Shared int `json:"shared"`
}

// Dump returns the state of the Manager.
func (m *Manager) Dump() Dump {
	m.mu.Lock()
	defer m.mu.Unlock()
	d := Dump{Pins: len(m.pins.pins)}
	for _, p := range m.pins.pins {
		if p.shared {
			d.Shared++
		}
	}
	return d
}
