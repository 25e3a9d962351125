// Package directory keeps the list of instances and whether they respond. It is used for
// routing only: correctness is ensured by the epochs in the store.
package directory

import (
	"cmp"
	"slices"
	"strings"
	"sync"

	"github.com/banyanglade/banyanglade/internal/rendezvous"
	"github.com/banyanglade/banyanglade/internal/structs"
)

// separator separates the machine's name from the start number in the id of an instance.
const separator = "~"

// InstanceID returns the id of one incarnation of the process on a machine. The start
// number is a time and distinguishes the incarnations.
func InstanceID(machine, start string) structs.InstanceID {
	return structs.InstanceID(machine + separator + start)
}

// MachineOf returns the machine on which an instance runs.
func MachineOf(id structs.InstanceID) string {
	machine, _, _ := strings.Cut(string(id), separator)
	return machine
}

// Directory is the list of instances. It is safe for concurrent use.
type Directory struct {
	self structs.Peer

	mu sync.Mutex
	// byMachine holds the latest incarnation on each machine.
	byMachine    map[string]structs.Peer
	unresponsive map[structs.InstanceID]bool
	leaving      map[structs.InstanceID]bool
	// version counts the changes.
	version uint64
}

// New returns a directory that lists this instance only.
func New(self structs.Peer) *Directory {
	return &Directory{
		self:         self,
		byMachine:    map[string]structs.Peer{MachineOf(self.ID): self},
		unresponsive: make(map[structs.InstanceID]bool),
		leaving:      make(map[structs.InstanceID]bool),
	}
}

// Version returns a number that changes whenever the results of other methods may have
// changed.
func (d *Directory) Version() uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.version
}

// Self returns this instance.
func (d *Directory) Self() structs.Peer { return d.self }

// Put adds an instance, or replaces another incarnation on its machine. It reports whether
// there was another one.
func (d *Directory) Put(p structs.Peer) (replaced bool) {
	machine := MachineOf(p.ID)
	if machine == MachineOf(d.self.ID) {
		return false
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.version++
	previous, ok := d.byMachine[machine]
	replaced = ok && previous.ID != p.ID
	if replaced {
		d.forget(previous.ID)
	}
	d.byMachine[machine] = p
	return replaced
}

// Discover adds an instance learned from another source than the list, unless the same or
// a later incarnation on its machine is listed.
func (d *Directory) Discover(id structs.InstanceID, address string) {
	machine := MachineOf(id)
	if machine == MachineOf(d.self.ID) || address == "" {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.version++
	previous, ok := d.byMachine[machine]
	if ok && !startedAfter(id, previous.ID) {
		return
	}
	d.forget(previous.ID)
	// The earlier incarnation on the machine was in the same data centre.
	discovered := previous
	discovered.ID, discovered.Address = id, address
	d.byMachine[machine] = discovered
}

// startedAfter reports whether an incarnation on a machine started after another one
// there. Start numbers are times in the same base, so a longer one is later.
func startedAfter(a, b structs.InstanceID) bool {
	return len(a) > len(b) || (len(a) == len(b) && a > b)
}

// Remove removes the instance on a machine.
func (d *Directory) Remove(machine string) {
	if machine == MachineOf(d.self.ID) {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.version++
	d.forget(d.byMachine[machine].ID)
	delete(d.byMachine, machine)
}

func (d *Directory) forget(id structs.InstanceID) {
	delete(d.unresponsive, id)
	delete(d.leaving, id)
}

// Resolve returns the instance with an id, false if it is not listed.
func (d *Directory) Resolve(id structs.InstanceID) (structs.Peer, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	p, ok := d.byMachine[MachineOf(id)]
	return p, ok && p.ID == id
}

// Ended reports whether an instance is known to have ended, since another incarnation on
// its machine is listed.
func (d *Directory) Ended(id structs.InstanceID) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	p, ok := d.byMachine[MachineOf(id)]
	return ok && p.ID != id
}

// SetUnresponsive records whether an instance is unresponsive.
func (d *Directory) SetUnresponsive(id structs.InstanceID, unresponsive bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.unresponsive[id] == unresponsive {
		return
	}
	d.version++
	if unresponsive {
		d.unresponsive[id] = true
		return
	}
	delete(d.unresponsive, id)
}

// SetLeaving records that an instance is shutting down.
func (d *Directory) SetLeaving(id structs.InstanceID) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.version++
	d.leaving[id] = true
}

// Usable reports whether an instance is listed and not known to be unresponsive.
func (d *Directory) Usable(id structs.InstanceID) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.usable(id)
}

