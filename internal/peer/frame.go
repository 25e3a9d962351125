package peer

import (
	"reflect"

	"github.com/cockroachdb/errors"
	"github.com/ugorji/go/codec"

	"github.com/banyanglade/banyanglade/internal/structs"
)

// Kinds of the transport's own frames, above those of the messages in structs.
const (
	kindHello    structs.MessageKind = 240
	kindWelcome  structs.MessageKind = 241
	kindConfirm  structs.MessageKind = 242
	kindAccepted structs.MessageKind = 243
	kindPing     structs.MessageKind = 250
	kindPong     structs.MessageKind = 251
	kindStamp    structs.MessageKind = 252
)

const (
	// headerBytes is the length of the version and kind bytes.
	headerBytes = 2
	// maxDepth bounds the nesting of a body.
	maxDepth = 16
	// maxInitLen bounds the elements preallocated for a collection, because its
	// length field is not trusted.
	maxInitLen = 1024
)

// Errors of encoding, decoding and sending frames.
var (
	ErrVersionMismatch = errors.New("protocol version mismatch")
	ErrMalformedFrame  = errors.New("malformed frame")
	ErrFrameTooLarge   = errors.New("frame is too large")
)

var handle = newHandle()

func newHandle() *codec.CborHandle {
	// RFC 3339 times are encoded with microsecond precision.
	h := &codec.CborHandle{TimeRFC3339: true}
	h.StructToArray = true
	h.MaxDepth = maxDepth
	h.MaxInitLen = maxInitLen
	return h
}

// EncodeFrame encodes a message as a frame.
func EncodeFrame(msg structs.Message) ([]byte, error) {
	return encodeBody(msg.Kind(), msg)
}

func encodeBody(kind structs.MessageKind, body any) ([]byte, error) {
	var encoded []byte
	if err := codec.NewEncoderBytes(&encoded, handle).Encode(body); err != nil {
		return nil, errors.Wrapf(err, "encode message of kind %d", kind)
	}
	frame := make([]byte, 0, headerBytes+len(encoded))
	frame = append(frame, structs.ProtocolVersion, byte(kind))
	return append(frame, encoded...), nil
}

// DecodeFrame decodes a message. It returns ErrVersionMismatch or
// ErrMalformedFrame if the frame is invalid.
func DecodeFrame(frame []byte) (structs.Message, error) {
	kind, body, err := splitFrame(frame)
	if err != nil {
		return nil, err
	}
	msg := structs.NewMessage(kind)
	if msg == nil {
		return nil, errors.Wrapf(ErrMalformedFrame, "unknown message kind %d", kind)
	}
	if err := decodeBody(body, msg); err != nil {
		return nil, errors.Wrapf(err, "message of kind %d", kind)
	}
	return msg, nil
}

// splitFrame checks the version and splits a frame into its kind and body.
func splitFrame(frame []byte) (structs.MessageKind, []byte, error) {
	if len(frame) < headerBytes {
		return 0, nil, errors.Wrap(ErrMalformedFrame, "frame is shorter than the header")
	}
	if frame[0] != structs.ProtocolVersion {
		return 0, nil, errors.Wrapf(ErrVersionMismatch, "got version %d, expected %d", frame[0], structs.ProtocolVersion)
	}
	return structs.MessageKind(frame[1]), frame[headerBytes:], nil
}

// decodeBody decodes a body into the struct that target points to. Structs are
// encoded as arrays.
func decodeBody(body []byte, target any) (err error) {
	defer func() {
		if r := recover(); r != nil {
			err = errors.Wrapf(ErrMalformedFrame, "decode %s: %v", reflect.TypeOf(target), r)
		}
	}()
	decoder := codec.NewDecoderBytes(body, handle)
	if err := decoder.Decode(target); err != nil {
		return errors.Wrapf(ErrMalformedFrame, "decode: %v", err)
	}
	if decoder.NumBytesRead() != len(body) {
		return errors.Wrap(ErrMalformedFrame, "bytes after the body")
	}
	return nil
}

// isCallData reports whether a frame carries the data of a call. All others
// count as control traffic.
func isCallData(kind structs.MessageKind) bool {
	switch kind {
	case structs.KindSubmit, structs.KindCallChunk, structs.KindCallEnd:
		return true
	}
	return false
}
