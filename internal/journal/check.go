package journal

// complete makes a decoded state fit for use: missing maps become empty ones.
// It returns false if a row is missing, which no writer of this package does.
// A snapshot from the log may hold anything; a reader must not fail on it.
func (s *State) complete() bool {
	ensure(&s.Writers)
	ensure(&s.Programs)
	ensure(&s.Ledgers)
	ensure(&s.Accounts)
	if hasNil(s.Writers) || hasNil(s.Programs) || hasNil(s.Ledgers) || hasNil(s.Accounts) {
		return false
	}
	for _, p := range s.Programs {
		if !p.complete() {
			return false
		}
	}
	for _, l := range s.Ledgers {
		ensure(&l.Grants)
	}
	for _, a := range s.Accounts {
		ensure(&a.Chunks)
		ensure(&a.Grants)
		if hasNil(a.Chunks) {
			return false
		}
	}
	return true
}

func (p *Program) complete() bool {
	ensure(&p.Lanes)
	ensure(&p.Calls)
	ensure(&p.Open)
	ensure(&p.Chunks)
	ensure(&p.Placements)
	ensure(&p.Services)
	return !hasNil(p.Lanes) && !hasNil(p.Calls) && !hasNil(p.Open) && !hasNil(p.Chunks) && !hasNil(p.Placements)
}

func ensure[K comparable, V any](m *map[K]V) {
	if *m == nil {
		*m = make(map[K]V)
	}
}

func hasNil[K comparable, V any](m map[K]*V) bool {
	for _, row := range m {
		if row == nil {
			return true
		}
	}
	return false
}
