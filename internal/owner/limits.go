package owner

import "time"

// Limits and timeouts. Everything that a caller, a peer or the platform can make
// grow has a limit here.
const (
	// maxHeldMessages limits the messages that wait for a shard to be claimed.
	maxHeldMessages = 1024
	// maxProgramCalls limits the live calls of a program.
	maxProgramCalls = 256
	// maxShardCalls limits the live calls of a shard.
	maxShardCalls = 8192
	// maxShardPrograms limits the programs of a shard.
	maxShardPrograms = 20_000
	// maxShardResponseBytes limits the bytes of responses recorded in a shard.
	maxShardResponseBytes = 8 << 20
	// maxPendingRecords limits the records not in the log yet. No call starts
	// beyond it.
	maxPendingRecords = 4096
	// maxBatchRecords and maxBatchBytes limit one append.
	maxBatchRecords = 256
	maxBatchBytes   = 512 << 10
	// defaultMaxTokens is the token limit of a chat call that sets none.
	defaultMaxTokens = 4096

	// maxAppendRate limits the appends of all instances together, per second. The
	// burst of an instance is its fraction of that rate divided by burstDivisor,
	// and at least minBurst.
	maxAppendRate = 300
	minBurst      = 4
	burstDivisor  = 4
	// lazyFlushDelay is how long records that no caller waits for are batched.
	lazyFlushDelay = 200 * time.Millisecond
	// confirmTimeout is how long an append may stay unconfirmed before the log is
	// considered unavailable.
	confirmTimeout = time.Second
	// minAppendBackoff is the initial delay before a failed append is repeated.
	// It doubles up to maxAppendBackoff.
	minAppendBackoff = 50 * time.Millisecond
	maxAppendBackoff = time.Second
	// appendResendTimeout is the delay before an append without any reply is
	// repeated.
	appendResendTimeout = 3 * time.Second
	// logRetryAfter is the RetryAfter delay while the log is unavailable.
	logRetryAfter = 2 * time.Second
	// busyRetryAfter is the RetryAfter delay when a limit is reached.
	busyRetryAfter = time.Second

	// responseMargin is how long before a caller's deadline its response is sent,
	// so that it arrives in time.
	responseMargin = 10 * time.Millisecond
	// lingerTimeout is how long a call outlives the connection to its gateway.
	lingerTimeout = 2 * time.Second
	// permitResendInterval is the interval between permit requests until the
	// dispatcher has queued the call, permitRefreshInterval the interval
	// afterwards.
	permitResendInterval  = 500 * time.Millisecond
	permitRefreshInterval = 5 * time.Second
	// maxResumes limits the resumes of one stream.
	maxResumes = 3
	// lostShardBackoff is how long an instance that lost a shard to another one
	// does not reclaim it.
	lostShardBackoff = 2 * time.Second
	// minReleaseBackoff is the initial delay before a cache release is repeated.
	// It doubles up to maxReleaseBackoff.
	minReleaseBackoff = time.Second
	maxReleaseBackoff = 30 * time.Second
)
