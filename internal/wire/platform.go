package wire

import "encoding/json"

// Routes of the log service. {stream} matches [a-z0-9.-]+.
//
//	POST /v1/streams/{stream}/records            AppendRequest -> AppendReply
//	GET  /v1/streams/{stream}/records?from=&max=&wait_ms=   -> ReadReply
//	GET  /v1/streams/{stream}                    -> StreamInfo
//
// Offsets start at 0 and grow by one a record. An append is atomic: its
// records take consecutive offsets. Nothing is conditional. A reply may be
// lost after the append took effect. Overload is status 429, an outage is
// status 503 or a connection failure. A read below the first retained offset
// is status 410 with a StreamInfo body.
const (
	LogStreamsRoute   = "/v1/streams"
	LogRecordsSegment = "records"
)

// AppendRequest carries the records of one atomic append.
type AppendRequest struct {
	Records [][]byte `json:"records"`
}

// AppendReply gives the offset of the first record appended.
type AppendReply struct {
	First uint64 `json:"first"`
}

// LogRecord is one stored record.
type LogRecord struct {
	Offset uint64 `json:"offset"`
	// TimeMS is the log's own wall clock at the append, in Unix milliseconds.
	TimeMS int64  `json:"time_ms"`
	Data   []byte `json:"data"`
}

// ReadReply carries records in offset order. Next is the offset after the
// last record returned, or the requested offset if there is none. End is the
// offset that the next append will take.
type ReadReply struct {
	Records []LogRecord `json:"records"`
	Next    uint64      `json:"next"`
	End     uint64      `json:"end"`
}

// StreamInfo gives the retained range [First, End) of a stream.
type StreamInfo struct {
	First uint64 `json:"first"`
	End   uint64 `json:"end"`
}

// MembersRoute is the route of the membership list.
//
//	GET /v1/members -> MemberList
//
// The reply has an ETag; with If-None-Match an unchanged list is status 304.
const MembersRoute = "/v1/members"

// MemberList is the membership list as the platform shows it. It lags.
type MemberList struct {
	Version uint64   `json:"version"`
	Members []Member `json:"members"`
}

// Member roles and states.
const (
	MemberRoleInstance = "instance"
	MemberRoleTarget   = "target"
	MemberStateLive    = "live"
	MemberStateLeaving = "leaving"
)

// Member is one process the platform runs: an instance of banyanglade or a
// target of a service.
type Member struct {
	ID         string `json:"id"`
	Role       string `json:"role"`
	State      string `json:"state"`
	Region     string `json:"region"`
	DataCentre string `json:"data_centre"`
	// Address is the peer address (IP:port) of an instance, or the base URL
	// of a target.
	Address string `json:"address"`
	// Service is the service of a target, empty for an instance.
	Service string `json:"service,omitempty"`
}

// Control routes, offered by the stand-ins only, for tests: the platform's
// faults. POST /standin/faults sets LogFaults or MemberFaults.
const StandinFaultsRoute = "/standin/faults"

// LogFaults is the fault state of the stand-in log service.
type LogFaults struct {
	// Down refuses every request with status 503.
	Down bool `json:"down"`
	// DropAppendReplies closes the connection of the next N appends after
	// they took effect.
	DropAppendReplies int `json:"drop_append_replies"`
	// DropAppends closes the connection of the next N appends before they
	// take effect.
	DropAppends int `json:"drop_appends"`
	// DelayMS delays each request.
	DelayMS int `json:"delay_ms"`
	// Stream limits DropAppendReplies and DropAppends to one stream; empty
	// means all.
	Stream string `json:"stream,omitempty"`
}

// MemberFaults is the fault state of the stand-in membership list.
type MemberFaults struct {
	Down bool `json:"down"`
	// LagMS is the age of the list shown.
	LagMS int `json:"lag_ms"`
}

// StandinMemberRoute registers (PUT, body Member) or removes (DELETE) a member
// of the stand-in membership list: /standin/members/{id}.
const StandinMemberRoute = "/standin/members"

// RawJSON is an undecoded JSON value.
type RawJSON = json.RawMessage
