package journal

// normalize initializes the nil maps of a decoded state. It returns false if a
// map holds a nil value: a malformed snapshot must not make a reader panic.
func (s *State) normalize() bool {
	initMap(&s.Writers)
	initMap(&s.Programs)
	initMap(&s.Ledgers)
	initMap(&s.Accounts)
	if hasNil(s.Writers) || hasNil(s.Programs) || hasNil(s.Ledgers) || hasNil(s.Accounts) {
		return false
	}
	for _, p := range s.Programs {
		if !p.normalize() {
			return false
		}
	}
	for _, l := range s.Ledgers {
		initMap(&l.Grants)
	}
	for _, a := range s.Accounts {
		initMap(&a.Chunks)
		initMap(&a.Grants)
		if hasNil(a.Chunks) {
			return false
		}
	}
	return true
}

func (p *Program) normalize() bool {
	initMap(&p.Lanes)
	initMap(&p.Calls)
	initMap(&p.Open)
	initMap(&p.Chunks)
	initMap(&p.Placements)
	initMap(&p.Services)
	return !hasNil(p.Lanes) && !hasNil(p.Calls) && !hasNil(p.Open) && !hasNil(p.Chunks) && !hasNil(p.Placements)
}

func initMap[K comparable, V any](m *map[K]V) {
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
