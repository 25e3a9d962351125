package cli

import "log/slog"

const redacted = "(hidden)"

// Secret is a text that is never printed, logged or encoded.
type Secret struct{ text string }

// NewSecret hides a text.
func NewSecret(text string) Secret { return Secret{text: text} }

// Reveal gives the text itself.
func (s Secret) Reveal() string { return s.text }

// UnmarshalText reads the text from a flag or environment variable.
func (s *Secret) UnmarshalText(text []byte) error {
	s.text = string(text)
	return nil
}

// String hides the text.
func (s Secret) String() string {
	if s.text == "" {
		return ""
	}
	return redacted
}

// GoString hides the text from %#v.
func (s Secret) GoString() string { return s.String() }

// MarshalText hides the text from encoders.
func (s Secret) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// LogValue hides the text from logs.
func (s Secret) LogValue() slog.Value { return slog.StringValue(s.String()) }