func (d *Directory) usable(id structs.InstanceID) bool {
	return d.byMachine[MachineOf(id)].ID == id && !d.unresponsive[id]
}

// Suspected reports whether an instance is listed and known to be unresponsive.
func (d *Directory) Suspected(id structs.InstanceID) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.byMachine[MachineOf(id)].ID == id && d.unresponsive[id]
}

// Others lists the other usable instances.
func (d *Directory) Others() []structs.Peer {
	d.mu.Lock()
	defer d.mu.Unlock()
	var others []structs.Peer
	for _, p := range d.byMachine {
		if p.ID != d.self.ID && d.usable(p.ID) {
			others = append(others, p)
		}
	}
	slices.SortFunc(others, func(a, b structs.Peer) int { return cmp.Compare(a.ID, b.ID) })
	return others
}

// Leaving lists the other usable instances that are shutting down.
func (d *Directory) Leaving() []structs.InstanceID {
	d.mu.Lock()
	defer d.mu.Unlock()
	var leaving []structs.InstanceID
	for id := range d.leaving {
		if id != d.self.ID && d.usable(id) {
			leaving = append(leaving, id)
		}
	}
	slices.Sort(leaving)
	return leaving
}

// Ranked lists the usable instances that are not shutting down, ordered by rendezvous
// hashing of a key. When an instance joins or leaves, only the keys for which it ranks
// first move.
func (d *Directory) Ranked(key string) []structs.InstanceID {
	d.mu.Lock()
	defer d.mu.Unlock()
	var all []candidate
	for machine, p := range d.byMachine {
		if !d.usable(p.ID) || d.leaving[p.ID] {
			continue
		}
		all = append(all, candidate{ID: p.ID, Score: rendezvous.Score(key, machine)})
	}
	return rendezvous.Order(all)
}

// First returns the first instance of Ranked, empty if there is none.
func (d *Directory) First(key string) structs.InstanceID {
	return d.FirstExcept(key, func(structs.InstanceID) bool { return false })
}

// FirstExcept returns the first instance of Ranked that is not excluded, empty if there
// is none.
func (d *Directory) FirstExcept(key string, excluded func(structs.InstanceID) bool) structs.InstanceID {
	d.mu.Lock()
	defer d.mu.Unlock()
	var first candidate
	for machine, p := range d.byMachine {
		if !d.usable(p.ID) || d.leaving[p.ID] || excluded(p.ID) {
			continue
		}
		c := candidate{ID: p.ID, Score: rendezvous.Score(key, machine)}
		if first.ID == "" || c.Before(first) {
			first = c
		}
	}
	return first.ID
}

// TopN lists the first instances by rendezvous hashing of a key, usable or not.
func (d *Directory) TopN(key string, limit int) []structs.InstanceID {
	d.mu.Lock()
	defer d.mu.Unlock()
	all := make([]candidate, 0, len(d.byMachine))
	for machine, p := range d.byMachine {
		all = append(all, candidate{ID: p.ID, Score: rendezvous.Score(key, machine)})
	}
	return rendezvous.Order(all)[:min(limit, len(all))]
}

// candidate is an instance with the rendezvous score of its machine.
type candidate = rendezvous.Candidate[structs.InstanceID]

// Rank returns the position of an instance among those of Ranked, from 0.
func (d *Directory) Rank(key string, id structs.InstanceID) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	own := rendezvous.Score(key, MachineOf(id))
	rank := 0
	for machine, p := range d.byMachine {
		if p.ID != id && d.usable(p.ID) && !d.leaving[p.ID] && rendezvous.Score(key, machine) > own {
			rank++
		}
	}
	return rank
}
