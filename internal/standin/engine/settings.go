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

// Settings configure a Server.
type Settings struct {
	// ID is the target's id, as in the ledger.
	ID string
	// ModelName is the initial model, DefaultModelName if empty.
	ModelName string
	// Model configures the engine model.
	Model ModelSettings
	// LoadLag is the age of load reports.
	LoadLag time.Duration
	// CacheLag is the delay of cache events. CacheGap is the fraction of events
	// that are dropped and CacheDuplicate the fraction that are duplicated,
	// both from 0 to 1.
	CacheLag       time.Duration
	CacheGap       float64
	CacheDuplicate float64
	// Seed seeds the choice of dropped and duplicated cache events.
	Seed uint64
	// StreamRetention is how long an ended stream can be resumed,
	// DefaultStreamRetention if 0.
	StreamRetention time.Duration
	// AttachDuplicates attaches a request with the id of an existing stream to
	// that stream. Otherwise it is refused with status 409.
	AttachDuplicates bool
	// ChecksFencing makes the engine refuse orders with a stale fencing number.
	ChecksFencing bool
	// Faults are the initial faults.
	Faults wire.ServiceFaults
}

func (s Settings) withDefaults() Settings {
	s.ModelName = orDefault(s.ModelName, DefaultModelName)
	s.StreamRetention = orDefault(s.StreamRetention, DefaultStreamRetention)
	return s
}
