package owner

import "time"

// Bounds and durations. Whatever a caller, a peer or the platform can make
// grow has a bound here.
const (
	// maxHeld bounds the messages that wait for a shard to be claimed.
	maxHeld = 1024
	// maxProgramCalls bounds the live calls of one program.
	maxProgramCalls = 256
	// maxShardCalls bounds the live calls of one shard.
	maxShardCalls = 8192
	// maxShardPrograms bounds the programs of one shard.
	maxShardPrograms = 20_000
	// maxShardBytes bounds the answers recorded in one shard, in bytes.
	maxShardBytes = 8 << 20
	// maxPendingRecords bounds the records that wait for the log; beyond it
	// no call starts.
	maxPendingRecords = 4096
	// maxBatchRecords and maxBatchBytes bound one append.
	maxBatchRecords = 256
	maxBatchBytes   = 512 << 10
	// defaultMaxTokens is the answer bound of a chat call that gives none.
	defaultMaxTokens = 4096

	// appendRate bounds the appends of all instances together, in appends a
	// second; minBurst and the rate divided by burstShare those that one
	// instance may make at once.
	appendRate = 300
	minBurst   = 4
	burstShare = 4
	// lazyDelay groups the records that no call waits for.
	lazyDelay = 200 * time.Millisecond
	// confirmTimeout is how long an append may stay unconfirmed before the
	// log is taken to be down.
	confirmTimeout = time.Second
	// appendBackoff is the first wait before an append is repeated, doubled
	// up to appendBackoffMax.
	appendBackoff    = 50 * time.Millisecond
	appendBackoffMax = time.Second
	// resendAfter repeats an append that got no reply of any kind.
	resendAfter = 3 * time.Second
	// logRetryAfter is the RetryAfter of a refusal while the log is down.
	logRetryAfter = 2 * time.Second
	// busyRetryAfter is the RetryAfter of a refusal for a full queue.
	busyRetryAfter = time.Second

	// answerMargin is how long before a caller's deadline its answer goes
	// out, so that it arrives in time.
	answerMargin = 10 * time.Millisecond
	// lingerTime is how long a call outlives the connection to its gateway.
	lingerTime = 2 * time.Second
	// permitResend repeats a permit request until the dispatcher has it,
	// permitRefresh afterwards.
	permitResend  = 500 * time.Millisecond
	permitRefresh = 5 * time.Second
	// maxResumes bounds the resumes of one stream.
	maxResumes = 3
	// lostQuiet is how long an instance that lost a shard leaves it to the
	// winner.
	lostQuiet = 2 * time.Second
	// releaseRetry is the first wait before a release is repeated, doubled
	// up to releaseRetryMax.
	releaseRetry    = time.Second
	releaseRetryMax = 30 * time.Second
)
