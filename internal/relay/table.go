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

// SlotsTopic holds a record for each slot.
const SlotsTopic = platform.KeyedPrefix + "relays"

// SlotsPerDataCentre is the number of relays of a data centre: with one lost and
// one cut off from the store two share its instances.
const SlotsPerDataCentre = 4

// Holder is the holder of a slot.
type Holder struct {
	Machine    string `json:"machine"`
	Address    string `json:"address"`
	DataCentre string `json:"data_centre"`
}

// slot names a slot: the data centre and a number from 0.
func slot(dataCentre string, number int) string {
	return dataCentre + "/" + strconv.Itoa(number)
}

// decodeEntry reads the record of a slot. One that is of another data centre or has
// no address was not written by an instance.
func decodeEntry(r platform.Record) (Holder, error) {
	var e Holder
	if err := json.Unmarshal(r.Value, &e); err != nil {
		return Holder{}, errors.Wrap(err, "decode the holder of a slot")
	}
	if !strings.HasPrefix(r.Key, e.DataCentre+"/") || e.Machine == "" {
		return Holder{}, errors.Newf("slot %q names machine %q of data centre %q", r.Key, e.Machine, e.DataCentre)
	}
	if _, err := netip.ParseAddrPort(e.Address); err != nil {
		return Holder{}, errors.Wrap(err, "address")
	}
	return e, nil
}

// table is who holds the slots.
type table map[string]Holder

// held is the number of the slot that an instance holds in its data centre, false
// if it holds none.
func (t table) held(self Holder) (int, bool) {
	for number := range SlotsPerDataCentre {
		if t[slot(self.DataCentre, number)] == self {
			return number, true
		}
	}
	return 0, false
}

// free is the first slot of a data centre that nobody holds, or that names the
// machine with an address that it no longer has.
func (t table) free(self Holder) (string, bool) {
	for number := range SlotsPerDataCentre {
		key := slot(self.DataCentre, number)
		if holder, ok := t[key]; !ok || holder.Machine == self.Machine {
			return key, true
		}
	}
	return "", false
}

// sources lists the other relays in the order in which an instance asks them: those
// of its data centre first, in an order that spreads the instances evenly.
func (t table) sources(self Holder) []Holder {
	type candidate struct {
		Holder
		score uint64
	}
	var all []candidate
	for _, e := range t {
		if e.Machine != self.Machine {
			all = append(all, candidate{e, rendezvous.Score(self.Machine, e.Machine)})
		}
	}
	slices.SortFunc(all, func(a, b candidate) int {
		return cmp.Or(
			compareBool(b.DataCentre == self.DataCentre, a.DataCentre == self.DataCentre),
			cmp.Compare(b.score, a.score), cmp.Compare(a.Machine, b.Machine))
	})
	entries := make([]Holder, len(all))
	for i, c := range all {
		entries[i] = c.Holder
	}
	return entries
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

// earlier lists the holders of the slots of a data centre before a number.
func (t table) earlier(dataCentre string, number int) []Holder {
	var entries []Holder
	for i := range number {
		if e, ok := t[slot(dataCentre, i)]; ok {
			entries = append(entries, e)
		}
	}
	return entries
}
