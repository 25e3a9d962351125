package httpapi

import (
	"crypto/rand"
	"crypto/sha256"
	"regexp"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/oklog/ulid/v2"

	"github.com/banyanglade/banyanglade/internal/structs"
)

// maxKeyClockSkew bounds how far a dated idempotency key may lie in the future,
// for clocks that differ.
const maxKeyClockSkew = 10 * time.Second

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
	now time.Time, period time.Duration, requireDated bool) (structs.ProgramID, *Problem) {
	created, dated := keyTime(key)
	switch {
	case dated && created.After(now.Add(maxKeyClockSkew)):
		return "", refusal(structs.ReasonInvalid, "the time in the idempotency key lies in the future")
	case !dated && requireDated:
		return "", refusal(structs.ReasonInvalid,
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

// The usual form of a UUID of version 7: 8-4-4-4-12 hexadecimal digits, of
// which the first 12 are the time in Unix milliseconds.
var uuidV7Pattern = regexp.MustCompile(`^([0-9a-fA-F]{8})-([0-9a-fA-F]{4})-7[0-9a-fA-F]{3}-[89abAB][0-9a-fA-F]{3}-[0-9a-fA-F]{12}$`)

// uuidTime gives the time of a UUID of version 7.
func uuidTime(key string) (time.Time, bool) {
	parts := uuidV7Pattern.FindStringSubmatch(key)
	if parts == nil {
		return time.Time{}, false
	}
	milliseconds, err := strconv.ParseInt(parts[1]+parts[2], 16, 64)
	if err != nil {
		return time.Time{}, false
	}
	return time.UnixMilli(milliseconds), true
}
