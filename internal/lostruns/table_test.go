package lostruns

import (
	"testing"
	"time"
)

// An instance that shuts down passes on runs with the time that is left.
func TestLaterNoticeDoesNotShortenTheLifetime(t *testing.T) {
	known, now := newTable(), time.Now()
	known.merge("work", ended(0), testLifetime, now)
	known.merge("work", ended(0), testLifetime/4, now)
	if got := len(known.merge("work", nil, testLifetime, now.Add(testLifetime/2))); got != 1 {
		t.Errorf("%d runs are known, want 1", got)
	}
}
