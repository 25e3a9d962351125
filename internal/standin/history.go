package standin

import "time"

// History records the past values of a variable, for reports that lag. It is
// not safe for concurrent use.
type History[T any] struct {
	entries []historyEntry[T]
}

type historyEntry[T any] struct {
	at    time.Time
	value T
}

// Record adds a value that holds from the given time on. Times must not
// decrease.
func (h *History[T]) Record(at time.Time, value T) {
	h.entries = append(h.entries, historyEntry[T]{at: at, value: value})
}

// At returns the value at the given time, and false if none was recorded by
// then.
func (h *History[T]) At(at time.Time) (T, bool) {
	for i := len(h.entries) - 1; i >= 0; i-- {
		if !h.entries[i].at.After(at) {
			return h.entries[i].value, true
		}
	}
	var zero T
	return zero, false
}

// DropBefore drops the values that only an At before the given time needs.
func (h *History[T]) DropBefore(before time.Time) {
	first := 0
	for first+1 < len(h.entries) && !h.entries[first+1].at.After(before) {
		first++
	}
	h.entries = h.entries[first:]
}
