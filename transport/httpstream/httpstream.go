// Package httpstream makes the generated HTTP servers send streamed answers
// part by part. A generated server copies a streamed body with io.Copy and does
// not flush, so a caller would see tokens only when a buffer fills up.
package httpstream

import (
	"io"
	"net/http"
	"sync"
)

const copyBytes = 4 << 10

var copyBuffers = sync.Pool{New: func() any {
	buf := make([]byte, copyBytes)
	return &buf
}}

// Flush wraps a handler so that each read of a streamed body is sent at once.
func Flush(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		next.ServeHTTP(&writer{ResponseWriter: w, flush: http.NewResponseController(w).Flush}, r)
	})
}

type writer struct {
	http.ResponseWriter
	flush func() error
}

// Unwrap lets http.ResponseController reach the connection.
func (w *writer) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// ReadFrom is what io.Copy calls; every part read is written and flushed.
func (w *writer) ReadFrom(src io.Reader) (int64, error) {
	buf := copyBuffers.Get().(*[]byte)
	defer copyBuffers.Put(buf)
	if err := w.flush(); err != nil { // the caller sees the headers before the first token
		return 0, err
	}
	var total int64
	for {
		n, err := src.Read(*buf)
		if n > 0 {
			written, writeErr := w.send((*buf)[:n])
			total += int64(written)
			if writeErr != nil {
				return total, writeErr
			}
		}
		if err == io.EOF {
			return total, nil
		}
		if err != nil {
			return total, err
		}
	}
}

func (w *writer) send(part []byte) (int, error) {
	n, err := w.Write(part)
	if err != nil {
		return n, err
	}
	return n, w.flush()
}
