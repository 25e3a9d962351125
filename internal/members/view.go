// Package members maintains an instance's view of the other instances and of the
// targets: the platform's membership list, corrected by the announcements of peers
// and by missed heartbeats. The view is advisory: the log alone decides who owns
// a shard.
package members

import (
	"slices"
	"strings"
	"time"

	"github.com/banyanglade/banyanglade/internal/structs"
	"github.com/banyanglade/banyanglade/internal/wire"
)

const (
	// probeInterval is the time between two probes of a suspected peer.
	probeInterval = time.Second
	// announcementTTL is how long a peer's announcement that it leaves is
	// valid. It exceeds the lag of the membership list. Afterwards the list
	// decides, so that an instance restarted under the same id is used again.
	announcementTTL = 30 * time.Second
)

// View is the membership as observed by this instance. It implements
// structs.Members and changes only in Tick.
type View struct {
	self structs.Peer
	// generation counts the changes of peers.
	generation uint64
	// list holds the peers of the last membership list.
	list         []structs.Peer
	version      uint64
	listReceived bool
	peers        []structs.Peer
	byID         map[structs.InstanceID]structs.Peer
	suspects     map[structs.InstanceID]time.Time
	// announced maps peers that announced that they leave to the expiry of the
	// announcement.
	announced map[structs.InstanceID]time.Time
	targets   map[structs.ServiceName][]structs.Target
	// ranked caches the results of rank by key until the peers change.
	ranked map[string][]structs.InstanceID
}

var _ structs.Members = (*View)(nil)

// New returns a view that contains only this instance.
func New(self structs.Peer) *View {
	v := &View{
		self:      self,
		suspects:  map[structs.InstanceID]time.Time{},
		announced: map[structs.InstanceID]time.Time{},
		targets:   map[structs.ServiceName][]structs.Target{},
	}
	v.rebuild()
	return v
}

// Generation counts the changes of Peers.
func (v *View) Generation() uint64 { return v.generation }

// ListReceived reports whether a membership list was received.
func (v *View) ListReceived() bool { return v.listReceived }

// Tick applies membership lists, liveness events and announcements, and returns
// the probes of suspected peers that are due.
func (v *View) Tick(now time.Time, events []structs.Event) []structs.Command {
	for _, ev := range events {
		v.apply(now, ev)
	}
	v.expireAnnouncements(now)
	return v.probeSuspects(now)
}

// NextWake returns the time of the next probe, or the zero time if none is due.
func (v *View) NextWake() time.Time {
	var next time.Time
	for _, at := range v.suspects {
		if next.IsZero() || at.Before(next) {
			next = at
		}
	}
	return next
}

func (v *View) apply(now time.Time, ev structs.Event) {
	switch ev := ev.(type) {
	case structs.MembersListed:
		v.applyList(ev.List)
	case structs.PeerUp:
		delete(v.suspects, ev.Peer)
	case structs.PeerDown:
		v.markSuspected(now, ev.Peer)
	case structs.DrainStart:
		v.self.Leaving = true
		v.rebuild()
	case structs.PeerMessage:
		if _, ok := ev.Msg.(*structs.Leaving); ok {
			v.announced[ev.From] = now.Add(announcementTTL)
			v.rebuild()
		}
	}
}

func (v *View) markSuspected(now time.Time, id structs.InstanceID) {
	if id == v.self.ID {
		return
	}
	if _, known := v.byID[id]; !known {
		return
	}
	if _, already := v.suspects[id]; !already {
		v.suspects[id] = now.Add(probeInterval)
	}
}

func (v *View) probeSuspects(now time.Time) []structs.Command {
	var due []structs.InstanceID
	for id, at := range v.suspects {
		if !at.After(now) {
			due = append(due, id)
		}
	}
	slices.Sort(due)
	var cmds []structs.Command
	for _, id := range due {
		v.suspects[id] = now.Add(probeInterval)
		cmds = append(cmds, structs.ProbePeer{To: id})
	}
	return cmds
}

