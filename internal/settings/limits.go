package settings

// Limits of the tree, which bound memory and snapshot size. They decide which records
// take effect, so all instances must have the same: changing one requires a new
// recordVersion.
const (
	// MaxPathBytes is the maximum length of a path.
	MaxPathBytes = 256
	// MaxSegmentBytes is the maximum length of a path segment.
	MaxSegmentBytes = 63
	// MaxTeamDepth is the maximum number of segments of a team path.
	MaxTeamDepth = 8
	// MaxValueBytes is the maximum length of the JSON of a value.
	MaxValueBytes = 1024
	// MaxPaths is the maximum number of paths of the tree, including removed ones.
	MaxPaths = 4096
	// MaxTreeBytes is the maximum total length of all paths and values.
	MaxTreeBytes = 512 << 10
	// MaxChanges is the maximum number of changes in a record.
	MaxChanges = 1024
	// MaxRecordBytes is the maximum size of a record on the log. It must allow the
	// snapshot of a full tree.
	MaxRecordBytes = 4 << 20
	// MaxChangeIDBytes is the maximum length of a change id and of an author.
	MaxChangeIDBytes = 128
	// MaxFileBytes is the maximum size of a settings file.
	MaxFileBytes = 1 << 20
	// HistoryLength is the number of past changes stored for each path.
	HistoryLength = 32
	// maxSnapshotBytes is the size above which a snapshot omits history.
	maxSnapshotBytes = 1 << 20
	// maxOutcomes is the number of change ids whose outcome is remembered.
	maxOutcomes = 2048
	// maxCachedPolicies is the size of the cache of resolved policies.
	maxCachedPolicies = 1024
)
