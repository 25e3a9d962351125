package lostruns

// Dump is the state of a Manager in a dump.
type Dump struct {
	// Works is the number of pieces of work with lost runs known here.
	Works int `json:"works"`
}

// Dump returns the state of the Manager.
func (m *Manager) Dump() Dump {
	m.mu.Lock()
	defer m.mu.Unlock()
	return Dump{Works: len(m.runs.works)}
}
