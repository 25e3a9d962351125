package settings

import (
	"encoding/json"
	"slices"
)

// field is the schema of one key of a T (a policy or a service).
type field[T any] struct {
	name     string
	expected string
	// canonical returns the canonical JSON of a decoded value.
	canonical func(raw any) ([]byte, bool)
	// set stores a decoded value in the target. If hasInherited is true, an
	// ancestor has set the key and the field's combine function applies.
	set func(target *T, raw any, hasInherited bool) bool
}

// fieldTable holds the keys of a T in schema order.
type fieldTable[T any] struct {
	fields []field[T]
	byName map[string]field[T]
}

func newFieldTable[T any](fields ...field[T]) fieldTable[T] {
	table := fieldTable[T]{fields: fields, byName: make(map[string]field[T], len(fields))}
	for _, f := range fields {
		table.byName[f.name] = f
	}
	return table
}

// names returns the keys in alphabetical order.
func (t fieldTable[T]) names() []string {
	names := make([]string, 0, len(t.fields))
	for _, f := range t.fields {
		names = append(names, f.name)
	}
	slices.Sort(names)
	return names
}

// newField returns the field of a key whose value is stored at pointer(target). The
// combine function merges an inherited value with the key's own; if nil, the own value
// replaces the inherited one.
func newField[T, V any](name string, kind valueType[V], pointer func(*T) *V, combine func(inherited, own V) V) field[T] {
	return field[T]{
		name:     name,
		expected: kind.expected,
		canonical: func(raw any) ([]byte, bool) {
			v, ok := kind.decode(raw)
			if !ok {
				return nil, false
			}
			data, err := json.Marshal(kind.encode(v))
			return data, err == nil
		},
		set: func(target *T, raw any, hasInherited bool) bool {
			v, ok := kind.decode(raw)
			if !ok {
				return false
			}
			destination := pointer(target)
			if hasInherited && combine != nil {
				v = combine(*destination, v)
			}
			*destination = v
			return true
		},
	}
}
