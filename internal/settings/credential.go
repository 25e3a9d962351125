package settings

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"encoding/json"

	"github.com/banyanglade/banyanglade/internal/structs"
)

// Role determines the permissions of a credential's holder within its team's subtree.
type Role string

// Roles.
const (
	// RoleCaller may open programs and send calls.
	RoleCaller Role = "caller"
	// RoleOperator may also change settings and list and cancel programs.
	RoleOperator Role = "operator"
)

// Credential is the holder of a key.
type Credential struct {
	Name string
	Team structs.Team
	Role Role
}

const (
	credentialExpected = `{"role": "caller" or "operator", "sha256": 64 hex digits (the SHA-256 of the key)}`
	displayedHexDigits = 8
	hiddenValue        = `"(hidden)"`
)

// credentialValue is the JSON value of a credential in the tree.
type credentialValue struct {
	Role   Role   `json:"role"`
	SHA256 string `json:"sha256"`
}

// storedCredential is a credential with the hash of its key.
type storedCredential struct {
	Credential
	hash [sha256.Size]byte
}

func decodeCredential(raw any) (credentialValue, bool) {
	object, ok := raw.(map[string]any)
	if !ok || len(object) != 2 {
		return credentialValue{}, false
	}
	role, _ := object["role"].(string)
	hash, _ := object["sha256"].(string)
	value := credentialValue{Role: Role(role), SHA256: hash}
	if value.Role != RoleCaller && value.Role != RoleOperator {
		return credentialValue{}, false
	}
	_, ok = ParseKeyHash(hash)
	return value, ok
}

// ParseKeyHash parses the SHA-256 of a key from 64 hex digits.
func ParseKeyHash(text string) (hash [sha256.Size]byte, ok bool) {
	data, err := hex.DecodeString(text)
	if err != nil || len(data) != len(hash) {
		return hash, false
	}
	copy(hash[:], data)
	return hash, true
}

// KeyHash returns the hash of a key as stored in the tree.
func KeyHash(key string) string {
	hash := sha256.Sum256([]byte(key))
	return hex.EncodeToString(hash[:])
}

// redactCredential returns the role and the first digits of the hash.
func redactCredential(value []byte) []byte {
	var credential credentialValue
	if json.Unmarshal(value, &credential) != nil || len(credential.SHA256) < displayedHexDigits {
		return []byte(hiddenValue)
	}
	credential.SHA256 = credential.SHA256[:displayedHexDigits] + "..."
	shown, err := json.Marshal(credential)
	if err != nil {
		return []byte(hiddenValue)
	}
	return shown
}

// Authenticate returns the credential of a key. It compares the key's hash with all
// stored ones in constant time.
func (t *Tree) Authenticate(key string) (Credential, bool) {
	hash := sha256.Sum256([]byte(key))
	var found Credential
	ok := false
	for _, stored := range t.resolved().credentials {
		if subtle.ConstantTimeCompare(hash[:], stored.hash[:]) == 1 && !ok {
			found, ok = stored.Credential, true
		}
	}
	return found, ok
}
