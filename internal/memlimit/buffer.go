package memlimit

import (
	"io"
	"math"
)

// minGrowth is the minimum growth of a Buffer, in bytes.
const minGrowth = 4 << 10

// Buffer reads into memory that is reserved in an Account.
type Buffer struct {
	account *Account
	bytes   []byte
}

// NewBuffer returns a Buffer with memory reserved for size bytes, or a *LimitError.
// An unknown size (not positive, or math.MaxInt64) reserves nothing.
func NewBuffer(account *Account, size int64) (*Buffer, error) {
	b := &Buffer{account: account}
	if size <= 0 || size == math.MaxInt64 {
		return b, nil
	}
	// One byte more, so that the end of a body of this size is read without growing.
	return b, b.grow(size + 1)
}

// grow increases the capacity, or returns a *LimitError.
func (b *Buffer) grow(more int64) error {
	if err := b.account.Reserve(more); err != nil {
		return err
	}
	grown := make([]byte, len(b.bytes), int64(cap(b.bytes))+more)
	copy(grown, b.bytes)
	b.bytes = grown
	return nil
}

// ReadAll reads source to its end. If the limit is reached it returns a
// *LimitError; the data read so far stays available.
func (b *Buffer) ReadAll(source io.Reader) error {
	for {
		if len(b.bytes) == cap(b.bytes) {
			if err := b.grow(int64(max(cap(b.bytes), minGrowth))); err != nil {
				return err
			}
		}
		n, err := source.Read(b.bytes[len(b.bytes):cap(b.bytes)])
		b.bytes = b.bytes[:len(b.bytes)+n]
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// Bytes returns the data read so far.
func (b *Buffer) Bytes() []byte { return b.bytes }
