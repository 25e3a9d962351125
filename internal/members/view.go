// Package members keeps an instance's view of the other instances and of the
// targets: the platform's membership list, corrected by what peers say of
// themselves and by missed heartbeats. The view decides what is fast, never
// what is safe: the log alone decides who owns a shard.
package members

import (
	"slices"
	"strings"
	"time"

	"github.com/banyanglade/banyanglade/internal/structs"
	"github.com/banyanglade/banyanglade/internal/wire"
)

const (
	// probeInterval is the time between two heartbeats asked of a suspected
	// peer.
	probeInterval = time.Second
	// announcementLife is how long a peer's own word that it leaves counts.
	// It exceeds the lag of the membership list; after it the list decides,
	// so that an instance that starts again under its id is used again.
	announcementLife = 30 * time.Second
)

// View is the membership as this instance sees it. It implements
// structs.Members and changes only in Tick.
type View struct {
	self structs.Peer
	// generation counts the changes of the tables of peers.
	generation uint64
	// list holds the peers as the membership list last showed them.
	list     []structs.Peer
	version  uint64
	listed   bool
	peers    []structs.Peer
	byID     map[structs.InstanceID]structs.Peer
	suspects map[structs.InstanceID]time.Time
	// announced are peers that said themselves that they leave, with the
	// time until which that counts.
	announced map[structs.InstanceID]time.Time
	targets   map[structs.ServiceName][]structs.Target
	// ranked caches rank by key until the peers change.
	ranked map[string][]structs.InstanceID
}

var _ structs.Members = (*View)(nil)

// New returns a view that holds this instance alone.
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

// ListReceived tells whether a membership list was ever received.
func (v *View) ListReceived() bool { return v.listed }

// Tick takes in membership lists, liveness and announcements, and asks
// suspected peers for a heartbeat from time to time.
func (v *View) Tick(now time.Time, events []structs.Event) []structs.Command {
	for _, ev := range events {
		v.apply(now, ev)
	}
	v.expireAnnouncements(now)
	return v.probeSuspects(now)
}

// NextWake gives the time of the next heartbeat to ask for, zero if none.
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
		v.takeList(ev.List)
	case structs.PeerUp:
		delete(v.suspects, ev.Peer)
	case structs.PeerDown:
		v.suspect(now, ev.Peer)
	case structs.DrainStart:
		v.self.Leaving = true
		v.rebuild()
	case structs.PeerMessage:
		if _, ok := ev.Msg.(*structs.Leaving); ok {
			v.announced[ev.From] = now.Add(announcementLife)
			v.rebuild()
		}
	}
}

func (v *View) suspect(now time.Time, id structs.InstanceID) {
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

// takeList replaces the view by a list. An older version than the one in use
// is dropped: the list may come from a lagging replica of the platform.
func (v *View) takeList(list wire.MemberList) {
	if v.listed && list.Version < v.version {
		return
	}
	v.listed = true
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

// rebuild makes the tables of peers anew. This instance is always in them,
// since a lagging list may lack it.
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
	v.forgetUnlisted()
}

func (v *View) expireAnnouncements(now time.Time) {
	for id, until := range v.announced {
		if now.After(until) {
			delete(v.announced, id)
			v.rebuild()
		}
	}
}

func (v *View) forgetUnlisted() {
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

// Self is this instance.
func (v *View) Self() structs.Peer { return v.byID[v.self.ID] }

// Peer finds an instance by id.
func (v *View) Peer(id structs.InstanceID) (structs.Peer, bool) {
	p, ok := v.byID[id]
	return p, ok
}

// Peers lists the instances in order of id, this one included.
func (v *View) Peers() []structs.Peer { return v.peers }

// Suspected tells whether the instance does not answer.
func (v *View) Suspected(id structs.InstanceID) bool {
	_, ok := v.suspects[id]
	return ok
}

// Targets lists a service's targets in this region in order of id.
func (v *View) Targets(service structs.ServiceName) []structs.Target {
	return v.targets[service]
}
