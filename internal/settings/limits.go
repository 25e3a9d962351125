package settings

// Limits of the tree. They bound the memory and the snapshot of an instance. They
// decide which records take effect, so all instances must have the same: a change
// of one needs a new recordVersion.
const (
	// MaxPathBytes bounds a path.
	MaxPathBytes = 256
	// MaxSegmentBytes bounds one segment of a path.
	MaxSegmentBytes = 63
	// MaxTeamDepth bounds the segments of a team.
	MaxTeamDepth = 8
	// MaxValueBytes bounds the JSON of one value.
	MaxValueBytes = 1024
	// MaxPaths bounds the paths of the tree, removed ones included.
	MaxPaths = 4096
	// MaxTreeBytes bounds the sum of all paths and values.
	MaxTreeBytes = 512 << 10
	// MaxChanges bounds the changes of one record.
	MaxChanges = 1024
	// MaxRecordBytes bounds one record on the log. The snapshot of a full
	// tree fits.
	MaxRecordBytes = 4 << 20
	// MaxChangeIDBytes bounds a change id and an author.
	MaxChangeIDBytes = 128
	// MaxFileBytes bounds a settings file.
	MaxFileBytes = 1 << 20
	// HistoryLength is the number of past changes kept for each path.
	HistoryLength = 32
	// maxSnapshotBytes is the size above which a snapshot drops history.
	maxSnapshotBytes = 1 << 20
	// maxOutcomes is the number of change ids remembered.
	maxOutcomes = 2048
	// maxCachedPolicies bounds the cache of resolved policies.
	maxCachedPolicies = 1024
)
