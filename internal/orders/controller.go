package orders

import (
	"slices"
	"strings"
	"time"

	"github.com/banyanglade/banyanglade/internal/structs"
)

// appendIDBit marks the append IDs of this component, together with a clear top
// bit. The settings component sets the top bit, and the owner counts from 1, so
// that IDs never collide.
const appendIDBit = structs.AppendID(1) << 62

// Settings is the settings tree as the controller reads it.
type Settings interface {
	structs.Settings
	// Next returns a version that changes with every change of the tree.
	Next() uint64
}

// Controller orders the engines of all pools assigned to this instance. It is
// not safe for concurrent use.
type Controller struct {
	cfg      structs.InstanceConfig
	members  structs.Members
	settings Settings
	// writer identifies this incarnation of the instance in records.
	writer string

	now time.Time
	// wake is the time of the earliest timer, zero if none is set.
	wake     time.Time
	commands []structs.Command
	// settingsVersion is the version of the settings that is applied to the
	// pools.
	settingsVersion uint64
	refreshAt       time.Time
	// pools is sorted by service.
	pools []*pool

	lastAppendID structs.AppendID
	lastSequence uint64
	lastOrderID  structs.OrderID
}

// New returns a Controller without pools.
func New(cfg structs.InstanceConfig, members structs.Members, settings Settings) *Controller {
	return &Controller{
		cfg: cfg, members: members, settings: settings,
		writer: string(cfg.Self.ID) + "/" + cfg.Incarnation,
	}
}

// Tick processes events and returns the resulting commands.
func (c *Controller) Tick(now time.Time, events []structs.Event) []structs.Command {
	changed := c.settings.Next() != c.settingsVersion
	// Tick runs for every call of the instance: return early if nothing is due.
	if len(events) == 0 && !changed && (c.wake.IsZero() || now.Before(c.wake)) {
		return nil
	}
	c.now, c.commands = now, nil
	c.wake = time.Time{}
	for _, ev := range events {
		changed = c.handle(ev) || changed
	}
	if changed || !c.refreshAt.IsZero() && !now.Before(c.refreshAt) {
		c.refresh()
	}
	for _, p := range c.pools {
		p.advance()
	}
	c.wake = earliest(c.wake, c.refreshAt)
	return c.commands
}

// NextWake returns the time of the earliest timer, zero if none is set.
func (c *Controller) NextWake() time.Time { return c.wake }

// handle processes an event and reports whether the pools or their targets may
// have changed.
func (c *Controller) handle(ev structs.Event) bool {
	switch ev := ev.(type) {
	case structs.LogRead:
		if p := c.poolByStream(ev.Stream); p != nil {
			p.handleRead(ev)
		}
	case structs.LogReadFailed:
		if p := c.poolByStream(ev.Stream); p != nil && ev.Truncated && p.phase != phaseSuperseded {
			p.resync("the log dropped records that were not read")
		}
	case structs.OrdersRead:
		c.withTarget(ev.Target, func(_ *pool, t *target) { t.handleState(ev) })
	case structs.OrderSent:
		c.withTarget(ev.Target, func(p *pool, t *target) { p.handleOrderSent(t, ev) })
	case structs.MembersListed, structs.PeerUp, structs.PeerDown, structs.PeerMessage, structs.DrainStart:
		return true
	}
	// Results of appends are ignored: only records that are read back count,
	// and a record that is not read back in time is repeated.
	return false
}

// refresh applies the settings and the membership.
func (c *Controller) refresh() {
	c.settingsVersion = c.settings.Next()
	var pools []*pool
	for _, service := range c.settings.Services() {
		id := structs.PoolID{Service: service.Name, Region: c.cfg.Self.Region}
		if service.Kind != structs.ServiceEngine || !service.Orders.IsSet() || !c.shouldControl(id) {
			continue
		}
		p := c.poolByID(id)
		if p == nil {
			p = newPool(c, id)
		}
		p.setService(service)
		p.setTargets(c.members.Targets(id.Service))
		pools = append(pools, p)
	}
	for _, p := range c.pools {
		if !slices.Contains(pools, p) {
			p.stop()
		}
	}
	c.pools = pools
	c.refreshAt = time.Time{}
	if len(pools) > 0 {
		c.refreshAt = c.now.Add(membershipRefreshInterval)
	}
}

// shouldControl reports whether the membership assigns a pool to this instance.
func (c *Controller) shouldControl(id structs.PoolID) bool {
	instance, ok := c.members.DispatcherOf(id)
	return ok && instance == c.cfg.Self.ID
}

func (c *Controller) poolByID(id structs.PoolID) *pool { return c.poolByStream(id.Stream()) }

// poolByStream returns the pool of a stream, nil if it is not assigned to this
// instance.
func (c *Controller) poolByStream(stream string) *pool {
	i := slices.IndexFunc(c.pools, func(p *pool) bool { return p.stream == stream })
	if i < 0 {
		return nil
	}
	return c.pools[i]
}

func (c *Controller) withTarget(id structs.TargetID, fn func(*pool, *target)) {
	for _, p := range c.pools {
		for _, t := range p.targets {
			if t.info.ID == id {
				fn(p, t)
				return
			}
		}
	}
}

func (c *Controller) emit(cmd structs.Command) { c.commands = append(c.commands, cmd) }

// scheduleWake requests a tick at a future time.
func (c *Controller) scheduleWake(at time.Time) { c.wake = earliest(c.wake, at) }

// due reports whether a time has been reached; if not, it requests a tick at
// that time.
func (c *Controller) due(at time.Time) bool {
	if c.now.Before(at) {
		c.scheduleWake(at)
		return false
	}
	return true
}

// append appends a record to a stream.
func (c *Controller) append(stream string, r record) {
	c.lastAppendID++
	c.emit(structs.LogAppend{ID: c.lastAppendID | appendIDBit, Stream: stream, Records: [][]byte{r.encode()}})
}

// newRecord returns a record of this writer with a new sequence number.
func (c *Controller) newRecord(kind recordKind, epoch structs.Epoch) record {
	c.lastSequence++
	return record{
		Kind: kind, Epoch: epoch, Writer: c.writer, Sequence: c.lastSequence,
		Instance: c.cfg.Self.ID, Lease: leaseDuration,
	}
}

// newOrderID returns the ID of the next command to a target.
func (c *Controller) newOrderID() structs.OrderID {
	c.lastOrderID++
	return c.lastOrderID
}

// truncate limits the length of a text in the dump.
func truncate(text string) string {
	const maxLen = 200
	if len(text) <= maxLen {
		return text
	}
	return strings.ToValidUTF8(text[:maxLen], "") + "…"
}
