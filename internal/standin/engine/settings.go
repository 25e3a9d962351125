package engine

import (
	"time"

	"github.com/banyanglade/banyanglade/internal/wire"
)

// Defaults of Settings.
const (
	DefaultStreamRetention = time.Minute
	DefaultModelName       = "standin"
)

// Settings are the settings of a Server.
type Settings struct {
	// ID is the target's id, as in the ledger.
	ID string
	// ModelName is the model served at the start, DefaultModelName if empty.
	ModelName string
	// Model are the settings of the engine model.
	Model ModelSettings
	// LoadLag is the age of load reports.
	LoadLag time.Duration
	// CacheLag is the delay of cache events, CacheGap the share of them lost
	// and CacheDuplicate the share of them shown twice, both from 0 to 1.
	CacheLag       time.Duration
	CacheGap       float64
	CacheDuplicate float64
	// Seed seeds the choice of lost and doubled cache events.
	Seed uint64
	// StreamRetention is how long an ended stream can be resumed,
	// DefaultStreamRetention if 0.
	StreamRetention time.Duration
	// AttachDuplicates lets a second request with the id of a known stream
	// attach to that stream. Otherwise it is refused with status 409.
	AttachDuplicates bool
	// ChecksFencing refuses orders with an old fencing number.
	ChecksFencing bool
	// Faults are the faults at the start.
	Faults wire.ServiceFaults
}

func (s Settings) withDefaults() Settings {
	s.ModelName = orDefault(s.ModelName, DefaultModelName)
	s.StreamRetention = orDefault(s.StreamRetention, DefaultStreamRetention)
	return s
}
