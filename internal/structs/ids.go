package structs

import (
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/oklog/ulid/v2"
)

// Identifiers of the entities.
type (
	// InstanceID names an instance, as configured.
	InstanceID string
	// Region names a group of data centres that share one set of shards.
	Region string
	// DataCentre names a data centre of a region.
	DataCentre string
	// Team is the path of a team in the settings tree, such as
	// "lakeshore/clearance". A team has access to its own path and those below it.
	Team string
	// ServiceName names a service: a set of targets that do the same work.
	ServiceName string
	// TargetID names one target of a service.
	TargetID string
	// ProgramID names a program. It contains the program's region and creation time;
	// see NewProgramID.
	ProgramID string
	// Lane names an ordered sequence of calls within a program. The empty lane is the
	// program's main sequence; each sub-agent has a lane of its own.
	Lane string
	// ShardID numbers a shard of programs within a region, from 0.
	ShardID uint16
	// Epoch numbers the owners of a shard, from 1. The log assigns it.
	Epoch uint64
	// RequestID names one request of a caller at one gateway. It is unique across
	// gateways and restarts.
	RequestID string
	// RunID names one attempt to run a call at a target. It is unique across owners
	// and restarts and is the stream id at engines.
	RunID string
	// AppendID names one append requested by a component.
	AppendID uint64
	// OrderID names one SendOrder or ReadOrders command of this instance.
	OrderID uint64
)

// ErrProgramID is returned for a malformed program identifier.
var ErrProgramID = errors.New("malformed program id")

// NewProgramID returns a program identifier for the region, the creation time and 10
// random bytes.
func NewProgramID(region Region, created time.Time, random [10]byte) ProgramID {
	var id ulid.ULID
	// SetTime fails only after the year 10889.
	_ = id.SetTime(ulid.Timestamp(created))
	_ = id.SetEntropy(random[:])
	return ProgramID(string(region) + "-" + strings.ToLower(id.String()))
}

// Parse splits a program identifier into its region and creation time. It
// returns ErrProgramID if the identifier is malformed.
func (p ProgramID) Parse() (Region, time.Time, error) {
	cut := strings.LastIndexByte(string(p), '-')
	if cut <= 0 {
		return "", time.Time{}, ErrProgramID
	}
	id, err := ulid.ParseStrict(strings.ToUpper(string(p[cut+1:])))
	if err != nil {
		return "", time.Time{}, errors.Mark(err, ErrProgramID)
	}
	return Region(p[:cut]), ulid.Time(id.Time()), nil
}

// ShardOf returns the shard of a program among the count shards of its region.
func ShardOf(p ProgramID, count int) ShardID {
	return ShardID(xxhash.Sum64String(string(p)) % uint64(count))
}

// ShardRef identifies a shard across regions.
type ShardRef struct {
	Region Region
	Shard  ShardID
}

// Stream returns the name of the shard's journal stream in the log.
func (s ShardRef) Stream() string {
	return "shard." + string(s.Region) + "." + strconv.Itoa(int(s.Shard))
}

// SettingsStream is the log stream of the settings tree.
const SettingsStream = "settings"

// PoolID identifies the targets of one service in one region. One dispatcher at a time
// queues calls for them.
type PoolID struct {
	Service ServiceName
	Region  Region
}

// poolStreamPrefix is the prefix of the names of pools' log streams.
const poolStreamPrefix = "pool."

// Stream returns the name of the log stream that elects the controller of the pool's
// targets. Stream names cannot contain an underscore; a hash distinguishes services
// whose names differ only by it.
func (p PoolID) Stream() string {
	service := string(p.Service)
	if strings.Contains(service, "_") {
		hash := strconv.FormatUint(xxhash.Sum64String(service), 16)
		service = strings.ReplaceAll(service, "_", "-") + "." + hash
	}
	return poolStreamPrefix + string(p.Region) + "." + service
}

// IsPoolStream reports whether a log stream belongs to a pool.
func IsPoolStream(stream string) bool { return strings.HasPrefix(stream, poolStreamPrefix) }

// CallRef identifies a call at its owner.
type CallRef struct {
	Program ProgramID
	Run     RunID
}

// Contains reports whether other is t or below it. The empty team contains all.
func (t Team) Contains(other Team) bool {
	if t == "" || t == other {
		return true
	}
	return strings.HasPrefix(string(other), string(t)+"/")
}
