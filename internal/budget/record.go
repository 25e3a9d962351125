package budget

import (
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/banyanglade/banyanglade/internal/structs"
	"github.com/banyanglade/banyanglade/platform"
)

const (
	// topic holds the claims of partitions and the records of programs.
	topic = platform.KeyedPrefix + "budgets"
	// writerName is the writer whose epochs fence earlier owners.
	writerName = "owner"
	// ownerKey is the key of the claim; programPrefix starts the keys of programs.
	ownerKey      = "owner"
	programPrefix = "program/"
)

// ownerRecord is a claim of a partition.
type ownerRecord struct {
	Epoch int64              `json:"epoch"`
	Owner structs.InstanceID `json:"owner"`
	// Address is the IP:port on which other instances reach the owner.
	Address string `json:"address"`
	// Crashes is how many earlier owners may have allocated their slice of budgets
	// without a record; nil in records of versions without slices.
	Crashes *int `json:"losses,omitempty"`
	// CrashedOwners are the earlier owners that were not known to have ended.
	CrashedOwners []structs.InstanceID `json:"lost_owners,omitempty"`
	// TurnMS and RetentionMS are the lifetimes known to the owner, in milliseconds.
	TurnMS      int64 `json:"turn_ms,omitempty"`
	RetentionMS int64 `json:"retention_ms,omitempty"`
}

// lifetimes returns the lifetimes that the owner knew. It may be nil.
func (r *ownerRecord) lifetimes() Lifetimes {
	if r == nil {
		return Lifetimes{}
	}
	return Lifetimes{
		Turn: time.Duration(r.TurnMS) * time.Millisecond, Retention: time.Duration(r.RetentionMS) * time.Millisecond,
	}
}

// defaultCrashes is the crash count of a claim without one. Versions without slices
// allocated 0.6 of a budget, which the first two slices cover.
const defaultCrashes = 1

// crashes returns how many owners before that of the record may have allocated their
// slice.
func (r ownerRecord) crashes() int {
	if r.Crashes == nil {
		return defaultCrashes
	}
	return *r.Crashes
}

// accountRecord is the limit of a program's account, in tokens.
type accountRecord struct {
	Budget  int `json:"budget"`
	MaxTurn int `json:"most"`
	Limit   int `json:"limit"`
	// Crashes is the crash count of the owner that wrote the record: the limit
	// includes its slice, but not those of later owners.
	Crashes int `json:"losses"`
}

// encode encodes a record. The record types can always be encoded.
func encode(v any) []byte {
	data, err := json.Marshal(v)
	if err != nil {
		panic(errors.AssertionFailedf("encode %T: %v", v, err))
	}
	return data
}

// partitionState is the content of a partition in the store.
type partitionState struct {
	// owner is nil if the partition was never claimed.
	owner    *ownerRecord
	programs map[string]accountRecord
	// end is the offset after the newest record.
	end int64
}

// decodePartition decodes the newest records of a partition. A record that cannot be
// decoded is an error, since the limit in it is unknown.
func decodePartition(list platform.Newest) (partitionState, error) {
	out := partitionState{programs: make(map[string]accountRecord), end: list.End}
	for _, r := range list.Records {
		if len(r.Value) == 0 {
			continue
		}
		if r.Key == ownerKey {
			out.owner = new(ownerRecord)
			if err := json.Unmarshal(r.Value, out.owner); err != nil {
				return partitionState{}, errors.Wrapf(err, "decode claim at offset %d", r.Offset)
			}
			continue
		}
		var account accountRecord
		if err := json.Unmarshal(r.Value, &account); err != nil {
			return partitionState{}, errors.Wrapf(err, "decode record of %s at offset %d", r.Key, r.Offset)
		}
		if len(r.Key) > len(programPrefix) {
			out.programs[r.Key[len(programPrefix):]] = account
		}
	}
	return out, nil
}
