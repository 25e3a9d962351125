package structs

// SettingChange is one proposed change of the settings tree. Paths are
// slash-separated; the last segment is the key, as in
// "teams/lakeshore/clearance/priority" or "services/filing-desk/kind".
type SettingChange struct {
	Path string
	// Base is the version of the path that the change is based on, 0 if it had no
	// value. A change with a stale base is rejected.
	Base uint64
	// Value is the value as JSON; empty removes the value.
	Value []byte
	// ChangeID is unique. It makes the change idempotent: a record appended twice
	// applies once.
	ChangeID string
	Author   string
}

// SettingsStatus is the result of a proposal.
type SettingsStatus string

// Statuses of a proposal.
const (
	// SettingsAccepted: the change took effect, as read back from the log.
	SettingsAccepted SettingsStatus = "accepted"
	// SettingsLost: another change of the path came first.
	SettingsLost SettingsStatus = "lost"
	// SettingsInvalid: the change was rejected before it was published.
	SettingsInvalid SettingsStatus = "invalid"
	// SettingsUnknown: the change could not be read back in time and may still take
	// effect.
	SettingsUnknown SettingsStatus = "unknown"
	// SettingsNotPublished: the change was not published and will not be.
	SettingsNotPublished SettingsStatus = "not-published"
)

// SettingsResult replies to a proposal.
type SettingsResult struct {
	Status SettingsStatus
	// Path, Detail and Expected explain a rejection.
	Path     string
	Detail   string
	Expected string
	// Version is the version now in force, Offset its log offset and Winner its
	// author.
	Version uint64
	Offset  uint64
	Winner  string
}
