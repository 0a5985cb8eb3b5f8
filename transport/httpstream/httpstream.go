// Package httpstream makes the generated HTTP servers send streamed answers
// part by part. A generated server copies a streamed body with io.Copy and does
// not flush, so a caller would see tokens only when a buffer fills up.
package httpstream

import (
	"net/http"
)

// Content types of bodies that are sent part by part.
const (
	typeEvents = "text/event-stream"
	typeFrames = "application/octet-stream"
)

// Flush wraps a handler so that each write of a streamed body is sent at once.
func Flush(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		next.ServeHTTP(&writer{ResponseWriter: w}, r)
	})
}

// writer flushes in Write and not in ReadFrom: the generated server wraps the
// writer in one of its own that hides ReadFrom, and io.Copy then calls Write.
// Symptom of the other way: the first token arrives together with the last.
type writer struct {
	http.ResponseWriter
	flusher http.Flusher // set while a streamed body is written
}

// Unwrap lets http.ResponseController reach the connection.
func (w *writer) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// WriteHeader sends the headers of a streamed body before its first part.
func (w *writer) WriteHeader(status int) {
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
