package structs

import "time"

// Kinds of the messages about the software versions at which streams began.
const (
	KindStreamPins       MessageKind = 43
	KindStreamPinRequest MessageKind = 44
	KindStreamPinReply   MessageKind = 45
)

// StreamPin binds a stream to the service and the software version that began it.
type StreamPin struct {
	// Stream is the id of the request that brought the stream's first event.
	Stream  string
	Service string
	Version string
	// Lifetime is how long after its first event the stream may be resumed.
	Lifetime time.Duration
}

// StreamPins asks the receiver to remember the pins of streams that the sender serves.
type StreamPins struct{ Pins []StreamPin }

// StreamPinRequest asks for the pin of a stream that the sender is to resume. Service is
// the one that the sender would use, Stream is empty if the caller does not name it.
type StreamPinRequest struct {
	Number  uint64
	Service string
	Stream  string
	// Lifetime is as in StreamPin.
	Lifetime time.Duration
}

// StreamPinOutcome is the result of a StreamPinRequest.
type StreamPinOutcome uint8

// Outcomes of a StreamPinRequest.
const (
	// StreamPinUnknown: the receiver knows neither the pin nor of several versions. The
	// reply has the only version that it knows, without a Service if it knows none.
	StreamPinUnknown StreamPinOutcome = 1
	// StreamPinFound: Service and Version of the reply are those that began the stream.
	StreamPinFound StreamPinOutcome = 2
	// StreamPinSoleVersion: the receiver knows no pin, but the service has had no other
	// version than that of the reply for longer than the stream's lifetime.
	StreamPinSoleVersion StreamPinOutcome = 3
	// StreamPinSeveralVersions: the receiver knows no pin, and the service has several
	// versions.
	StreamPinSeveralVersions StreamPinOutcome = 4
)

// StreamPinReply replies to a StreamPinRequest.
type StreamPinReply struct {
	Number  uint64
	Outcome StreamPinOutcome
	Service string
	Version string
}

// Kind implements Message.
func (*StreamPins) Kind() MessageKind       { return KindStreamPins }
func (*StreamPinRequest) Kind() MessageKind { return KindStreamPinRequest }
func (*StreamPinReply) Kind() MessageKind   { return KindStreamPinReply }
