// Package directory keeps the list of instances and which of them answer. It
// decides what is fast, never what is safe: the store's epochs do that.
package directory

import (
	"cmp"
	"slices"
	"strings"
	"sync"

	"github.com/banyanglade/banyanglade/internal/rendezvous"
	"github.com/banyanglade/banyanglade/internal/structs"
)

// separator stands between a machine's name and the number of a start in the
// id of an instance.
const separator = "~"

// InstanceID makes the id of one start of the process on a machine.
func InstanceID(machine, start string) structs.InstanceID {
	return structs.InstanceID(machine + separator + start)
}

// MachineOf is the machine that an instance runs on.
func MachineOf(id structs.InstanceID) string {
	machine, _, _ := strings.Cut(string(id), separator)
	return machine
}

// Directory is the list of instances. It is safe for concurrent use.
type Directory struct {
	self structs.Peer

	mu sync.Mutex
	// byMachine holds the newest start on each machine.
	byMachine map[string]structs.Peer
	silent    map[structs.InstanceID]bool
	leaving   map[structs.InstanceID]bool
	// version counts the changes.
	version uint64
}

// New makes a directory that holds this instance only.
func New(self structs.Peer) *Directory {
	return &Directory{
		self:      self,
		byMachine: map[string]structs.Peer{MachineOf(self.ID): self},
		silent:    make(map[structs.InstanceID]bool),
		leaving:   make(map[structs.InstanceID]bool),
	}
}

// Version changes whenever what the directory says may have changed.
func (d *Directory) Version() uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.version
}

// Self is this instance.
func (d *Directory) Self() structs.Peer { return d.self }

// Put adds an instance, or replaces an earlier start on its machine.
func (d *Directory) Put(p structs.Peer) {
	machine := MachineOf(p.ID)
	if machine == MachineOf(d.self.ID) {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.version++
	if old, ok := d.byMachine[machine]; ok && old.ID != p.ID {
		d.forget(old.ID)
	}
	d.byMachine[machine] = p
}

// Discover adds an instance that something else than the list names, unless a later
// start on its machine is listed.
func (d *Directory) Discover(id structs.InstanceID, address string) {
	machine := MachineOf(id)
	if machine == MachineOf(d.self.ID) || address == "" {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.version++
	old, ok := d.byMachine[machine]
	if ok && !startedAfter(id, old.ID) {
		return
	}
	d.forget(old.ID)
	// An earlier start on the machine was in the same data centre.
	learned := old
	learned.ID, learned.Address = id, address
	d.byMachine[machine] = learned
}

// startedAfter tells whether a start on a machine came after another one there.
// The numbers of starts are times in one base, so a longer one is later.
func startedAfter(a, b structs.InstanceID) bool {
	return len(a) > len(b) || (len(a) == len(b) && a > b)
}

// Remove drops the instance on a machine.
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
	delete(d.silent, id)
	delete(d.leaving, id)
}

// Resolve finds an instance.
func (d *Directory) Resolve(id structs.InstanceID) (structs.Peer, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	p, ok := d.byMachine[MachineOf(id)]
	return p, ok && p.ID == id
}

// Ended tells whether an instance is known to have ended: another start on its
// machine is listed.
func (d *Directory) Ended(id structs.InstanceID) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	p, ok := d.byMachine[MachineOf(id)]
	return ok && p.ID != id
}

// SetUnresponsive notes whether an instance answers.
func (d *Directory) SetUnresponsive(id structs.InstanceID, silent bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.silent[id] == silent {
		return
	}
	d.version++
	if silent {
		d.silent[id] = true
		return
	}
	delete(d.silent, id)
}

// SetLeaving notes that an instance shuts down.
func (d *Directory) SetLeaving(id structs.InstanceID) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.version++
	d.leaving[id] = true
}

// Usable tells whether an instance is listed and answers, as far as is known.
func (d *Directory) Usable(id structs.InstanceID) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.usable(id)
}

func (d *Directory) usable(id structs.InstanceID) bool {
	return d.byMachine[MachineOf(id)].ID == id && !d.silent[id]
}

// Suspected tells whether an instance is listed but did not answer when it was
// last asked.
func (d *Directory) Suspected(id structs.InstanceID) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.byMachine[MachineOf(id)].ID == id && d.silent[id]
}

// Others lists the other instances that answer.
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

// Ranked lists the instances that answer and do not leave, by rendezvous
// hashing of a key, so that a change of one instance moves only what it held.
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

// First is the first of Ranked, empty if there is none.
func (d *Directory) First(key string) structs.InstanceID {
	return d.FirstExcept(key, func(structs.InstanceID) bool { return false })
}

// FirstExcept is the first of Ranked that is not excluded, empty if there is none.
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

// TopN lists the first instances by rendezvous hashing of a key, whether they
// answer or not.
func (d *Directory) TopN(key string, most int) []structs.InstanceID {
	d.mu.Lock()
	defer d.mu.Unlock()
	all := make([]candidate, 0, len(d.byMachine))
	for machine, p := range d.byMachine {
		all = append(all, candidate{ID: p.ID, Score: rendezvous.Score(key, machine)})
	}
	return rendezvous.Order(all)[:min(most, len(all))]
}

// candidate is an instance with the score of its machine for a key.
type candidate = rendezvous.Candidate[structs.InstanceID]

// Rank is the place that an instance has among those of Ranked, from 0.
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
