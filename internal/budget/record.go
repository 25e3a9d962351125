package budget

import (
	"encoding/json"

	"github.com/cockroachdb/errors"

	"github.com/banyanglade/banyanglade/internal/structs"
	"github.com/banyanglade/banyanglade/platform"
)

const (
	// topic holds a record for each partition's owner and for the programs
	// that need one.
	topic = platform.KeyedPrefix + "budgets"
	// writerName is the writer whose epochs fence earlier owners.
	writerName = "owner"
	// ownerKey is the key of the owner's record; programPrefix begins those of
	// programs.
	ownerKey      = "owner"
	programPrefix = "program/"
)

// ownerRecord is a claim of a partition.
type ownerRecord struct {
	Epoch int64              `json:"epoch"`
	Owner structs.InstanceID `json:"owner"`
	// Address is where other instances reach the owner, IP:port.
	Address string `json:"address"`
	// Crashes is how many owners before this one may have handed out their slice
	// of budgets without a record; nil in records of before slices.
	Crashes *int `json:"losses,omitempty"`
}

// defaultCrashes is what a record without a number of losses counts for: owners of
// before slices handed out 0.6 of a budget, which the first two slices cover.
const defaultCrashes = 1

// crashes is how many owners before that of the record may have handed out their
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
	// Crashes is that of the owner that wrote the record: its slice is within the
	// limit, those of later owners are not.
	Crashes int `json:"losses"`
}

// encode encodes a record. The types above always can be.
func encode(v any) []byte {
	data, err := json.Marshal(v)
	if err != nil {
		panic(errors.AssertionFailedf("encode %T: %v", v, err))
	}
	return data
}

// partitionState is what a partition holds in the store.
type partitionState struct {
	// owner is nil if the partition was never claimed.
	owner    *ownerRecord
	programs map[string]accountRecord
	// end is the offset behind the newest record.
	end int64
}

// decodePartition decodes the newest records of a partition. A record that
// cannot be decoded is an error: what it allows is not known.
func decodePartition(list platform.Newest) (partitionState, error) {
	out := partitionState{programs: make(map[string]accountRecord), end: list.End}
	for _, r := range list.Records {
		if len(r.Value) == 0 {
			continue
		}
		if r.Key == ownerKey {
			out.owner = new(ownerRecord)
			if err := json.Unmarshal(r.Value, out.owner); err != nil {
				return partitionState{}, errors.Wrapf(err, "owner's record at offset %d", r.Offset)
			}
			continue
		}
		var account accountRecord
		if err := json.Unmarshal(r.Value, &account); err != nil {
			return partitionState{}, errors.Wrapf(err, "record of %s at offset %d", r.Key, r.Offset)
		}
		if len(r.Key) > len(programPrefix) {
			out.programs[r.Key[len(programPrefix):]] = account
		}
	}
	return out, nil
}
