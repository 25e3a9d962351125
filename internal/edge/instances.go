package edge

import (
	"context"
	"encoding/json"
	"log/slog"
	"math/rand/v2"
	"net/netip"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/banyanglade/banyanglade/internal/delay"
	"github.com/banyanglade/banyanglade/internal/directory"
	"github.com/banyanglade/banyanglade/internal/structs"
	"github.com/banyanglade/banyanglade/platform"
)

// topicInstances holds a record for each machine: the newest instance there.
const topicInstances = platform.KeyedPrefix + "instances"

// instanceRecord is an instance in the store.
type instanceRecord struct {
	ID         structs.InstanceID `json:"id"`
	Address    string             `json:"address"`
	DataCentre string             `json:"data_centre"`
	Region     string             `json:"region"`
}

// startNumberBase writes the number of a start in few letters.
const startNumberBase = 36

// newDirectory makes the directory with this instance. Its id is new with each
// start, so that nothing meant for an earlier one reaches it.
func newDirectory(machine platform.Machine) *directory.Directory {
	start := strconv.FormatInt(time.Now().UnixNano(), startNumberBase)
	return directory.New(structs.Peer{
		ID:         directory.InstanceID(machine.Name, start),
		Region:     structs.Region(machine.Region),
		DataCentre: structs.DataCentre(machine.DataCentre),
		Address:    machine.PeerAddress,
	})
}

// applyInstance takes one record of the topic into the directory.
func applyInstance(dir *directory.Directory, reregister chan<- struct{}, log *slog.Logger) func(platform.Record) {
	return func(r platform.Record) {
		if len(r.Value) == 0 {
			dir.Remove(r.Key)
			return
		}
		record, err := decodeInstance(r)
		if err != nil {
			log.Error("instance ignored", "machine", r.Key, "offset", r.Offset, "error", err.Error())
			return
		}
		self := dir.Self()
		if r.Key == directory.MachineOf(self.ID) {
			if record.ID != self.ID {
				// An earlier start's record took effect late.
				select {
				case reregister <- struct{}{}:
				default:
				}
			}
			return
		}
		dir.Put(structs.Peer{
			ID: record.ID, Region: structs.Region(record.Region),
			DataCentre: structs.DataCentre(record.DataCentre), Address: record.Address,
		})
		log.Debug("instance listed", "peer", record.ID, "address", record.Address, "offset", r.Offset)
	}
}

// decodeInstance reads the record of an instance. One that names another machine
// or no address was not written by that instance.
func decodeInstance(r platform.Record) (instanceRecord, error) {
	var record instanceRecord
	if err := json.Unmarshal(r.Value, &record); err != nil {
		return instanceRecord{}, errors.Wrap(err, "decode the record of an instance")
	}
	if directory.MachineOf(record.ID) != r.Key {
		return instanceRecord{}, errors.Newf("the record of machine %q names instance %q", r.Key, record.ID)
	}
	if _, err := netip.ParseAddrPort(record.Address); err != nil {
		return instanceRecord{}, errors.Wrap(err, "address")
	}
	return record, nil
}

// registerTimeout bounds one append of this instance's record.
const registerTimeout = 700 * time.Millisecond

// register writes this instance's record, and again whenever another start's
// record stands in its place.
func (e *edge) register(ctx context.Context) {
	self := e.directory.Self()
	value, err := json.Marshal(instanceRecord{
		ID: self.ID, Address: self.Address, DataCentre: string(self.DataCentre), Region: string(self.Region),
	})
	if err != nil {
		e.log.Error("instance not registered", "error", err.Error())
		return
	}
	record := platform.Record{Key: directory.MachineOf(self.ID), Value: value}
	for {
		e.writeRecord(ctx, record)
		select {
		case <-ctx.Done():
			return
		case <-e.reregister:
		}
	}
}

// Waits between two tries to register. They double up to a time that keeps the load
// of all instances far below what the store gives; its return ends them.
const (
	registerRetryFirst = 50 * time.Millisecond
	registerRetryMost  = 4 * time.Second
)

// writeRecord appends a record until it is acknowledged. Taking effect twice
// does no harm.
func (e *edge) writeRecord(ctx context.Context, record platform.Record) {
	wait := registerRetryFirst
	for ctx.Err() == nil {
		call, cancel := context.WithTimeout(ctx, registerTimeout)
		_, err := e.store.Append(call, platform.Append{Topic: topicInstances, Records: []platform.Record{record}})
		cancel()
		if err == nil {
			return
		}
		e.log.Debug("instance not registered yet", "error", err.Error())
		returned := e.health.Recovered()
		timer := time.NewTimer(wait/2 + rand.N(wait))
		select {
		case <-ctx.Done():
		case <-returned:
			delay.Sleep(ctx, rand.N(registerRetryFirst))
		case <-timer.C:
		}
		timer.Stop()
		wait = min(2*wait, registerRetryMost)
	}
}
