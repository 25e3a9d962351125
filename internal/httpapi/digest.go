package httpapi

import (
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"hash"

	"github.com/cespare/xxhash/v2"

	"github.com/banyanglade/banyanglade/internal/structs"
	"github.com/banyanglade/banyanglade/internal/wire"
)

const (
	bytesPerToken   = 4
	sharedKeyPrefix = "prefix-"
)

// writeField hashes a field with its length, so that different lists of fields
// have different digests.
func writeField(h hash.Hash, field []byte) {
	var length [8]byte
	binary.BigEndian.PutUint64(length[:], uint64(len(field)))
	h.Write(length[:])
	h.Write(field)
}

// requestDigest returns the digest that identifies a request in idempotency
// checks.
func requestDigest(service structs.ServiceName, method, path, contentType string, body []byte) structs.Digest {
	h := sha256.New()
	for _, field := range [][]byte{[]byte(service), []byte(method), []byte(path), []byte(contentType), body} {
		writeField(h, field)
	}
	return structs.Digest(h.Sum(nil))
}

// chainDigests returns the running digest of a conversation after each message.
func chainDigests(messages []wire.ChatMessage) []structs.ChainDigest {
	chain := make([]structs.ChainDigest, 0, len(messages))
	var last structs.ChainDigest
	for _, message := range messages {
		last = nextDigest(last, message)
		chain = append(chain, last)
	}
	return chain
}

// nextDigest returns the first 16 bytes of the SHA-256 of the previous digest
// and the message's fields, each with its length.
func nextDigest(previous structs.ChainDigest, message wire.ChatMessage) structs.ChainDigest {
	h := sha256.New()
	h.Write(previous[:])
	writeField(h, []byte(message.Role))
	writeField(h, []byte(message.Content))
	writeField(h, []byte(message.Name))
	writeField(h, []byte(message.ToolCallID))
	writeField(h, message.ToolCalls)
	var next structs.ChainDigest
	copy(next[:], h.Sum(nil))
	return next
}

// estimateTokens estimates the tokens of a text of length bytes, rounded up.
func estimateTokens(length int) int64 {
	return int64((length + bytesPerToken - 1) / bytesPerToken)
}

// promptTokens estimates the tokens of a prompt.
func promptTokens(messages []wire.ChatMessage, tools []byte) int64 {
	total := estimateTokens(len(tools))
	for _, message := range messages {
		total += estimateTokens(len(message.Content)) + estimateTokens(len(message.ToolCalls))
	}
	return total
}

// sharedPrefix returns a key for the system message and its estimated tokens,
// or zero values if the conversation does not start with one.
func sharedPrefix(messages []wire.ChatMessage) (string, int64) {
	if len(messages) == 0 || messages[0].Role != roleSystem {
		return "", 0
	}
	content := messages[0].Content
	key := fmt.Sprintf("%s%016x", sharedKeyPrefix, xxhash.Sum64String(content))
	return key, estimateTokens(len(content))
}
