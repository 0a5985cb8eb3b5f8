package httproute

import (
	"fmt"
	"log/slog"
	"net/http"
	"runtime/debug"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/basilroute/basilroute/transport/outcome"
)

// eventPanicked is logged at once, beside the trace of the request.
const eventPanicked = "handler_panicked"

var cutByPanic = outcome.Ending{Outcome: outcome.Cut, By: outcome.ByPanic}

// endPanicked ends a request whose handler panicked. It may have run. It panics with
// http.ErrAbortHandler if the handler did, or if its response has begun.
func (f *Front) endPanicked(w *outcome.Writer, hr *http.Request, r *request, cause any, counted *outcome.Request, arrived time.Time) {
	if cause == any(http.ErrAbortHandler) {
		panic(cause)
	}
	if r == nil {
		r = &request{Call: decodeAgain(f.Codec, hr.Header), arrived: arrived}
	}
	logPanic(f.Log, r.RequestID, cause)
	w.DiscardHeader()
	f.finish(w, hr, r, panicFailure(w, cause), counted, arrived)
}

// endPanicked does the same for a forwarded request.
func (p *Peer) endPanicked(w *outcome.Writer, hr *http.Request, service string, cause any, counted *outcome.Request) {
	if cause == any(http.ErrAbortHandler) {
		panic(cause)
	}
	id := decodeAgain(p.Codec, hr.Header).RequestID
	logPanic(p.Local.Log, id, cause)
	counted.End(cutByPanic)
	failed := panicFailure(w, cause)
	if failed.responseStarted {
		panic(http.ErrAbortHandler)
	}
	w.DiscardHeader()
	p.refuse(w, &outbound{id: id, service: service}, failed)
}

func panicFailure(w *outcome.Writer, cause any) *failure {
	return &failure{run: runUnknown, reason: reasonPanic, sent: true, responseStarted: w.Began(), cause: errors.Newf("panic: %v", cause)}
}

func logPanic(log *slog.Logger, requestID string, cause any) {
	log.Error(eventPanicked, "request", requestID, "error", fmt.Sprint(cause), "stack", string(debug.Stack()))
}

// decodeAgain decodes the properties of a request. They are empty if the decoding is what panicked
// before, which is logged then.
func decodeAgain(codec Codec, header http.Header) (call Call) {
	defer func() { _ = recover() }()
	return codec.DecodeCall(header)
}
