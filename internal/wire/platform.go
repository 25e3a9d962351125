package wire

import "encoding/json"

// Routes of the log service. {stream} matches [a-z0-9.-]+.
//
//	POST /v1/streams/{stream}/records            AppendRequest -> AppendReply
//	GET  /v1/streams/{stream}/records?from=&max=&wait_ms=   -> ReadReply
//	GET  /v1/streams/{stream}                    -> StreamInfo
//
// Offsets start at 0 and increase by one per record. An append is atomic: its
// records have consecutive offsets. Appends are unconditional, and a response
// may be lost after the append took effect. Status 429 means overload; status
// 503 or a connection failure means an outage. A read below the first retained
// offset fails with status 410 and a StreamInfo body.
const (
	LogStreamsRoute   = "/v1/streams"
	LogRecordsSegment = "records"
)

// AppendRequest carries the records of one atomic append.
type AppendRequest struct {
	Records [][]byte `json:"records"`
}

// AppendReply contains the offset of the first record appended.
type AppendReply struct {
	First uint64 `json:"first"`
}

// LogRecord is one stored record.
type LogRecord struct {
	Offset uint64 `json:"offset"`
	// TimeMS is the time of the append by the log's clock, in Unix milliseconds.
	TimeMS int64  `json:"time_ms"`
	Data   []byte `json:"data"`
}

// ReadReply contains records in offset order. Next is the offset after the last
// record returned, or the requested offset if there are none. End is the offset
// of the next append.
type ReadReply struct {
	Records []LogRecord `json:"records"`
	Next    uint64      `json:"next"`
	End     uint64      `json:"end"`
}

// StreamInfo is the retained offset range [First, End) of a stream.
type StreamInfo struct {
	First uint64 `json:"first"`
	End   uint64 `json:"end"`
}

// MembersRoute is the route of the membership list.
//
//	GET /v1/members -> MemberList
//
// The response has an ETag. With If-None-Match, an unchanged list results in
// status 304.
const MembersRoute = "/v1/members"

// MemberList is the platform's membership list. It may be outdated.
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

// Member is a process run by the platform: an instance of banyanglade or a
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

// StandinFaultsRoute injects faults. Only the stand-ins have it, for tests:
// POST /standin/faults sets LogFaults or MemberFaults.
const StandinFaultsRoute = "/standin/faults"

// LogFaults is the fault state of the stand-in log service.
type LogFaults struct {
	// Down refuses every request with status 503.
	Down bool `json:"down"`
	// DropAppendReplies closes the connections of the next N appends after
	// they took effect.
	DropAppendReplies int `json:"drop_append_replies"`
	// DropAppends closes the connections of the next N appends before they
	// take effect.
	DropAppends int `json:"drop_appends"`
	// DelayMS delays each request.
	DelayMS int `json:"delay_ms"`
	// Stream limits DropAppendReplies and DropAppends to one stream, all
	// streams if empty.
	Stream string `json:"stream,omitempty"`
}

// MemberFaults is the fault state of the stand-in membership list.
type MemberFaults struct {
	Down bool `json:"down"`
	// LagMS is the age of the returned list in milliseconds.
	LagMS int `json:"lag_ms"`
}

// StandinMemberRoute registers (PUT, body Member) or removes (DELETE) a member
// of the stand-in membership list: /standin/members/{id}.
const StandinMemberRoute = "/standin/members"

// RawJSON is an undecoded JSON value.
type RawJSON = json.RawMessage
