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
	f := g.newFanout(ev.Request, ev.Deadline)
	f.limit = ev.Limit
	for _, id := range f.waitingIDs() {
		g.emit(structs.SendPeer{To: id, Msg: &structs.ProgramsRequest{Request: ev.Request, Team: ev.Team, Limit: ev.Limit}})
	}
	g.replyIfComplete(f)
}

func (g *Gateway) queryApplied(now time.Time, ev structs.SettingsApplied) {
	f := g.newFanout(ev.Request, ev.Deadline)
	f.applied = map[structs.InstanceID]uint64{}
	for _, id := range f.waitingIDs() {
		g.emit(structs.SendPeer{To: id, Msg: &structs.AppliedRequest{Request: ev.Request}})
	}
	g.replyIfComplete(f)
}

func (g *Gateway) newFanout(id structs.RequestID, deadline time.Time) *fanout {
	f := &fanout{request: id, deadline: deadline, waiting: map[structs.InstanceID]bool{}}
	for _, p := range g.members.Peers() {
		if g.members.Suspected(p.ID) {
			f.missing = append(f.missing, p.ID)
			continue
		}
		f.waiting[p.ID] = true
	}
	g.fanouts[id] = f
	return f
}

func (f *fanout) waitingIDs() []structs.InstanceID {
	ids := make([]structs.InstanceID, 0, len(f.waiting))
	for id := range f.waiting {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

func (g *Gateway) handleProgramsReply(from structs.InstanceID, msg *structs.ProgramsReply) {
	f, ok := g.fanouts[msg.Request]
	if !ok || !f.waiting[from] {
		return
	}
	delete(f.waiting, from)
	f.programs = append(f.programs, msg.Programs...)
	g.replyIfComplete(f)
}

func (g *Gateway) handleAppliedReply(from structs.InstanceID, msg *structs.AppliedReply) {
	f, ok := g.fanouts[msg.Request]
	if !ok || !f.waiting[from] || f.applied == nil {
		return
	}
	delete(f.waiting, from)
	f.applied[from] = msg.Next
	g.replyIfComplete(f)
}

func (g *Gateway) fanoutPeerDown(peer structs.InstanceID) {
	for _, id := range g.fanoutIDs() {
		f := g.fanouts[id]
		if !f.waiting[peer] {
			continue
		}
		delete(f.waiting, peer)
		f.missing = append(f.missing, peer)
		g.replyIfComplete(f)
	}
}

func (g *Gateway) runFanoutTimers(now time.Time) {
	for _, id := range g.fanoutIDs() {
		f := g.fanouts[id]
		if f.deadline.After(now) {
			continue
		}
		f.missing = append(f.missing, f.waitingIDs()...)
		f.waiting = nil
		g.replyIfComplete(f)
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

// replyIfComplete sends the reply and removes f once it waits for no peer.
func (g *Gateway) replyIfComplete(f *fanout) {
	if len(f.waiting) > 0 {
		return
	}
	delete(g.fanouts, f.request)
	if f.applied != nil {
		g.emit(structs.ReplyApplied{Request: f.request, Applied: f.applied, Missing: f.missing})
		return
	}
	slices.SortFunc(f.programs, func(a, b structs.ProgramInfo) int { return a.Created.Compare(b.Created) })
	if f.limit > 0 && len(f.programs) > f.limit {
		f.programs = f.programs[:f.limit]
	}
	g.emit(structs.ReplyPrograms{Request: f.request, Programs: f.programs, Missing: f.missing})
}
