package cli

import "log/slog"

const redacted = "(hidden)"

// Secret is a string that is redacted when printed, logged or encoded.
type Secret struct{ text string }

// NewSecret returns a secret with the given text.
func NewSecret(text string) Secret { return Secret{text: text} }

// Reveal returns the secret text.
func (s Secret) Reveal() string { return s.text }

// UnmarshalText sets the secret from a flag or environment variable.
func (s *Secret) UnmarshalText(text []byte) error {
	s.text = string(text)
	return nil
}

// String returns a placeholder, or an empty string if the secret is empty.
func (s Secret) String() string {
	if s.text == "" {
		return ""
	}
	return redacted
}

// GoString redacts the secret in %#v.
func (s Secret) GoString() string { return s.String() }

// MarshalText redacts the secret in encoded output.
func (s Secret) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// LogValue redacts the secret in logs.
func (s Secret) LogValue() slog.Value { return slog.StringValue(s.String()) }
