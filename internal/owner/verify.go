package owner

import (
	"time"

	"github.com/banyanglade/banyanglade/internal/journal"
	"github.com/banyanglade/banyanglade/internal/structs"
)

// pauseLimit is the gap between two ticks after which this process may have
// been paused. What it reads then may have waited in a buffer all the time, so
// that it proves nothing about now.
const pauseLimit = 500 * time.Millisecond

// noticePause begins a time of distrust after a gap between ticks.
func (o *Owner) noticePause() {
	if o.now.Sub(o.tickedAt) > pauseLimit {
		o.resumedAt = o.now
	}
	o.tickedAt = o.now
}

// provenAt notes that the shard was owned at a time.
func (s *shard) provenAt(at time.Time) {
	if at.After(s.readAt) {
		s.readAt = at
	}
}

// readToEnd notes that a read showed no newer claim, unless the read may be old.
func (s *shard) readToEnd() {
	if s.o.now.Sub(s.o.resumedAt) >= pauseLimit {
		s.provenAt(s.o.now)
	}
}

// unproven tells whether a call has to wait until the log proves that the shard
// is still owned: what is known of a not-repeatable key is whole only then.
func (s *shard) unproven(m *structs.Submit) bool {
	service, _ := s.o.settings.Service(m.Call.Service)
	notRepeatable := m.Call.NotRepeatable || service.NotRepeatable
	return notRepeatable && !m.Call.FirstAttempt && !s.logDown() && !s.fresh()
}

// verify holds a Submit until a record of the owner was read back.
func (s *shard) verify(from structs.InstanceID, m *structs.Submit) {
	s.hold(from, m)
	if s.verifying {
		return
	}
	s.verifying = true
	s.app.push(&journal.Check{}, urgent, func() {
		s.verifying = false
		for _, h := range s.takeHeld() {
			s.o.redeliver(h)
		}
	})
}
