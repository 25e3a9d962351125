package settings

import (
	"encoding/json"
	"fmt"
	"strings"

	"github.com/banyanglade/banyanglade/internal/structs"
)

// ValidationError is the reason why a change cannot be published.
type ValidationError struct {
	Path string
	// Value is the rejected value; empty for a credential.
	Value string
	// Detail describes the error and Expected the valid values.
	Detail   string
	Expected string
}

// Error returns the whole reason in one line.
func (e *ValidationError) Error() string {
	text := e.Path + ": " + e.Detail
	if e.Value != "" {
		text += ": " + e.Value
	}
	if e.Expected != "" {
		text += "; expected " + e.Expected
	}
	return text
}

// Validate checks changes against the schema and returns every error found. It does
// not consider the current tree; see Tree.Validate.
func Validate(changes []structs.SettingChange) []*ValidationError {
	if len(changes) == 0 || len(changes) > MaxChanges {
		return []*ValidationError{{Detail: fmt.Sprintf("%d changes", len(changes)),
			Expected: fmt.Sprintf("1 to %d changes", MaxChanges)}}
	}
	var found []*ValidationError
	seen := make(map[string]bool, len(changes))
	for _, change := range changes {
		if seen[change.Path] {
			found = append(found, &ValidationError{Path: truncate(change.Path), Detail: "the path is changed twice",
				Expected: "one change of a path"})
		}
		seen[change.Path] = true
		if err := validateChange(change); err != nil {
			found = append(found, err)
		}
	}
	return found
}

func validateChange(change structs.SettingChange) *ValidationError {
	if change.ChangeID == "" || len(change.ChangeID) > MaxChangeIDBytes {
		return &ValidationError{Path: truncate(change.Path), Detail: "bad change id",
			Expected: fmt.Sprintf("a unique id of 1 to %d bytes", MaxChangeIDBytes)}
	}
	if len(change.Author) > MaxChangeIDBytes {
		return &ValidationError{Path: truncate(change.Path), Detail: "author too long",
			Expected: fmt.Sprintf("at most %d bytes", MaxChangeIDBytes)}
	}
	_, err := canonicalValue(change.Path, change.Value)
	return err
}

// canonicalValue returns the canonical JSON of a path's value; empty stays empty.
func canonicalValue(path string, value []byte) ([]byte, *ValidationError) {
	loc, err := parsePath(path)
	if err != nil {
		return nil, &ValidationError{Path: truncate(path), Detail: err.Error()}
	}
	expected, canonical, keyErr := lookupKey(path, loc)
	if keyErr != nil {
		return nil, keyErr
	}
	if len(value) == 0 {
		return nil, nil
	}
	invalid := &ValidationError{Path: path, Value: displayValue(loc, value), Detail: "wrong value", Expected: expected}
	if len(value) > MaxValueBytes {
		invalid.Detail = fmt.Sprintf("value longer than %d bytes", MaxValueBytes)
		return nil, invalid
	}
	raw, ok := decodeJSON(value)
	if !ok {
		invalid.Detail = "not a JSON value"
		return nil, invalid
	}
	data, ok := canonical(raw)
	if !ok {
		return nil, invalid
	}
	return data, nil
}

// lookupKey returns the schema of a path.
func lookupKey(path string, loc location) (string, func(any) ([]byte, bool), *ValidationError) {
	switch {
	case loc.Credential != "" && loc.Team == "":
		return "", nil, &ValidationError{Path: path, Detail: "the root has no credentials",
			Expected: "teams/<team path>/credentials/<name>; the root operator's key is a flag of the instances"}
	case loc.Credential != "":
		return credentialExpected, canonicalCredential, nil
	case loc.Service != "":
		if f, ok := serviceFields.byName[loc.Key]; ok {
			return f.expected, f.canonical, nil
		}
		return "", nil, unknownKey(path, loc.Key, serviceFields.names())
	}
	if f, ok := policyFields.byName[loc.Key]; ok {
		return f.expected, f.canonical, nil
	}
	return "", nil, unknownKey(path, loc.Key, policyFields.names())
}

func canonicalCredential(raw any) ([]byte, bool) {
	value, ok := decodeCredential(raw)
	if !ok {
		return nil, false
	}
	value.SHA256 = strings.ToLower(value.SHA256)
	data, err := json.Marshal(value)
	return data, err == nil
}

// displayValue returns a rejected value for an error message.
func displayValue(loc location, value []byte) string {
	if loc.Credential != "" {
		return ""
	}
	return truncate(string(value))
}

func unknownKey(path, key string, known []string) *ValidationError {
	detail := fmt.Sprintf("unknown key %q", key)
	if near, ok := closestName(key, known); ok {
		detail += fmt.Sprintf(", did you mean %q?", near)
	}
	return &ValidationError{Path: path, Detail: detail, Expected: "one of " + strings.Join(known, ", ")}
}

// Validate checks changes against the schema and the current tree: every service must
// have a kind, and the tree must stay within its limits.
func (t *Tree) Validate(changes []structs.SettingChange) []*ValidationError {
	found := Validate(changes)
	if len(found) > 0 {
		return found
	}
	t.mu.RLock()
	defer t.mu.RUnlock()
	if err := t.checkSize(changes); err != nil {
		return []*ValidationError{err}
	}
	return t.checkKinds(changes)
}

// checkKinds rejects keys of a service without a kind after the changes.
func (t *Tree) checkKinds(changes []structs.SettingChange) []*ValidationError {
	after := make(map[string]bool)
	for _, change := range changes {
		after[change.Path] = len(change.Value) > 0
	}
	var found []*ValidationError
	for _, change := range changes {
		loc, err := parsePath(change.Path)
		if err != nil || loc.Service == "" || len(change.Value) == 0 {
			continue
		}
		kindPath := servicesArea + "/" + string(loc.Service) + "/" + kindKey
		has, changed := after[kindPath]
		if !changed {
			has = len(t.entries[kindPath].valueOrNil()) > 0
		}
		if !has {
			found = append(found, &ValidationError{Path: change.Path, Detail: "the service has no kind",
				Expected: "a value for " + kindPath + " too"})
		}
	}
	return found
}

// checkSize rejects changes that would exceed the limits of the tree.
func (t *Tree) checkSize(changes []structs.SettingChange) *ValidationError {
	paths, size := t.sizeAfter(changes)
	if paths > MaxPaths || size > MaxTreeBytes {
		return &ValidationError{Path: changes[0].Path, Detail: "the tree would be too large",
			Expected: fmt.Sprintf("at most %d paths (removed ones included) and %d bytes", MaxPaths, MaxTreeBytes)}
	}
	return nil
}
