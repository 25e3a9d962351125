package httpapi

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/oklog/ulid/v2"

	"github.com/banyanglade/banyanglade/internal/structs"
)

// maxKeyAhead bounds how far a dated idempotency key may lie in the future,
// for clocks that differ.
const maxKeyAhead = 10 * time.Second

// requestIDs makes request identifiers that are unique over all instances and
// restarts.
type requestIDs struct {
	prefix string
	last   atomic.Uint64
}

func newRequestIDs(instance structs.InstanceID, incarnation string) *requestIDs {
	return &requestIDs{prefix: string(instance) + "-" + incarnation + "-"}
}

func (r *requestIDs) next() structs.RequestID {
	return structs.RequestID(r.prefix + strconv.FormatUint(r.last.Add(1), 36))
}

// newProgramID makes the identifier of a program opened now.
func newProgramID(region structs.Region, now time.Time) structs.ProgramID {
	var random [10]byte
	// Read never fails.
	_, _ = rand.Read(random[:])
	return structs.NewProgramID(region, now, random)
}

// Purposes of a keyed program, kept apart so that one key used for both names
// two programs.
const (
	purposeOpen   = "open"
	purposeSingle = "single"
)

// keyedProgramID derives a program's identifier from an idempotency key, so
// that a retry at any instance reaches the same record. The identifier's
// creation time must then be the same too.
//
// A dated key (a ULID or a UUID of version 7) carries that time. For any other
// key the time is the start of the present period: a retry in the next period
// names another program and runs again. That is allowed for repeatable calls
// only, so a not-repeatable one needs a dated key.
func keyedProgramID(region structs.Region, team structs.Team, purpose, key string,
	now time.Time, period time.Duration, exact bool) (structs.ProgramID, *Problem) {
	created, dated := keyTime(key)
	switch {
	case dated && created.After(now.Add(maxKeyAhead)):
		return "", refuse(structs.ReasonInvalid, "the time in the idempotency key lies in the future")
	case !dated && exact:
		return "", refuse(structs.ReasonInvalid,
			"without a program this request needs an idempotency key that is a ULID or a UUID of version 7")
	case !dated:
		created = now.Truncate(period)
	}
	sum := sha256.New()
	for _, part := range []string{purpose, string(team), key} {
		writeField(sum, []byte(part))
	}
	var random [10]byte
	copy(random[:], sum.Sum(nil))
	return structs.NewProgramID(region, created, random), nil
}

// keyTime gives the time that a ULID or a UUID of version 7 carries, false if
// the key is neither.
func keyTime(key string) (time.Time, bool) {
	if id, err := ulid.ParseStrict(strings.ToUpper(key)); err == nil {
		return ulid.Time(id.Time()), true
	}
	return uuidTime(key)
}

// uuidTime gives the time of a UUID of version 7 in its usual form.
func uuidTime(key string) (time.Time, bool) {
	const (
		length         = 36
		versionAt      = 14
		variantAt      = 19
		timeBytes      = 6
		uuidVersion    = '7'
		variantDigits  = "89abAB"
		dashes         = 4
		decodedInBytes = 16
	)
	if len(key) != length || key[versionAt] != uuidVersion || strings.IndexByte(variantDigits, key[variantAt]) < 0 {
		return time.Time{}, false
	}
	if key[8] != '-' || key[13] != '-' || key[18] != '-' || key[23] != '-' {
		return time.Time{}, false
	}
	raw, err := hex.DecodeString(strings.ReplaceAll(key, "-", ""))
	if err != nil || len(raw) != decodedInBytes {
		return time.Time{}, false
	}
	var padded [8]byte
	copy(padded[8-timeBytes:], raw[:timeBytes])
	return time.UnixMilli(int64(binary.BigEndian.Uint64(padded[:]))), true
}
