package settings

import (
	"encoding/json"
	"slices"
)

// field is one key of a T (a policy or a service) in the schema.
type field[T any] struct {
	name     string
	expected string
	// canonical gives the canonical JSON of a decoded value.
	canonical func(raw any) ([]byte, bool)
	// set stores a decoded value in T. If an ancestor set the key too, below
	// is true and the field's limit, if any, holds.
	set func(target *T, raw any, below bool) bool
}

// fieldTable holds the keys of a T in the order of the schema.
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

// names lists the keys in order of name.
func (t fieldTable[T]) names() []string {
	names := make([]string, 0, len(t.fields))
	for _, f := range t.fields {
		names = append(names, f.name)
	}
	slices.Sort(names)
	return names
}

// newField makes the field of a key stored at the place that at gives. The
// limit combines the ancestors' value with the key's own; nil lets the key's
// own value replace the ancestors'.
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
