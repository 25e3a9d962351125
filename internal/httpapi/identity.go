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

// maxKeyClockSkew limits how far in the future the time of a dated idempotency
// key may be.
const maxKeyClockSkew = 10 * time.Second

// requestIDs generates request identifiers that are unique across instances and
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

// newProgramID returns a random identifier of a program created now.
func newProgramID(region structs.Region, now time.Time) structs.ProgramID {
	var random [10]byte
	// Read never fails.
	_, _ = rand.Read(random[:])
	return structs.NewProgramID(region, now, random)
}

// Purposes of keyed programs. They are part of the identifier, so that a key
// used for both yields two programs.
const (
	purposeOpen   = "open"
	purposeSingle = "single"
)

// keyedProgramID derives a program's identifier, which includes its creation
// time, from an idempotency key. A retry at any instance thus yields the same
// program.
//
// A dated key (a ULID or a UUID of version 7) contains the creation time. For any
// other key it is the start of the current period, so a retry in the next period
// yields another program and runs again. Calls that are not repeatable therefore
// require a dated key.
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

// keyTime returns the time in a key that is a ULID or a UUID of version 7, or
// false for any other key.
func keyTime(key string) (time.Time, bool) {
	if id, err := ulid.ParseStrict(strings.ToUpper(key)); err == nil {
		return ulid.Time(id.Time()), true
	}
	return uuidTime(key)
}

// uuidV7Pattern matches a UUID of version 7, whose first 12 hexadecimal digits
// are the time in Unix milliseconds.
var uuidV7Pattern = regexp.MustCompile(`^([0-9a-fA-F]{8})-([0-9a-fA-F]{4})-7[0-9a-fA-F]{3}-[89abAB][0-9a-fA-F]{3}-[0-9a-fA-F]{12}$`)

// uuidTime returns the time in a UUID of version 7, or false for any other key.
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
