package owner

import "time"

// Bounds and durations. Whatever a caller, a peer or the platform can make
// grow has a bound here.
const (
	// maxHeldMessages bounds the messages that wait for a shard to be claimed.
	maxHeldMessages = 1024
	// maxProgramCalls bounds the live calls of one program.
	maxProgramCalls = 256
	// maxShardCalls bounds the live calls of one shard.
	maxShardCalls = 8192
	// maxShardPrograms bounds the programs of one shard.
	maxShardPrograms = 20_000
	// maxShardResponseBytes bounds the answers recorded in one shard, in bytes.
	maxShardResponseBytes = 8 << 20
	// maxPendingRecords bounds the records that wait for the log; beyond it
	// no call starts.
	maxPendingRecords = 4096
	// maxBatchRecords and maxBatchBytes bound one append.
	maxBatchRecords = 256
	maxBatchBytes   = 512 << 10
	// defaultMaxTokens is the answer bound of a chat call that gives none.
	defaultMaxTokens = 4096

	// maxAppendRate bounds the appends of all instances together, in appends a
	// second; minBurst and the rate divided by burstDivisor those that one
	// instance may make at once.
	maxAppendRate = 300
	minBurst      = 4
	burstDivisor  = 4
	// lazyFlushDelay groups the records that no call waits for.
	lazyFlushDelay = 200 * time.Millisecond
	// confirmTimeout is how long an append may stay unconfirmed before the
	// log is taken to be down.
	confirmTimeout = time.Second
	// minAppendBackoff is the first wait before an append is repeated, doubled
	// up to maxAppendBackoff.
	minAppendBackoff = 50 * time.Millisecond
	maxAppendBackoff = time.Second
	// appendResendTimeout repeats an append that got no reply of any kind.
	appendResendTimeout = 3 * time.Second
	// logRetryAfter is the RetryAfter of a refusal while the log is down.
	logRetryAfter = 2 * time.Second
	// busyRetryAfter is the RetryAfter of a refusal for a full queue.
	busyRetryAfter = time.Second

	// responseMargin is how long before a caller's deadline its answer goes
	// out, so that it arrives in time.
	responseMargin = 10 * time.Millisecond
	// lingerTimeout is how long a call outlives the connection to its gateway.
	lingerTimeout = 2 * time.Second
	// permitResendInterval repeats a permit request until the dispatcher has it,
	// permitRefreshInterval afterwards.
	permitResendInterval  = 500 * time.Millisecond
	permitRefreshInterval = 5 * time.Second
	// maxResumes bounds the resumes of one stream.
	maxResumes = 3
	// lostShardBackoff is how long an instance that lost a shard leaves it to the
	// winner.
	lostShardBackoff = 2 * time.Second
	// minReleaseBackoff is the first wait before a release is repeated, doubled
	// up to maxReleaseBackoff.
	minReleaseBackoff = time.Second
	maxReleaseBackoff = 30 * time.Second
)
