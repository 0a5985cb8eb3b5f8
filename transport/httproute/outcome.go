package httproute

import (
	"net/http"

	"github.com/cockroachdb/errors"

	"github.com/basilroute/basilroute/transport/outcome"
)

// watchedWriter records how the writing of a response went.
type watchedWriter struct {
	http.ResponseWriter
	gone func() bool // reports whether the caller has left

	began bool
	late  bool  // the caller had left before the response began
	err   error // of the caller's connection
}

func watchWriter(w http.ResponseWriter, hr *http.Request) *watchedWriter {
	return &watchedWriter{ResponseWriter: w, gone: func() bool { return hr.Context().Err() != nil }}
}

// WriteHeader implements http.ResponseWriter.
func (w *watchedWriter) WriteHeader(status int) {
	w.begin()
	w.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (w *watchedWriter) Write(part []byte) (int, error) {
	w.begin()
	n, err := w.ResponseWriter.Write(part)
	w.record(err)
	return n, err
}

// FlushError implements the flush of http.ResponseController.
func (w *watchedWriter) FlushError() error {
	w.begin()
	err := http.NewResponseController(w.ResponseWriter).Flush()
	w.record(err)
	return err
}

// Unwrap returns the writer for the other methods of http.ResponseController.
func (w *watchedWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

func (w *watchedWriter) begin() {
	if w.began {
		return
	}
	w.began, w.late = true, w.gone()
}

func (w *watchedWriter) record(err error) {
	if w.err == nil && !errors.Is(err, http.ErrNotSupported) {
		w.err = err
	}
}

// discardHeader removes what was to be written, except whether the connection closes, if nothing was.
func (w *watchedWriter) discardHeader() {
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

// finish writes what net/http still holds of a response of known length. The error would otherwise
// arise when the handler has returned.
func (w *watchedWriter) finish() {
	if w.began && w.err == nil && w.Header().Get("Content-Length") != "" {
		_ = w.FlushError() // recorded
	}
}

// ending returns how a request has ended. r is nil for a forwarded request and for one that was refused
// before its route was known, and failed if the response of a backend server was passed on whole.
func (w *watchedWriter) ending(r *request, failed *failure) outcome.Ending {
	w.finish()
	switch {
	case failed != nil && failed.reason == reasonPanic && !failed.remote:
		return cutByPanic
	case w.err != nil:
		return outcome.Ending{Outcome: outcome.CallerGone, By: outcome.ByWrite}
	case w.callerLeft(r, failed):
		return outcome.Ending{Outcome: outcome.CallerGone, By: outcome.ByClose}
	case failed == nil:
		return outcome.Ending{Outcome: outcome.Answered, By: outcome.ByNothing}
	case failed.responseStarted && failed.reason == reasonDeadline:
		return outcome.Ending{Outcome: outcome.Deadline, By: outcome.ByBreak}
	case failed.responseStarted:
		return outcome.Ending{Outcome: outcome.Cut, By: cutBy(r, failed)}
	case failed.status() == http.StatusGatewayTimeout:
		return outcome.Ending{Outcome: outcome.Deadline, By: outcome.ByStatus}
	}
	return outcome.Ending{Outcome: outcome.Refused, By: string(failed.reason)}
}

// callerLeft reports whether the caller left before the end of its response. One that has closed its
// connection since is not told from one that had read all.
func (w *watchedWriter) callerLeft(r *request, failed *failure) bool {
	switch {
	case !w.began, w.late:
		return true
	case r != nil && r.callerLeft:
		return true
	}
	return failed != nil && failed.responseStarted && w.gone()
}

// recordInterruption records that the response of a server was broken off.
func (r *request) recordInterruption(f *failure, rep *reply) {
	f.forwarded = rep.forwarded
	r.interruption = f
}

// cutBy returns what cut off a response that had begun: what broke it off, and not why no other server
// went on with it.
func cutBy(r *request, failed *failure) string {
	cut := failed
	if r != nil && r.interruption != nil {
		cut = r.interruption
	}
	switch {
	case cut.reason == reasonSilent:
		return outcome.BySilence
	case cut.forwarded:
		return outcome.ByPeer
	}
	return outcome.ByServer
}
