package lostruns

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/banyanglade/banyanglade/internal/feed"
	"github.com/banyanglade/banyanglade/platform"
)

// Store is a client of the platform's store.
type Store interface {
	Append(ctx context.Context, a platform.Append) (int64, error)
	Newest(ctx context.Context, topic string, partition int) (platform.Newest, error)
	ReadPage(ctx context.Context, topic string, partition int, from int64, wait time.Duration) (platform.Page, error)
}

// Health reports whether the store responds to this instance.
type Health interface{ OK() bool }

// StoreRecords keeps the records in partition 0 of a topic that the instance follows for
// other reasons, too, so that they cost no further reads. It implements Records.
type StoreRecords struct {
	store  Store
	health Health
	topic  atomic.Pointer[feed.Topic]
}

// NewStoreRecords returns StoreRecords without a topic.
func NewStoreRecords(store Store, health Health) *StoreRecords {
	return &StoreRecords{store: store, health: health}
}

// SetTopic sets the topic, which must apply records with RecordPrefix by ApplyRecord. It is
// called before the instance serves.
func (r *StoreRecords) SetTopic(topic *feed.Topic) { r.topic.Store(topic) }

// Append implements Records.
func (r *StoreRecords) Append(ctx context.Context, records []platform.Record) error {
	_, err := r.store.Append(ctx, platform.Append{Topic: r.topic.Load().Name, Records: records})
	return err
}

// CatchUp implements Records.
func (r *StoreRecords) CatchUp(ctx context.Context) error {
	topic := r.topic.Load()
	if !topic.Loaded() {
		return r.readAll(ctx, topic)
	}
	for from := topic.NextOffset(); ; {
		page, err := r.store.ReadPage(ctx, topic.Name, 0, from, 0)
		if errors.Is(err, platform.ErrTrimmed) {
			return r.readAll(ctx, topic)
		}
		if err != nil {
			return err
		}
		topic.Merge(page.Records)
		if page.Next >= page.End || page.Next == from {
			return nil
		}
		from = page.Next
	}
}

// readAll applies the newest record of each key.
func (r *StoreRecords) readAll(ctx context.Context, topic *feed.Topic) error {
	list, err := r.store.Newest(ctx, topic.Name, 0)
	if err != nil {
		return err
	}
	topic.Merge(list.Records)
	return nil
}

// Loaded implements Records.
func (r *StoreRecords) Loaded() bool { return r.topic.Load().Loaded() }

// Available implements Records.
func (r *StoreRecords) Available() bool { return r.health.OK() }
