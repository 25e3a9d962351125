package logclient

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/uber-go/tally/v4"

	"github.com/banyanglade/banyanglade/internal/eventsink"
	"github.com/banyanglade/banyanglade/internal/structs"
	"github.com/banyanglade/banyanglade/internal/wire"
)

const (
	// maxMembersReplyBytes bounds the size of a membership list.
	maxMembersReplyBytes = 8 << 20
	// jitterDivisor divides the poll interval to give the maximum jitter.
	jitterDivisor = 10
)

// Members polls the membership list and posts MembersListed when it changes, and
// periodically when it does not. Polls are conditional on the entity tag of the
// last list, so that an unchanged list is not transferred.
type Members struct {
	cfg         MembersConfig
	sink        *eventsink.Sink
	client      *http.Client
	logger      *slog.Logger
	polls       tally.Counter
	pollsFailed tally.Counter
	// pollsUnchanged counts the polls with status 304 (Not Modified).
	pollsUnchanged tally.Counter
	// tag and last are the entity tag and content of the last list read.
	tag  string
	last wire.MemberList
	// failing indicates that the last poll failed.
	failing bool

	cancel     context.CancelFunc
	goroutines sync.WaitGroup
}

// NewMembers starts polling until Close is called or the context ends. It returns
// ErrConfig if the configuration is invalid.
func NewMembers(
	ctx context.Context, cfg MembersConfig, post func(structs.Event) bool,
	scope tally.Scope, logger *slog.Logger,
) (*Members, error) {
	if err := checkURL(cfg.URL); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(ctx)
	m := &Members{
		cfg:         cfg.withDefaults(),
		sink:        eventsink.New(post, scope),
		client:      newClient(),
		logger:      logger,
		polls:       scope.Counter("polls"),
		pollsFailed: scope.Counter("polls_failed"),

		pollsUnchanged: scope.Counter("polls_unchanged"),
		cancel:         cancel,
	}
	m.goroutines.Go(func() { m.run(ctx) })
	return m, nil
}

// Close stops polling and waits for the goroutine.
func (m *Members) Close() {
	m.cancel()
	m.goroutines.Wait()
	m.client.CloseIdleConnections()
}

func (m *Members) run(ctx context.Context) {
	var posted *wire.MemberList
	sincePosted := 0
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
		sincePosted++
		list, ok := m.poll(ctx)
		due := ok && (sincePosted >= m.cfg.RepostPolls || changed(posted, list))
		if due && m.sink.Offer(structs.MembersListed{List: list}) {
			posted, sincePosted = &list, 0
		}
		timer.Reset(m.nextInterval())
	}
}

func (m *Members) poll(ctx context.Context) (wire.MemberList, bool) {
	ctx, cancel := context.WithTimeout(ctx, m.cfg.Timeout)
	defer cancel()
	var list wire.MemberList
	m.polls.Inc(1)
	url := strings.TrimSuffix(m.cfg.URL, "/") + wire.MembersRoute
	tag, err := getIfChanged(ctx, m.client, url, maxMembersReplyBytes, m.tag, &list)
	if errors.Is(err, errNotModified) {
		m.failing = false
		m.pollsUnchanged.Inc(1)
		return m.last, true
	}
	if err != nil {
		m.pollsFailed.Inc(1)
		if !m.failing {
			m.logger.Warn("membership poll failed", "error", err)
		}
		m.failing = true
		return wire.MemberList{}, false
	}
	m.failing = false
	m.tag, m.last = tag, list
	return list, true
}

func changed(posted *wire.MemberList, list wire.MemberList) bool {
	return posted == nil || posted.Version != list.Version || !slices.Equal(posted.Members, list.Members)
}

func (m *Members) nextInterval() time.Duration {
	jitter := m.cfg.Interval / jitterDivisor
	return m.cfg.Interval - jitter + rand.N(2*jitter+1)
}
