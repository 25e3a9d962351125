package proofs

import (
	"bytes"
	"cmp"
	"slices"

	"github.com/banyanglade/banyanglade/internal/structs"
)

// checkSettings checks the operators' changes: each accepted version has one value,
// each accepted change is in the log, the newest accepted one is in force at every
// instance, none that was reported as lost is in force, and no version decreases.
func checkSettings(e Evidence, _ *runIndex) []Violation {
	found := checkAccepted(e)
	for instance, paths := range e.InForce {
		for path, setting := range paths {
			found = append(found, checkInForce(e, instance, path, setting)...)
		}
	}
	return append(found, checkReadings(e)...)
}

// version identifies a version of a setting.
type version struct {
	path   string
	number uint64
}

func checkAccepted(e Evidence) []Violation {
	var found []Violation
	values := make(map[version]string)
	for _, c := range e.Changes {
		if !c.Accepted {
			continue
		}
		id := version{c.Path, c.Version}
		if other, known := values[id]; known && other != c.Value {
			found = append(found, violation(PropertySettings, "two values accepted for version %d of %s: %s and %s",
				c.Version, c.Path, other, c.Value))
		}
		values[id] = c.Value
		if !inSettingsLog(e, c.ChangeID) && !e.Dropped[structs.SettingsStream] {
			found = append(found, violation(PropertySettings, "accepted change %s of %s is not in the log", c.ChangeID, c.Path))
		}
	}
	return found
}

func inSettingsLog(e Evidence, changeID string) bool {
	for _, record := range e.Log[structs.SettingsStream] {
		if bytes.Contains(record.Data, []byte(changeID)) {
			return true
		}
	}
	return false
}

// checkInForce compares a setting that an instance has at the end with the changes
// of its path.
func checkInForce(e Evidence, instance, path string, setting Setting) []Violation {
	var found []Violation
	newest := Change{}
	for _, c := range e.Changes {
		if c.Path != path {
			continue
		}
		if c.Lost && c.Value == setting.Value {
			found = append(found, violation(PropertySettings, "%s has %s = %s, a change reported as lost", instance, path, setting.Value))
		}
		if c.Accepted && c.Version > newest.Version {
			newest = c
		}
	}
	switch {
	case setting.Version < newest.Version:
		found = append(found, violation(PropertySettings, "%s has version %d of %s, but version %d was accepted",
			instance, setting.Version, path, newest.Version))
	case setting.Version == newest.Version && newest.Version > 0 && setting.Value != newest.Value:
		found = append(found, violation(PropertySettings, "%s has %s = %s, but %s was accepted",
			instance, path, setting.Value, newest.Value))
	}
	return found
}

// checkReadings finds versions that decreased at an instance.
func checkReadings(e Evidence) []Violation {
	type place struct{ instance, path string }
	newest := make(map[place]uint64)
	readings := slices.Clone(e.Readings)
	slices.SortStableFunc(readings, func(a, b Reading) int { return cmp.Compare(a.At.UnixNano(), b.At.UnixNano()) })
	var found []Violation
	for _, r := range readings {
		at := place{r.Instance, r.Path}
		if r.Version < newest[at] {
			found = append(found, violation(PropertySettings, "%s reverted from version %d of %s to %d",
				r.Instance, newest[at], r.Path, r.Version))
		}
		newest[at] = max(newest[at], r.Version)
	}
	return found
}
