// Package httpstream makes the generated HTTP servers send streamed answers
// part by part. A generated server copies a streamed body with io.Copy and does
// not flush, so a caller would see tokens only when a buffer fills up.
package httpstream

import (
	"context"
	"io"
	"net/http"
	"strings"
	"sync"
)

// Content types of bodies that are sent part by part.
const (
	typeEvents = "text/event-stream"
	typeFrames = "application/octet-stream"
)

// FlushHandler wraps a handler so that each write of a streamed body is sent at once.
func FlushHandler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		out := &writer{ResponseWriter: w}
		next.ServeHTTP(out, r.WithContext(context.WithValue(r.Context(), writerKey{}, out)))
	})
}

// writer flushes in Write and not in ReadFrom: the generated server wraps the
// writer in one of its own that hides ReadFrom, and io.Copy then calls Write.
// Symptom of the other way: the first token arrives together with the last.
type writer struct {
	http.ResponseWriter
	flusher http.Flusher // set while a streamed body is written
	sent    bool         // by SendEvents, headers and all
}

type writerKey struct{}

const copyBytes = 4 << 10

var copyBuffers = sync.Pool{New: func() any {
	buf := make([]byte, copyBytes)
	return &buf
}}

// SendEvents sends server-sent events to the caller whose handler runs in ctx
// and closes the body. It returns what the handler gives to the generated server
// in the body's place: nothing more, or the body itself when ctx is of no handler
// behind Flush. io.Copy of the generated server would hold 32 KiB for as long as
// the stream is open, four tenths of what a stream takes in memory.
func SendEvents(ctx context.Context, body io.ReadCloser) io.ReadCloser {
	w, ok := ctx.Value(writerKey{}).(*writer)
	if !ok {
		return body
	}
	w.Header().Set("Content-Type", typeEvents)
	w.WriteHeader(http.StatusOK)
	w.sent = true
	buf := copyBuffers.Get().(*[]byte)
	defer copyBuffers.Put(buf)
	for {
		n, err := body.Read(*buf)
		if n > 0 {
			if _, writeErr := w.Write((*buf)[:n]); writeErr != nil {
				break // the caller went away
			}
		}
		if err != nil {
			break
		}
	}
	_ = body.Close()
	return io.NopCloser(strings.NewReader(""))
}

// Unwrap lets http.ResponseController reach the connection.
func (w *writer) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// WriteHeader sends the headers of a streamed body before its first part.
func (w *writer) WriteHeader(status int) {
	if w.sent {
		return
	}
	w.ResponseWriter.WriteHeader(status)
	if !streamed(w.Header().Get("Content-Type")) {
		return
	}
	if f, ok := w.ResponseWriter.(http.Flusher); ok {
		w.flusher = f
		f.Flush()
	}
}

func streamed(contentType string) bool {
	return contentType == typeEvents || contentType == typeFrames
}

func (w *writer) Write(part []byte) (int, error) {
	n, err := w.ResponseWriter.Write(part)
	if err == nil && w.flusher != nil {
		w.flusher.Flush()
	}
	return n, err
}
