package relay

import (
	"cmp"
	"encoding/json"
	"net/netip"
	"slices"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/banyanglade/banyanglade/internal/rendezvous"
	"github.com/banyanglade/banyanglade/platform"
)

// SlotsTopic holds one record per slot.
const SlotsTopic = platform.KeyedPrefix + "relays"

// SlotsPerDataCentre is the number of relays of a data centre. With one crashed and one
// cut off from the store, two are left to serve its instances.
const SlotsPerDataCentre = 4

// Holder is an instance that holds a slot.
type Holder struct {
	Machine    string `json:"machine"`
	Address    string `json:"address"`
	DataCentre string `json:"data_centre"`
}

// slotKey returns the key of a slot: the data centre and a number from 0.
func slotKey(dataCentre string, number int) string {
	return dataCentre + "/" + strconv.Itoa(number)
}

// decodeHolder decodes the record of a slot. It rejects records that no instance can have
// written: those of another data centre, without a machine or without a valid address.
func decodeHolder(r platform.Record) (Holder, error) {
	var holder Holder
	if err := json.Unmarshal(r.Value, &holder); err != nil {
		return Holder{}, errors.Wrap(err, "decode the holder of the slot")
	}
	if !strings.HasPrefix(r.Key, holder.DataCentre+"/") || holder.Machine == "" {
		return Holder{}, errors.Newf("slot %q names machine %q of data centre %q; expected a machine of the slot's data centre", r.Key, holder.Machine, holder.DataCentre)
	}
	if _, err := netip.ParseAddrPort(holder.Address); err != nil {
		return Holder{}, errors.Wrap(err, "address")
	}
	return holder, nil
}

// slotTable maps the keys of slots to their holders.
type slotTable map[string]Holder

// slotOf returns the number of the slot that an instance holds in its data centre, false
// if it holds none.
func (t slotTable) slotOf(self Holder) (int, bool) {
	for number := range SlotsPerDataCentre {
		if t[slotKey(self.DataCentre, number)] == self {
			return number, true
		}
	}
	return 0, false
}

// freeSlot returns the first slot of a data centre that has no holder or is held by an
// earlier address of the same machine.
func (t slotTable) freeSlot(self Holder) (string, bool) {
	for number := range SlotsPerDataCentre {
		key := slotKey(self.DataCentre, number)
		if holder, ok := t[key]; !ok || holder.Machine == self.Machine {
			return key, true
		}
	}
	return "", false
}

// holds reports whether the instance with an address holds a slot.
func (t slotTable) holds(address string) bool {
	for _, holder := range t {
		if holder.Address == address {
			return true
		}
	}
	return false
}

// sources lists the other relays in the order in which an instance polls them: those of
// its data centre first, ordered by rendezvous hashing to spread the load.
func (t slotTable) sources(self Holder) []Holder {
	type candidate struct {
		Holder
		score uint64
	}
	var all []candidate
	for _, holder := range t {
		if holder.Machine != self.Machine {
			all = append(all, candidate{holder, rendezvous.Score(self.Machine, holder.Machine)})
		}
	}
	slices.SortFunc(all, func(a, b candidate) int {
		return cmp.Or(
			compareBool(b.DataCentre == self.DataCentre, a.DataCentre == self.DataCentre),
			cmp.Compare(b.score, a.score), cmp.Compare(a.Machine, b.Machine))
	})
	holders := make([]Holder, len(all))
	for i, c := range all {
		holders[i] = c.Holder
	}
	return holders
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}

// holdersBefore lists the holders of the slots of a data centre below a number.
func (t slotTable) holdersBefore(dataCentre string, number int) []Holder {
	var holders []Holder
	for i := range number {
		if holder, ok := t[slotKey(dataCentre, i)]; ok {
			holders = append(holders, holder)
		}
	}
	return holders
}
