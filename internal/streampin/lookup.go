package streampin

import (
	"context"
	"slices"
	"time"

	"github.com/banyanglade/banyanglade/internal/serve"
	"github.com/banyanglade/banyanglade/internal/structs"
)

// Lookup returns the origin of a stream: that of its pin, known here or to another
// instance, else the certain version of service, to which the request would go. It
// returns serve.ErrStreamVersionUnknown if there is neither.
func (m *Manager) Lookup(ctx context.Context, stream serve.Stream, service string) (serve.StreamOrigin, error) {
	started := time.Now()
	m.mu.Lock()
	known, ok := m.pins.find(stream.ID, time.Now())
	m.mu.Unlock()
	if ok {
		m.metrics.found.Inc(1)
		return serve.StreamOrigin{Service: known.Service, Version: known.Version}, nil
	}
	replies, complete := m.ask(ctx, structs.StreamPinRequest{Service: service, Stream: stream.ID, Lifetime: stream.Lifetime})
	if origin, ok := pinned(replies); ok {
		m.metrics.found.Inc(1)
		return origin, nil
	}
	version, ok := m.agreedVersion(service, stream.Lifetime, replies)
	if ok && !complete {
		// The other instances may know, or have known, the pin, of a version that is not
		// in the list here yet.
		version, ok = m.confirmedVersion(ctx, service, stream.Lifetime, started)
	}
	if ok {
		m.metrics.sole.Inc(1)
		return serve.StreamOrigin{Service: service, Version: version}, nil
	}
	m.metrics.unknown.Inc(1)
	m.Log.Info("version of a stream is unknown", "stream", stream.ID, "service", service, "replies", len(replies), "complete", complete)
	return serve.StreamOrigin{}, serve.ErrStreamVersionUnknown
}

// ask asks the instances that may hold the pin. It returns at the first reply with a pin,
// or once all have replied or are unresponsive. complete reports whether there are other
// instances, and all have replied and know the service's versions.
func (m *Manager) ask(ctx context.Context, request structs.StreamPinRequest) (replies []*structs.StreamPinReply, complete bool) {
	others := m.ring.Of(request.Stream)
	round := m.queries.Begin(others, func(to structs.InstanceID, number uint64) bool {
		message := request
		message.Number = number
		m.Peers.Send(to, &message)
		return true
	})
	replies, silent := round.Collect(ctx, replyTimeout, hasPin)
	for _, to := range silent {
		// The connection may be dead without having been closed.
		m.Peers.Probe(to)
	}
	complete = len(replies) == len(others) && len(others) > 0 && !slices.ContainsFunc(replies, knowsNoVersion)
	return replies, complete
}

// knowsNoVersion reports whether a reply is of an instance that lists no targets of the
// service. It may have started a moment ago.
func knowsNoVersion(reply *structs.StreamPinReply) bool {
	return reply.Outcome == structs.StreamPinUnknown && reply.Service == ""
}

// hasPin reports whether a reply has the pin.
func hasPin(reply *structs.StreamPinReply) bool { return reply.Outcome == structs.StreamPinFound }

// pinned returns the origin in the reply with a pin.
func pinned(replies []*structs.StreamPinReply) (serve.StreamOrigin, bool) {
	for _, reply := range replies {
		if hasPin(reply) {
			return serve.StreamOrigin{Service: reply.Service, Version: reply.Version}, true
		}
	}
	return serve.StreamOrigin{}, false
}

// agreedVersion returns the version of all targets of a service listed here, if it is the
// certain one here or at an instance that replied, and no instance knows another one.
func (m *Manager) agreedVersion(service string, lifetime time.Duration, replies []*structs.StreamPinReply) (string, bool) {
	version, _, ok := m.Versions.SoleVersion(service)
	if !ok {
		return "", false
	}
	m.mu.Lock()
	_, certain := m.certainVersion(service, lifetime)
	settled := m.routesSettled()
	m.mu.Unlock()
	if !settled {
		return "", false // others may not have these routes yet
	}
	for _, reply := range replies {
		switch {
		case reply.Outcome == structs.StreamPinSeveralVersions:
			return "", false // the list here may be older
		case reply.Service != "" && reply.Version != version:
			return "", false
		case reply.Outcome == structs.StreamPinSoleVersion:
			certain = true
		}
	}
	return version, certain
}

// confirmedVersion returns the certain version of a service according to a list of
// targets that was current after a time.
func (m *Manager) confirmedVersion(ctx context.Context, service string, lifetime time.Duration, after time.Time) (string, bool) {
	wait, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	if !m.List.AwaitConfirmed(wait, after) {
		return "", false
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.certainVersion(service, lifetime)
}
