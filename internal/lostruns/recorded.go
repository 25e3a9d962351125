package lostruns

import (
	"time"

	"github.com/banyanglade/banyanglade/internal/serve"
	"github.com/banyanglade/banyanglade/internal/structs"
	"github.com/banyanglade/banyanglade/platform"
)

// recordsKey selects the instance that ends the records whose time is over.
const recordsKey = "lost-runs"

// recordRetention is how long a record is kept beyond the lifetime of its work: instances
// learn of it at different times.
const recordRetention = 10 * time.Second

// record makes the next append to the store contain the runs that must outlive all
// instances: those of work of which a run is open or a target has ended. Runs that turned
// out harmless lose their record. It returns nil if nobody has to wait for the append.
func (m *Manager) record(work serve.Work, runs structs.Runs) *appendResult {
	if m.recorder == nil || work.InMemory {
		return nil
	}
	var records, ended []platform.Record
	now := time.Now()
	kept := len(runs.Targets(structs.LostRunOpen, structs.LostRunTargetEnded)) > 0
	for _, run := range runs {
		key := recordKey(work.ID, run.ID)
		if run.State == structs.LostRunHarmless || run.State == structs.LostRunOver {
			if m.isRecorded(key) {
				ended = append(ended, platform.Record{Key: key})
			}
			continue
		}
		if !kept {
			continue
		}
		record, err := encodeRecord(work.ID, run, work.Lifetime, now)
		if err != nil {
			m.Log.Error("lost run not recorded", "work", work.ID, "run", run.ID, "error", err.Error())
			continue
		}
		records = append(records, record)
		m.markRecorded(key, work.Lifetime, now)
	}
	m.recorder.add(ended, false)
	return m.recorder.add(records, true)
}

// markRecorded records that a run has a record in the store.
func (m *Manager) markRecorded(key string, lifetime time.Duration, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.recorded[key] = now.Add(lifetime + recordRetention)
}

func (m *Manager) isRecorded(key string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	_, ok := m.recorded[key]
	return ok
}

// ApplyRecord applies a record of the store.
func (m *Manager) ApplyRecord(record platform.Record) {
	now := time.Now()
	if len(record.Value) == 0 {
		m.forget(record.Key)
		return
	}
	recorded, err := decodeRecord(record, now)
	m.mu.Lock()
	defer m.mu.Unlock()
	if err != nil {
		m.Log.Error("ignored malformed record of a lost run", "key", record.Key, "offset", record.Offset, "error", err.Error())
		// It is removed like any other.
		m.recorded[record.Key] = now.Add(recordRetention)
		return
	}
	m.recorded[record.Key] = now.Add(recorded.lifetime + recordRetention)
	if recorded.run.State == structs.LostRunTargetEnded {
		m.disturb(now)
	}
	m.runs.merge(recorded.work, structs.Runs{recorded.run}, recorded.lifetime, now)
}

// forget applies the end of a record.
func (m *Manager) forget(key string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.recorded, key)
	if work, run, err := decodeKey(key); err == nil {
		m.runs.remove(work, run)
	}
}

// endRecords ends the records whose time is over, at the instance that ranks first.
func (m *Manager) endRecords(now time.Time) {
	if m.recorder == nil || m.Directory.First(recordsKey) != m.Directory.Self().ID {
		return
	}
	var ended []platform.Record
	m.mu.Lock()
	for key, until := range m.recorded {
		if now.After(until) {
			ended = append(ended, platform.Record{Key: key})
			delete(m.recorded, key)
		}
	}
	m.mu.Unlock()
	m.recorder.add(ended, false)
}
