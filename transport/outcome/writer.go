package outcome

import (
	"net/http"

	"github.com/cockroachdb/errors"
)

// Writer passes a response on and records how its writing went. Its methods are called by one goroutine
// at a time.
type Writer struct {
	http.ResponseWriter
	gone func() bool // reports whether the caller has left

	began   bool
	late    bool  // the caller had left before the response began, or before a part that its connection did not take
	flushed bool  // a part of the response has reached the connection
	err     error // of the caller's connection
}

// Watch returns a writer of the response to a request.
func Watch(w http.ResponseWriter, r *http.Request) *Writer {
	return &Writer{ResponseWriter: w, gone: func() bool { return r.Context().Err() != nil }}
}

// Began reports whether anything of the response was written.
func (w *Writer) Began() bool { return w.began }

// WriteHeader implements http.ResponseWriter.
func (w *Writer) WriteHeader(status int) {
	w.begin()
	w.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (w *Writer) Write(part []byte) (int, error) {
	w.begin()
	gone := w.gone() // net/http reports a caller as gone after a failed write too
	n, err := w.ResponseWriter.Write(part)
	w.record(err, gone)
	return n, err
}

// Flush implements http.Flusher.
func (w *Writer) Flush() { _ = w.FlushError() } // recorded

// FlushError implements the flush of http.ResponseController.
func (w *Writer) FlushError() error {
	w.begin()
	gone := w.gone()
	err := http.NewResponseController(w.ResponseWriter).Flush()
	w.record(err, gone)
	w.flushed = true
	return err
}

// Unwrap returns the writer for the other methods of http.ResponseController.
func (w *Writer) Unwrap() http.ResponseWriter { return w.ResponseWriter }

func (w *Writer) begin() {
	if w.began {
		return
	}
	w.began, w.late = true, w.gone()
}

func (w *Writer) record(err error, gone bool) {
	if err == nil || w.err != nil || errors.Is(err, http.ErrNotSupported) {
		return
	}
	w.err = err
	w.late = w.late || gone
}

// DiscardHeader removes the header of a response that has not begun, except whether the connection closes.
func (w *Writer) DiscardHeader() {
	if w.began {
		return
	}
	header := w.Header()
	closes := header["Connection"]
	clear(header)
	if closes != nil {
		header["Connection"] = closes
	}
}

// CallerGone ends the writing. It returns how the request has ended if the caller left, or its connection
// failed, before the end of the response. A caller that has closed its connection since is not told from
// one that had read all, unless the response was cut off.
func (w *Writer) CallerGone(cut bool) (Ending, bool) {
	w.finish()
	switch {
	case w.late, !w.began:
		return Ending{CallerGone, ByClose}, true
	case w.err != nil:
		return Ending{CallerGone, ByWrite}, true
	case (cut || !w.flushed) && w.gone():
		return Ending{CallerGone, ByClose}, true
	}
	return Ending{}, false
}

// finish writes what net/http still holds of a response of known length. The error would otherwise
// arise when the handler has returned.
func (w *Writer) finish() {
	if w.began && w.err == nil && w.Header().Get("Content-Length") != "" {
		w.Flush()
	}
}
