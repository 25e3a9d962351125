package inbound

import "sync"

// interrupt ends waits while it is set. The zero value is not set.
type interrupt struct {
	mu    sync.Mutex
	isSet bool
	// changed is closed when the interrupt is set, nil if nobody has waited.
	changed chan struct{}
}

func (i *interrupt) set(isSet bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.isSet = isSet
	if isSet && i.changed != nil {
		close(i.changed)
		i.changed = nil
	}
}

// wait waits until the interrupt is set.
func (i *interrupt) wait() {
	i.mu.Lock()
	if i.isSet {
		i.mu.Unlock()
		return
	}
	if i.changed == nil {
		i.changed = make(chan struct{})
	}
	changed := i.changed
	i.mu.Unlock()
	<-changed
}
