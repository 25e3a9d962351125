package peer

import (
	"sync/atomic"

	"github.com/uber-go/tally/v4"

	"github.com/banyanglade/banyanglade/internal/structs"
)

// Stats counts the traffic between this instance and its peers since the start.
// Control bytes are heartbeats and all messages without call data. Bytes do not
// include the headers of WebSocket and the layers below.
type Stats struct {
	ControlBytesSent     uint64
	ControlBytesReceived uint64
	DataBytesSent        uint64
	DataBytesReceived    uint64
	FramesSent           uint64
	FramesReceived       uint64
	// Sessions is the number of open connections. QueuedFrames and QueuedBytes
	// are the totals of all send queues.
	Sessions     int
	QueuedFrames int
	QueuedBytes  int
}

// Stats returns the current counts.
func (t *Transport) Stats() Stats {
	s := t.traffic.stats()
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, l := range t.links {
		s.Sessions += len(l.sessions)
		frames, bytes := l.queue.size()
		s.QueuedFrames += frames
		s.QueuedBytes += bytes
	}
	return s
}

// directionCounters counts the frames of one direction.
type directionCounters struct {
	control, data, frames atomic.Uint64

	controlBytes, dataBytes, frameCount tally.Counter
}

func newDirectionCounters(scope tally.Scope) *directionCounters {
	return &directionCounters{
		controlBytes: scope.Counter("control_bytes"),
		dataBytes:    scope.Counter("data_bytes"),
		frameCount:   scope.Counter("frames"),
	}
}

func (d *directionCounters) count(kind structs.MessageKind, size int) {
	if kind != kindStamp {
		// A stamp is counted as part of the next frame.
		d.frames.Add(1)
		d.frameCount.Inc(1)
	}
	if isCallData(kind) {
		d.data.Add(uint64(size))
		d.dataBytes.Inc(int64(size))
		return
	}
	d.control.Add(uint64(size))
	d.controlBytes.Inc(int64(size))
}

// traffic counts the frames of both directions.
type traffic struct{ out, in *directionCounters }

func newTraffic(scope tally.Scope) traffic {
	return traffic{
		out: newDirectionCounters(scope.SubScope("sent")),
		in:  newDirectionCounters(scope.SubScope("received")),
	}
}

func (t traffic) sent(kind structs.MessageKind, size int)     { t.out.count(kind, size) }
func (t traffic) received(kind structs.MessageKind, size int) { t.in.count(kind, size) }

func (t traffic) stats() Stats {
	return Stats{
		ControlBytesSent:     t.out.control.Load(),
		ControlBytesReceived: t.in.control.Load(),
		DataBytesSent:        t.out.data.Load(),
		DataBytesReceived:    t.in.data.Load(),
		FramesSent:           t.out.frames.Load(),
		FramesReceived:       t.in.frames.Load(),
	}
}

// metrics counts failures.
type metrics struct {
	refused       tally.Counter
	dialsFailed   tally.Counter
	broken        tally.Counter
	framesLost    tally.Counter
	framesInvalid tally.Counter
	// framesUnsupported counts messages that the peer's build does not decode.
	framesUnsupported tally.Counter
}

func newMetrics(scope tally.Scope) metrics {
	return metrics{
		refused:       scope.Counter("handshakes_refused"),
		dialsFailed:   scope.Counter("dials_failed"),
		broken:        scope.Counter("connections_broken"),
		framesLost:    scope.Counter("frames_lost"),
		framesInvalid: scope.Counter("frames_invalid"),

		framesUnsupported: scope.Counter("frames_unsupported"),
	}
}
