package orders

import (
	"slices"
	"strings"
	"time"

	"github.com/banyanglade/banyanglade/internal/structs"
)

// appendIDBit is set, and the bit above clear, in the append ids of this
// component and in no other's: the settings set the top bit, and the owner
// counts from 1, which reaches this bit after 146 years of a thousand million
// appends a second.
const appendIDBit = structs.AppendID(1) << 62

// Settings is the settings tree as the controller reads it.
type Settings interface {
	structs.Settings
	// Next changes with every change of the tree.
	Next() uint64
}

// Controller gives orders to the engines of all pools that this instance
// should control. Its methods are called from one goroutine.
type Controller struct {
	cfg      structs.InstanceConfig
	members  structs.Members
	settings Settings
	// writer names this start of the instance in records.
	writer string

	now time.Time
	// wake is the earliest time that something waits for.
	wake time.Time
	out  []structs.Command
	// applied is the version of the settings that the pools follow.
	applied   uint64
	refreshAt time.Time
	// pools is ordered by service.
	pools []*pool

	appends  structs.AppendID
	sequence uint64
	orders   structs.OrderID
}

// New returns a controller without any pool.
func New(cfg structs.InstanceConfig, members structs.Members, settings Settings) *Controller {
	return &Controller{
		cfg: cfg, members: members, settings: settings,
		writer: string(cfg.Self.ID) + "/" + cfg.Incarnation,
	}
}

// Tick takes in events that happened by now and gives the commands that follow.
func (c *Controller) Tick(now time.Time, events []structs.Event) []structs.Command {
	changed := c.settings.Next() != c.applied
	// The instance ticks for every call: with nothing to do this must cost
	// nothing.
	if len(events) == 0 && !changed && (c.wake.IsZero() || now.Before(c.wake)) {
		return nil
	}
	c.now, c.out = now, nil
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
	return c.out
}

// NextWake gives the time of the earliest timer, zero if there is none.
func (c *Controller) NextWake() time.Time { return c.wake }

// handle takes in an event and tells whether the pools or their targets may
// have changed.
func (c *Controller) handle(ev structs.Event) bool {
	switch ev := ev.(type) {
	case structs.LogRead:
		if p := c.poolOf(ev.Stream); p != nil {
			p.read(ev)
		}
	case structs.LogReadFailed:
		if p := c.poolOf(ev.Stream); p != nil && ev.Truncated && p.phase != phaseSuperseded {
			p.restart("the log dropped records that were not read")
		}
	case structs.OrdersRead:
		c.withTarget(ev.Target, func(_ *pool, t *target) { t.stateRead(ev) })
	case structs.OrderSent:
		c.withTarget(ev.Target, func(p *pool, t *target) { p.orderSent(t, ev) })
	case structs.MembersListed, structs.PeerUp, structs.PeerDown, structs.PeerMessage, structs.DrainStart:
		return true
	}
	// The results of appends are not looked at: only what is read back
	// counts, and a record that is not read back in time is repeated.
	return false
}

// refresh takes over the settings and the membership.
func (c *Controller) refresh() {
	c.applied = c.settings.Next()
	var kept []*pool
	for _, service := range c.settings.Services() {
		id := structs.PoolID{Service: service.Name, Region: c.cfg.Self.Region}
		if service.Kind != structs.ServiceEngine || !service.Orders.IsSet() || !c.shouldControl(id) {
			continue
		}
		p := c.find(id)
		if p == nil {
			p = newPool(c, id)
		}
		p.setService(service)
		p.setTargets(c.members.Targets(id.Service))
		kept = append(kept, p)
	}
	for _, p := range c.pools {
		if !slices.Contains(kept, p) {
			p.stop()
		}
	}
	c.pools = kept
	c.refreshAt = time.Time{}
	if len(kept) > 0 {
		c.refreshAt = c.now.Add(membershipRefresh)
	}
}

// shouldControl tells whether the membership names this instance for a pool.
func (c *Controller) shouldControl(id structs.PoolID) bool {
	instance, ok := c.members.DispatcherOf(id)
	return ok && instance == c.cfg.Self.ID
}

func (c *Controller) find(id structs.PoolID) *pool { return c.poolOf(id.Stream()) }

// poolOf gives the pool of a stream, nil if this instance does not control it.
func (c *Controller) poolOf(stream string) *pool {
	i := slices.IndexFunc(c.pools, func(p *pool) bool { return p.stream == stream })
	if i < 0 {
		return nil
	}
	return c.pools[i]
}

func (c *Controller) withTarget(id structs.TargetID, do func(*pool, *target)) {
	for _, p := range c.pools {
		for _, t := range p.targets {
			if t.info.ID == id {
				do(p, t)
				return
			}
		}
	}
}

func (c *Controller) emit(cmd structs.Command) { c.out = append(c.out, cmd) }

// wakeBy asks for a tick at a time in the future.
func (c *Controller) wakeBy(at time.Time) { c.wake = earliest(c.wake, at) }

// reached tells whether a time has come; if not, it asks for a tick then.
func (c *Controller) reached(at time.Time) bool {
	if c.now.Before(at) {
		c.wakeBy(at)
		return false
	}
	return true
}

// append writes a record to a stream.
func (c *Controller) append(stream string, r record) {
	c.appends++
	c.emit(structs.LogAppend{ID: c.appends | appendIDBit, Stream: stream, Records: [][]byte{r.encode()}})
}

// newRecord makes a record of this writer with a sequence number of its own.
func (c *Controller) newRecord(kind recordKind, epoch structs.Epoch) record {
	c.sequence++
	return record{
		Kind: kind, Epoch: epoch, Writer: c.writer, Sequence: c.sequence,
		Instance: c.cfg.Self.ID, Lease: leaseDuration,
	}
}

// newOrderID names a command to a target.
func (c *Controller) newOrderID() structs.OrderID {
	c.orders++
	return c.orders
}

// clip bounds a text for the dump.
func clip(text string) string {
	const most = 200
	if len(text) <= most {
		return text
	}
	return strings.ToValidUTF8(text[:most], "") + "…"
}
