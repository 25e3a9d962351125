package memlimit

import (
	"io"
	"math"
)

// leastGrowth is the smallest step of a Buffer, in bytes.
const leastGrowth = 4 << 10

// Buffer reads into memory that an Account holds.
type Buffer struct {
	account *Account
	bytes   []byte
}

// NewBuffer makes a Buffer with room for some bytes, or returns a *LimitError.
func NewBuffer(account *Account, size int64) (*Buffer, error) {
	b := &Buffer{account: account}
	if size <= 0 || size == math.MaxInt64 {
		return b, nil
	}
	// One byte more, so that the end of what has that size is read without
	// growing.
	return b, b.grow(size + 1)
}

// grow makes room for some bytes more, or returns a *LimitError.
func (b *Buffer) grow(more int64) error {
	if err := b.account.Reserve(more); err != nil {
		return err
	}
	grown := make([]byte, len(b.bytes), int64(cap(b.bytes))+more)
	copy(grown, b.bytes)
	b.bytes = grown
	return nil
}

// ReadAll reads until the end of a source, or until more does not fit: then it
// returns a *LimitError, and what was read stays.
func (b *Buffer) ReadAll(source io.Reader) error {
	for {
		if len(b.bytes) == cap(b.bytes) {
			if err := b.grow(int64(max(cap(b.bytes), leastGrowth))); err != nil {
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

// Bytes is what was read.
func (b *Buffer) Bytes() []byte { return b.bytes }
