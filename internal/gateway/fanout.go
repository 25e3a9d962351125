package gateway

import (
	"slices"
	"time"

	"github.com/banyanglade/banyanglade/internal/structs"
)

// fanout is a query to many instances. It ends once each of them has replied or
// is down, or at the deadline.
type fanout struct {
	request  structs.RequestID
	deadline time.Time
	// waiting holds the instances that have not replied, missing those that
	// will not.
	waiting  map[structs.InstanceID]bool
	missing  []structs.InstanceID
	limit    int
	programs []structs.ProgramInfo
	// applied is nil for a query of programs.
	applied map[structs.InstanceID]uint64
}

func (g *Gateway) queryPrograms(now time.Time, ev structs.CallerPrograms) {
	c := g.newFanout(ev.Request, ev.Deadline)
	c.limit = ev.Limit
	for _, id := range c.waitingIDs() {
		g.emit(structs.SendPeer{To: id, Msg: &structs.ProgramsRequest{Request: ev.Request, Team: ev.Team, Limit: ev.Limit}})
	}
	g.replyIfComplete(c)
}

func (g *Gateway) queryApplied(now time.Time, ev structs.SettingsApplied) {
	c := g.newFanout(ev.Request, ev.Deadline)
	c.applied = map[structs.InstanceID]uint64{}
	for _, id := range c.waitingIDs() {
		g.emit(structs.SendPeer{To: id, Msg: &structs.AppliedRequest{Request: ev.Request}})
	}
	g.replyIfComplete(c)
}

func (g *Gateway) newFanout(id structs.RequestID, deadline time.Time) *fanout {
	c := &fanout{request: id, deadline: deadline, waiting: map[structs.InstanceID]bool{}}
	for _, p := range g.members.Peers() {
		if g.members.Suspected(p.ID) {
			c.missing = append(c.missing, p.ID)
			continue
		}
		c.waiting[p.ID] = true
	}
	g.fanouts[id] = c
	return c
}

func (c *fanout) waitingIDs() []structs.InstanceID {
	ids := make([]structs.InstanceID, 0, len(c.waiting))
	for id := range c.waiting {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

func (g *Gateway) handleProgramsReply(from structs.InstanceID, msg *structs.ProgramsReply) {
	c, ok := g.fanouts[msg.Request]
	if !ok || !c.waiting[from] {
		return
	}
	delete(c.waiting, from)
	c.programs = append(c.programs, msg.Programs...)
	g.replyIfComplete(c)
}

func (g *Gateway) handleAppliedReply(from structs.InstanceID, msg *structs.AppliedReply) {
	c, ok := g.fanouts[msg.Request]
	if !ok || !c.waiting[from] || c.applied == nil {
		return
	}
	delete(c.waiting, from)
	c.applied[from] = msg.Next
	g.replyIfComplete(c)
}

func (g *Gateway) fanoutPeerDown(peer structs.InstanceID) {
	for _, id := range g.fanoutIDs() {
		c := g.fanouts[id]
		if !c.waiting[peer] {
			continue
		}
		delete(c.waiting, peer)
		c.missing = append(c.missing, peer)
		g.replyIfComplete(c)
	}
}

func (g *Gateway) runFanoutTimers(now time.Time) {
	for _, id := range g.fanoutIDs() {
		c := g.fanouts[id]
		if c.deadline.After(now) {
			continue
		}
		c.missing = append(c.missing, c.waitingIDs()...)
		c.waiting = nil
		g.replyIfComplete(c)
	}
}

func (g *Gateway) fanoutIDs() []structs.RequestID {
	ids := make([]structs.RequestID, 0, len(g.fanouts))
	for id := range g.fanouts {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// replyIfComplete sends the reply and removes c once it waits for no peer.
func (g *Gateway) replyIfComplete(c *fanout) {
	if len(c.waiting) > 0 {
		return
	}
	delete(g.fanouts, c.request)
	if c.applied != nil {
		g.emit(structs.ReplyApplied{Request: c.request, Applied: c.applied, Missing: c.missing})
		return
	}
	slices.SortFunc(c.programs, func(a, b structs.ProgramInfo) int { return a.Created.Compare(b.Created) })
	if c.limit > 0 && len(c.programs) > c.limit {
		c.programs = c.programs[:c.limit]
	}
	g.emit(structs.ReplyPrograms{Request: c.request, Programs: c.programs, Missing: c.missing})
}
