package edge

import (
	"context"
	"encoding/json"
	"log/slog"
	"math/rand/v2"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/banyanglade/banyanglade/internal/delay"
	"github.com/banyanglade/banyanglade/internal/directory"
	"github.com/banyanglade/banyanglade/internal/lostruns"
	"github.com/banyanglade/banyanglade/internal/structs"
	"github.com/banyanglade/banyanglade/platform"
)

// topicInstances holds one record per machine, of the latest incarnation on it, and the
// records of lost runs. Every instance follows it, so that the latter cost no further reads.
const topicInstances = platform.KeyedPrefix + "instances"

// instanceRecord is the record of an instance in the store.
type instanceRecord struct {
	ID         structs.InstanceID `json:"id"`
	Address    string             `json:"address"`
	DataCentre string             `json:"data_centre"`
	Region     string             `json:"region"`
}

// startNumberBase is the base in which start numbers are formatted.
const startNumberBase = 36

// newDirectory returns a directory with this instance. Its id is new with each start, so
// that messages to an earlier incarnation do not reach it.
func newDirectory(machine platform.Machine) *directory.Directory {
	start := strconv.FormatInt(time.Now().UnixNano(), startNumberBase)
	return directory.New(structs.Peer{
		ID:         directory.InstanceID(machine.Name, start),
		Region:     structs.Region(machine.Region),
		DataCentre: structs.DataCentre(machine.DataCentre),
		Address:    machine.PeerAddress,
	})
}

// applyRecord returns a function that applies records of the topic.
func applyRecord(instance, lostRun func(platform.Record)) func(platform.Record) {
	return func(r platform.Record) {
		if strings.HasPrefix(r.Key, lostruns.RecordPrefix) {
			lostRun(r)
			return
		}
		instance(r)
	}
}

// applyInstance returns a function that applies records of instances to the directory. The
// function ended is called when an instance turns out to have ended.
func applyInstance(dir *directory.Directory, reregister chan<- struct{}, ended func(), log *slog.Logger) func(platform.Record) {
	return func(r platform.Record) {
		if len(r.Value) == 0 {
			dir.Remove(r.Key)
			return
		}
		record, err := decodeInstance(r)
		if err != nil {
			log.Error("ignored malformed instance record", "machine", r.Key, "offset", r.Offset, "error", err.Error())
			return
		}
		self := dir.Self()
		if r.Key == directory.MachineOf(self.ID) {
			if record.ID != self.ID {
				ended()
				// The record of an earlier incarnation, which may have taken effect late.
				select {
				case reregister <- struct{}{}:
				default:
				}
			}
			return
		}
		replaced := dir.Put(structs.Peer{
			ID: record.ID, Region: structs.Region(record.Region),
			DataCentre: structs.DataCentre(record.DataCentre), Address: record.Address,
		})
		if replaced {
			ended()
		}
		log.Debug("instance listed", "peer", record.ID, "address", record.Address, "offset", r.Offset)
	}
}

// decodeInstance decodes the record of an instance. It rejects records that the instance
// cannot have written: those of another machine or without a valid address.
func decodeInstance(r platform.Record) (instanceRecord, error) {
	var record instanceRecord
	if err := json.Unmarshal(r.Value, &record); err != nil {
		return instanceRecord{}, errors.Wrap(err, "decode the instance record")
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

// register writes this instance's record, and again whenever the record of another
// incarnation replaces it.
func (e *edge) register(ctx context.Context) {
	self := e.directory.Self()
	value, err := json.Marshal(instanceRecord{
		ID: self.ID, Address: self.Address, DataCentre: string(self.DataCentre), Region: string(self.Region),
	})
	if err != nil {
		e.log.Error("failed to register this instance", "error", err.Error())
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

// Bounds of the backoff between two attempts to register. The upper one limits the load
// on the store when all instances retry; a recovery of the store ends the backoff.
const (
	minRegisterRetry = 50 * time.Millisecond
	maxRegisterRetry = 4 * time.Second
)

// writeRecord appends a record until the append is acknowledged. Duplicate appends do no
// harm.
func (e *edge) writeRecord(ctx context.Context, record platform.Record) {
	wait := minRegisterRetry
	for ctx.Err() == nil {
		call, cancel := context.WithTimeout(ctx, registerTimeout)
		_, err := e.store.Append(call, platform.Append{Topic: topicInstances, Records: []platform.Record{record}})
		cancel()
		if err == nil {
			return
		}
		e.log.Debug("failed to register this instance, retrying", "error", err.Error())
		recovered := e.health.Recovered()
		timer := time.NewTimer(wait/2 + rand.N(wait))
		select {
		case <-ctx.Done():
		case <-recovered:
			delay.Sleep(ctx, rand.N(minRegisterRetry))
		case <-timer.C:
		}
		timer.Stop()
		wait = min(2*wait, maxRegisterRetry)
	}
}
