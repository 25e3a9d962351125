package structs

// SettingChange is one proposed change of the settings tree. Paths are
// slash-separated; the last segment is the key, as in
// "teams/lakeshore/clearance/priority" or "services/filing-desk/kind".
type SettingChange struct {
	Path string
	// Base is the version of the path's value that the author saw, 0 if none.
	// A change with a stale base loses.
	Base uint64
	// Value is the value as JSON; empty removes the value.
	Value []byte
	// ChangeID is unique; a record appended twice applies once.
	ChangeID string
	Author   string
}

// SettingsStatus tells what became of a proposal.
type SettingsStatus string

// Statuses of a proposal.
const (
	// SettingsAccepted: read back from the log as the winner.
	SettingsAccepted SettingsStatus = "accepted"
	// SettingsLost: another change of the path came first.
	SettingsLost SettingsStatus = "lost"
	// SettingsInvalid: refused before it was published.
	SettingsInvalid SettingsStatus = "invalid"
	// SettingsUnknown: it could not be read back in time; it may still
	// come into force.
	SettingsUnknown SettingsStatus = "unknown"
	// SettingsNotPublished: it was not published and will not be.
	SettingsNotPublished SettingsStatus = "not-published"
)

// SettingsResult answers a proposal.
type SettingsResult struct {
	Status SettingsStatus
	// Path, Detail and Expected explain a refusal.
	Path     string
	Detail   string
	Expected string
	// Version is the version now in force, Offset its log offset and Winner
	// its author.
	Version uint64
	Offset  uint64
	Winner  string
}
