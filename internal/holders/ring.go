package holders

import (
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/banyanglade/banyanglade/internal/directory"
	"github.com/banyanglade/banyanglade/internal/structs"
)

// Config configures a Ring.
type Config struct {
	Directory *directory.Directory
	// Slots is the number of groups of keys that the same instances hold. Key returns the
	// key of a slot for rendezvous hashing. With the keys of the budget partitions,
	// connections to these instances exist already.
	Slots int
	Key   func(slot int) string
	// Count is the number of holders of a slot.
	Count int
}

// Ring assigns keys to the other instances that hold their state. It is safe for
// concurrent use.
type Ring struct {
	Config

	mu sync.Mutex
	// slots are the holders of each slot, as of a version of the directory.
	slots   []slot
	version uint64
}

// slot holds the holders of one slot, nil if they have to be ranked again.
type slot struct {
	holders []structs.InstanceID
	// previous are the holders before the directory changed, changedAt is when others
	// took their place.
	previous  []structs.InstanceID
	changedAt time.Time
}

// NewRing returns a Ring.
func NewRing(config Config) *Ring {
	config.Slots = max(config.Slots, 1)
	return &Ring{Config: config, slots: make([]slot, config.Slots)}
}

// Of returns the holders of a key, in order. The caller must not change the list.
func (r *Ring) Of(key string) []structs.InstanceID {
	holders, _ := r.ofAt(key, time.Now())
	return holders
}

// OfStable returns the holders of a key, and whether they have been the same for at least
// a time, so that all of the state recorded within it is there.
func (r *Ring) OfStable(key string, age time.Duration) ([]structs.InstanceID, bool) {
	now := time.Now()
	holders, changedAt := r.ofAt(key, now)
	return holders, now.Sub(changedAt) >= age
}

// Refresh ranks the holders of all slots after a change of the directory. Without it, they
// are taken for as new as their first use.
func (r *Ring) Refresh() {
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.forget()
	for number := range r.slots {
		r.slotAt(number, now)
	}
}

func (r *Ring) ofAt(key string, now time.Time) ([]structs.InstanceID, time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.forget()
	s := r.slotAt(int(xxhash.Sum64String(key)%uint64(r.Slots)), now)
	return s.holders, s.changedAt
}

// slotAt returns a slot with its holders. The mutex is held.
func (r *Ring) slotAt(number int, now time.Time) *slot {
	s := &r.slots[number]
	if s.holders == nil {
		s.holders = r.rank(number)
		if !slices.Equal(s.holders, s.previous) || s.changedAt.IsZero() {
			s.changedAt = now
		}
	}
	return s
}

// forget makes slots be ranked again after a change of the directory. The mutex is held.
func (r *Ring) forget() {
	version := r.Directory.Version()
	if version == r.version {
		return
	}
	r.version = version
	for i := range r.slots {
		if r.slots[i].holders != nil {
			r.slots[i].previous, r.slots[i].holders = r.slots[i].holders, nil
		}
	}
}

// rank returns the instances that rank first for a slot and for those behind it. With
// instances that rank second for the slot, each instance would need connections to twice
// as many others.
func (r *Ring) rank(number int) []structs.InstanceID {
	self := r.Directory.Self().ID
	holders := make([]structs.InstanceID, 0, r.Count)
	for i := 0; i < r.Slots && len(holders) < r.Count; i++ {
		first := r.Directory.First(r.Key((number + i) % r.Slots))
		if first != "" && first != self && !slices.Contains(holders, first) {
			holders = append(holders, first)
		}
	}
	// Most instances may be shutting down, and serve meanwhile.
	leaving := r.Directory.Leaving()
	return append(holders, leaving[:min(len(leaving), r.Count-len(holders))]...)
}
