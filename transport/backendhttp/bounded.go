package backendhttp

import (
	"io"

	"github.com/cockroachdb/errors"
)

// boundedReader reads from a connection, and while a head is read no more than a number of bytes: the
// parser of heads holds all of a head in memory, however long.
type boundedReader struct {
	conn    io.Reader
	bounded bool
	bound   int // that was set last
	left    int // bytes until the bound
	failed  error
}

// limit bounds what is read from now on.
func (b *boundedReader) limit(bytes int) { b.bounded, b.bound, b.left = true, bytes, bytes }

// unlimit lifts the bound, and returns how many bytes were left.
func (b *boundedReader) unlimit() (left int) {
	b.bounded = false
	return b.left
}

// resume applies the bound again, with the bytes that were left.
func (b *boundedReader) resume(left int) { b.bounded, b.left = true, left }

// Read implements io.Reader. At the bound it returns an error marked with ErrMalformed.
func (b *boundedReader) Read(p []byte) (int, error) {
	if b.bounded {
		if b.left == 0 {
			return 0, errors.Wrapf(ErrMalformed, "head of over %d bytes", b.bound)
		}
		p = p[:min(len(p), b.left)]
	}
	n, err := b.conn.Read(p)
	b.left -= n
	if err != nil {
		b.failed = err
	}
	return n, err
}
