package settings

import (
	"bytes"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"time"
	"unicode"
	"unicode/utf8"
)

// decodeJSON decodes exactly one JSON value, with numbers as json.Number.
func decodeJSON(data []byte) (any, bool) {
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.UseNumber()
	var raw any
	if err := decoder.Decode(&raw); err != nil {
		return nil, false
	}
	if decoder.More() || len(bytes.TrimSpace(data[decoder.InputOffset():])) > 0 {
		return nil, false
	}
	return raw, true
}

// valueType is the type and range of a key's value.
type valueType[V any] struct {
	// expected describes the valid values for error messages.
	expected string
	// decode converts a value returned by decodeJSON.
	decode func(raw any) (V, bool)
	// encode returns the canonical form, to be marshalled as JSON.
	encode func(V) any
}

func identity[V any](v V) any { return v }

func integerType[N ~int | ~int64](minValue, maxValue N) valueType[N] {
	decode := func(raw any) (N, bool) {
		number, ok := raw.(json.Number)
		if !ok {
			return 0, false
		}
		n, err := number.Int64()
		return N(n), err == nil && n >= int64(minValue) && n <= int64(maxValue)
	}
	return valueType[N]{fmt.Sprintf("a whole number from %d to %d", minValue, maxValue), decode, identity[N]}
}

func numberType(minValue, maxValue float64) valueType[float64] {
	decode := func(raw any) (float64, bool) {
		number, ok := raw.(json.Number)
		if !ok {
			return 0, false
		}
		n, err := number.Float64()
		return n, err == nil && n >= minValue && n <= maxValue
	}
	return valueType[float64]{fmt.Sprintf("a number from %g to %g", minValue, maxValue), decode, identity[float64]}
}

func booleanType() valueType[bool] {
	decode := func(raw any) (bool, bool) {
		b, ok := raw.(bool)
		return b, ok
	}
	return valueType[bool]{"true or false", decode, identity[bool]}
}

func choiceType[S ~string](choices ...S) valueType[S] {
	names := make([]string, len(choices))
	for i, choice := range choices {
		names[i] = fmt.Sprintf("%q", string(choice))
	}
	decode := func(raw any) (S, bool) {
		s, ok := raw.(string)
		return S(s), ok && slices.Contains(choices, S(s))
	}
	return valueType[S]{"one of " + strings.Join(names, ", "), decode, identity[S]}
}

// textType is the type of a name that is passed on unchanged.
func textType(maxBytes int) valueType[string] {
	decode := func(raw any) (string, bool) {
		s, ok := raw.(string)
		printable := strings.IndexFunc(s, func(r rune) bool { return !unicode.IsPrint(r) }) < 0
		return s, ok && s != "" && len(s) <= maxBytes && utf8.ValidString(s) && printable
	}
	return valueType[string]{fmt.Sprintf("a printable text of 1 to %d bytes", maxBytes), decode, identity[string]}
}

func durationType(minValue, maxValue time.Duration) valueType[time.Duration] {
	decode := func(raw any) (time.Duration, bool) {
		s, ok := raw.(string)
		if !ok {
			return 0, false
		}
		d, err := time.ParseDuration(s)
		return d, err == nil && d >= minValue && d <= maxValue
	}
	encode := func(d time.Duration) any { return d.String() }
	expected := fmt.Sprintf(`a duration from "%s" to "%s", such as "30s"`, minValue, maxValue)
	return valueType[time.Duration]{expected, decode, encode}
}