// applyList replaces the view by a membership list. A list older than the current
// one is dropped: it may come from a lagging replica of the platform.
func (v *View) applyList(list wire.MemberList) {
	if v.listReceived && list.Version < v.version {
		return
	}
	v.listReceived = true
	v.version = list.Version
	var peers []structs.Peer
	targets := map[structs.ServiceName][]structs.Target{}
	for _, m := range list.Members {
		switch m.Role {
		case wire.MemberRoleInstance:
			peers = append(peers, peerOf(m))
		case wire.MemberRoleTarget:
			v.addTarget(targets, m)
		}
	}
	for _, list := range targets {
		slices.SortFunc(list, func(a, b structs.Target) int {
			return strings.Compare(string(a.ID), string(b.ID))
		})
	}
	v.targets = targets
	v.list = peers
	v.rebuild()
}

func (v *View) addTarget(targets map[structs.ServiceName][]structs.Target, m wire.Member) {
	if structs.Region(m.Region) != v.self.Region {
		return
	}
	service := structs.ServiceName(m.Service)
	targets[service] = append(targets[service], structs.Target{
		ID:         structs.TargetID(m.ID),
		Service:    service,
		Region:     structs.Region(m.Region),
		DataCentre: structs.DataCentre(m.DataCentre),
		Address:    m.Address,
		Leaving:    m.State == wire.MemberStateLeaving,
	})
}

func peerOf(m wire.Member) structs.Peer {
	return structs.Peer{
		ID:         structs.InstanceID(m.ID),
		Region:     structs.Region(m.Region),
		DataCentre: structs.DataCentre(m.DataCentre),
		Address:    m.Address,
		Leaving:    m.State == wire.MemberStateLeaving,
	}
}

// rebuild recomputes the peers. This instance is always included, since a lagging
// list may lack it.
func (v *View) rebuild() {
	v.generation++
	byID := map[structs.InstanceID]structs.Peer{}
	for _, p := range v.list {
		_, announced := v.announced[p.ID]
		p.Leaving = p.Leaving || announced
		byID[p.ID] = p
	}
	self := v.self
	self.Leaving = self.Leaving || byID[self.ID].Leaving
	byID[self.ID] = self
	v.byID = byID
	v.peers = make([]structs.Peer, 0, len(byID))
	for _, p := range byID {
		v.peers = append(v.peers, p)
	}
	slices.SortFunc(v.peers, func(a, b structs.Peer) int {
		return strings.Compare(string(a.ID), string(b.ID))
	})
	v.ranked = map[string][]structs.InstanceID{}
	v.removeUnlisted()
}

func (v *View) expireAnnouncements(now time.Time) {
	for id, until := range v.announced {
		if now.After(until) {
			delete(v.announced, id)
			v.rebuild()
		}
	}
}

func (v *View) removeUnlisted() {
	for id := range v.suspects {
		if _, ok := v.byID[id]; !ok {
			delete(v.suspects, id)
		}
	}
	for id := range v.announced {
		if _, ok := v.byID[id]; !ok {
			delete(v.announced, id)
		}
	}
}

// Self returns this instance.
func (v *View) Self() structs.Peer { return v.byID[v.self.ID] }

// Peer returns an instance by id.
func (v *View) Peer(id structs.InstanceID) (structs.Peer, bool) {
	p, ok := v.byID[id]
	return p, ok
}

// Peers returns the instances ordered by id, including this one.
func (v *View) Peers() []structs.Peer { return v.peers }

// Suspected reports whether the instance is unresponsive.
func (v *View) Suspected(id structs.InstanceID) bool {
	_, ok := v.suspects[id]
	return ok
}

// Targets returns the targets of a service in this region, ordered by id.
func (v *View) Targets(service structs.ServiceName) []structs.Target {
	return v.targets[service]
}
