package budget

import (
	"slices"
	"time"

	"github.com/banyanglade/banyanglade/internal/structs"
)

// crash describes the loss of a partition's accounts by its owners.
type crash struct {
	// last is the owner before this one.
	last structs.InstanceID
	// owners held the accounts and are not known to have ended: they may still grant
	// tokens without a record.
	owners []structs.InstanceID
	// lastGrant is the latest time at which any of these owners, or one that has ended,
	// may have granted tokens.
	lastGrant time.Time
}

// add adds an owner.
func (c *crash) add(owner structs.InstanceID) {
	if owner != "" && !slices.Contains(c.owners, owner) {
		c.owners = append(c.owners, owner)
	}
}

// removeEnded removes the owners that have ended. When they did so is unknown, so they may
// have granted tokens until now.
func (c *crash) removeEnded(ended func(structs.InstanceID) bool, now time.Time) {
	remaining := slices.DeleteFunc(c.owners, ended)
	if len(remaining) < len(c.owners) {
		c.lastGrant = now
	}
	c.owners = remaining
}

// expired reports whether no program can return that the owners knew.
func (c *crash) expired(now time.Time, lifetimes Lifetimes) bool {
	return len(c.owners) == 0 && now.Sub(c.lastGrant) > lifetimes.afterGrant()
}
