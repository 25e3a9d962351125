// Package members is the stand-in of the platform's membership list. Readers
// see the list with a configurable lag.
package members

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/banyanglade/banyanglade/internal/standin"
	"github.com/banyanglade/banyanglade/internal/wire"
)

// ErrDown is returned while the list is unavailable.
var ErrDown = errors.New("membership list is down")

// Settings configure a membership list.
type Settings struct {
	// Lag is the age of the list that readers see. SetFaults overrides it.
	Lag time.Duration
	// Now is the clock; time.Now if nil.
	Now func() time.Time
}

// List is a membership list. It is safe for concurrent use.
type List struct {
	now func() time.Time

	mu      sync.Mutex
	version uint64
	members map[string]wire.Member
	history standin.History[wire.MemberList]
	faults  wire.MemberFaults
}

// New returns an empty list with version 0.
func New(settings Settings) *List {
	if settings.Now == nil {
		settings.Now = time.Now
	}
	return &List{
		now:     settings.Now,
		members: make(map[string]wire.Member),
		faults:  wire.MemberFaults{LagMS: int(settings.Lag.Milliseconds())},
	}
}

// Put adds or replaces a member.
func (l *List) Put(member wire.Member) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.members[member.ID] = member
	l.recordVersion()
}

// Remove removes a member and reports whether it was listed.
func (l *List) Remove(id string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, ok := l.members[id]; !ok {
		return false
	}
	delete(l.members, id)
	l.recordVersion()
	return true
}

// SetLeaving marks a member as leaving and reports whether it was listed.
func (l *List) SetLeaving(id string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	member, ok := l.members[id]
	if !ok {
		return false
	}
	member.State = wire.MemberStateLeaving
	l.members[id] = member
	l.recordVersion()
	return true
}

// Current returns the list without lag, even while it is down.
func (l *List) Current() wire.MemberList {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.current()
}

// Visible returns the list as it was Lag ago, or ErrDown.
func (l *List) Visible() (wire.MemberList, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.faults.Down {
		return wire.MemberList{}, ErrDown
	}
	lag := time.Duration(l.faults.LagMS) * time.Millisecond
	visible, ok := l.history.At(l.now().Add(-lag))
	if !ok {
		return wire.MemberList{Members: []wire.Member{}}, nil
	}
	return visible, nil
}

// SetFaults replaces the faults.
func (l *List) SetFaults(faults wire.MemberFaults) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults = faults
}

// Faults returns the faults.
func (l *List) Faults() wire.MemberFaults {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.faults
}

// recordVersion increments the version and records the list. No history is
// dropped, since the lag may grow at any time.
func (l *List) recordVersion() {
	l.version++
	l.history.Record(l.now(), l.current())
}

func (l *List) current() wire.MemberList {
	members := slices.SortedFunc(maps.Values(l.members), byID)
	if members == nil {
		members = []wire.Member{}
	}
	return wire.MemberList{Version: l.version, Members: members}
}

func byID(a, b wire.Member) int {
	return cmp.Compare(a.ID, b.ID)
}
