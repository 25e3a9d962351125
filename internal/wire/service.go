package wire

// Tool and plain services take any HTTP request on any path. Those that can be
// asked by idempotency key also answer
//
//	GET /v1/outcomes/{key} -> OutcomeReply (404: no request with that key ran)
//
// The stand-ins list what ran, for the checkers:
//
//	GET /standin/ledger -> Ledger
const (
	OutcomesRoute      = "/v1/outcomes"
	StandinLedgerRoute = "/standin/ledger"
	HealthRoute        = "/healthz"
)

// OutcomeReply is the stored answer of a request, by idempotency key.
type OutcomeReply struct {
	Status      int    `json:"status"`
	ContentType string `json:"content_type"`
	Body        []byte `json:"body"`
}

// LedgerEntry is one request that a stand-in target ran.
type LedgerEntry struct {
	// Sequence is the order of arrival, from 0.
	Sequence uint64 `json:"sequence"`
	TimeMS   int64  `json:"time_ms"`
	Target   string `json:"target"`
	Program  string `json:"program"`
	Key      string `json:"key"`
	Method   string `json:"method"`
	Path     string `json:"path"`
	// BodyHash is the xxhash64 of the body, in hex.
	BodyHash string `json:"body_hash"`
	// Finished is false while the request runs or was cancelled.
	Finished bool `json:"finished"`
	// Tokens is the completion tokens made, for engines.
	Tokens int64 `json:"tokens"`
}

// Ledger lists the entries in arrival order.
type Ledger struct {
	Entries []LedgerEntry `json:"entries"`
}

// ServiceFaults is the fault state of a stand-in target, set by POST
// /standin/faults.
type ServiceFaults struct {
	// Hang holds new requests without an answer until it is cleared.
	Hang bool `json:"hang"`
	// FailNext answers the next N requests with status 503 before running.
	FailNext int `json:"fail_next"`
	// DropReplies closes the connection of the next N requests after they ran.
	DropReplies int `json:"drop_replies"`
	// Slow multiplies the run time; 0 and 1 mean normal.
	Slow float64 `json:"slow"`
	// DelayMS is the run time of a plain or tool request.
	DelayMS int `json:"delay_ms"`
}
