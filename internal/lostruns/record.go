package lostruns

import (
	"encoding/json"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/banyanglade/banyanglade/internal/structs"
	"github.com/banyanglade/banyanglade/platform"
)

const (
	// RecordPrefix precedes the keys of the records in the store, one of each run.
	RecordPrefix = "run/"
	// maxRecordedID bounds the ids in a record, in bytes.
	maxRecordedID = 255
	// maxRecordedTime bounds the times in a record, which another writer may have
	// written.
	maxRecordedTime = 10 * time.Minute
)

// recordedRun is the value of a run's record.
type recordedRun struct {
	Target string               `json:"target"`
	State  structs.LostRunState `json:"state"`
	// MayEndFor is that of structs.LostRun, Lifetime that of the work, both in
	// nanoseconds.
	MayEndFor time.Duration `json:"may_end_for"`
	Lifetime  time.Duration `json:"lifetime"`
}

// recordKey returns the key of the record of a run.
func recordKey(work, run string) string { return RecordPrefix + work + "/" + run }

// encodeRecord returns the record of a run as of a time.
func encodeRecord(work string, run structs.Run, lifetime time.Duration, at time.Time) (platform.Record, error) {
	value, err := json.Marshal(recordedRun{
		Target: run.Target, State: run.State, MayEndFor: max(run.MayEndUntil.Sub(at), 0), Lifetime: lifetime,
	})
	if err != nil {
		return platform.Record{}, errors.Wrapf(err, "encode run %s", run.ID)
	}
	return platform.Record{Key: recordKey(work, run.ID), Value: value}, nil
}

// recordedWork is a run as read from its record.
type recordedWork struct {
	work     string
	run      structs.Run
	lifetime time.Duration
}

// decodeKey returns the work and the run of a record.
func decodeKey(key string) (work, run string, err error) {
	work, run, ok := strings.Cut(strings.TrimPrefix(key, RecordPrefix), "/")
	if !ok || work == "" || run == "" {
		return "", "", errors.Newf("the key %q names no run", key)
	}
	return work, run, nil
}

// decodeRecord decodes a record that was learned of at a time. It rejects values that no
// instance writes.
func decodeRecord(record platform.Record, at time.Time) (recordedWork, error) {
	work, id, err := decodeKey(record.Key)
	if err != nil {
		return recordedWork{}, err
	}
	var recorded recordedRun
	if err := json.Unmarshal(record.Value, &recorded); err != nil {
		return recordedWork{}, errors.Wrap(err, "decode the run")
	}
	switch {
	case recorded.Target == "" || len(recorded.Target) > maxRecordedID:
		return recordedWork{}, errors.Newf("the target has %d bytes", len(recorded.Target))
	case recorded.State != structs.LostRunOpen && recorded.State != structs.LostRunClosed && recorded.State != structs.LostRunTargetEnded:
		return recordedWork{}, errors.Newf("state %d is not that of a lost run", recorded.State)
	case recorded.MayEndFor < 0 || recorded.MayEndFor > maxRecordedTime:
		return recordedWork{}, errors.Newf("the target may end for %s", recorded.MayEndFor)
	case recorded.Lifetime <= 0 || recorded.Lifetime > maxRecordedTime:
		return recordedWork{}, errors.Newf("the work has a lifetime of %s", recorded.Lifetime)
	}
	return recordedWork{
		work: work, lifetime: recorded.Lifetime,
		run: structs.Run{ID: id, Target: recorded.Target, State: recorded.State, MayEndUntil: at.Add(recorded.MayEndFor)},
	}, nil
}
