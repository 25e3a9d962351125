package streampin

import (
	"time"

	"github.com/banyanglade/banyanglade/internal/structs"
)

// DefaultMaxPins bounds the pins in memory where the configuration does not.
const DefaultMaxPins = 1 << 16

// pin is a known pin.
type pin struct {
	structs.StreamPin
	expiresAt time.Time
	// shared indicates that other instances were sent the pin, or that one of them sent
	// it.
	shared bool
	// conflicting indicates that two origins were recorded for the stream.
	conflicting bool
}

// contradicts reports whether another pin of the same stream names another origin.
func (p *pin) contradicts(other structs.StreamPin) bool {
	return p.Service != other.Service || p.Version != other.Version
}

// table holds pins by stream.
type table struct {
	pins map[string]*pin
	// max bounds the number of pins.
	max int
}

func newTable(max int) *table { return &table{pins: make(map[string]*pin), max: max} }

// put adds a pin. One that contradicts the known pin makes the origin unknown.
func (t *table) put(added structs.StreamPin, shared bool, now time.Time) {
	if known, ok := t.pins[added.Stream]; ok && now.Before(known.expiresAt) {
		known.conflicting = known.conflicting || known.contradicts(added)
		known.shared = known.shared || shared
		return
	}
	if len(t.pins) >= t.max {
		t.evict()
	}
	t.pins[added.Stream] = &pin{StreamPin: added, expiresAt: now.Add(added.Lifetime), shared: shared}
}

// evict drops some pin.
func (t *table) evict() {
	for stream := range t.pins {
		delete(t.pins, stream)
		return
	}
}

// find returns the pin of a stream, false if its origin is unknown.
func (t *table) find(stream string, now time.Time) (structs.StreamPin, bool) {
	p, ok := t.pins[stream]
	if !ok || p.conflicting || !now.Before(p.expiresAt) {
		return structs.StreamPin{}, false
	}
	return p.StreamPin, true
}

// sweep drops the pins that have expired.
func (t *table) sweep(now time.Time) {
	for stream, p := range t.pins {
		if !now.Before(p.expiresAt) {
			delete(t.pins, stream)
		}
	}
}

// takeUnshared returns the pins of the included kind that no other instance has, and
// marks them as shared.
func (t *table) takeUnshared(include func(structs.StreamPin) bool) []structs.StreamPin {
	var unshared []structs.StreamPin
	for _, p := range t.pins {
		if !p.shared && include(p.StreamPin) {
			p.shared = true
			unshared = append(unshared, p.StreamPin)
		}
	}
	return unshared
}
