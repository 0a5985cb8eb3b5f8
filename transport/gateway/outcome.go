package gateway

import (
	"context"
	"io"
	"net/http"

	"github.com/cockroachdb/errors"

	"github.com/basilroute/basilroute/protocol/refusal"
	"github.com/basilroute/basilroute/transport/outcome"
)

type callEndKey struct{}

// callEnd is how the handler of a request has ended it.
type callEnd struct {
	refused *refusal.Refusal // nil for a complete response
	cut     bool             // the refusal came after a part of the response
}

// endOf returns the end of the request whose handler runs in ctx.
func endOf(ctx context.Context) *callEnd {
	if end, ok := ctx.Value(callEndKey{}).(*callEnd); ok {
		return end
	}
	return &callEnd{}
}

// countOutcomes counts how each request ends that a backend server may run and that was read whole.
func (g *Gateway) countOutcomes(next http.Handler) http.Handler {
	if g.Metrics == nil {
		return next
	}
	counts := g.Metrics.Callers()
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method != http.MethodPost {
			next.ServeHTTP(w, r)
			return
		}
		counted, watched, end := counts.Request(), outcome.Watch(w, r), &callEnd{}
		defer counted.End(outcome.Ending{Outcome: outcome.Cut, By: outcome.ByPanic}) // counts only if nothing else has ended the request
		if r.ContentLength == 0 {
			counted.Read()
		}
		r = r.WithContext(context.WithValue(r.Context(), callEndKey{}, end))
		r.Body = countedBody{r.Body, counted}
		next.ServeHTTP(watched, r)
		counted.End(end.ending(watched))
	})
}

// countedBody counts a request as read when the end of its body has been read.
type countedBody struct {
	io.ReadCloser
	request *outcome.Request
}

func (b countedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		b.request.Read()
	}
	return n, err
}

func (e *callEnd) ending(w *outcome.Writer) outcome.Ending {
	if gone, ok := w.CallerGone(e.cut); ok {
		return gone
	}
	switch {
	case e.refused == nil:
		return outcome.Ending{Outcome: outcome.Answered, By: outcome.ByNothing}
	case e.cut && e.refused.Code == refusal.CodeDeadline:
		return outcome.Ending{Outcome: outcome.Deadline, By: outcome.ByBreak}
	case e.cut:
		return outcome.Ending{Outcome: outcome.Cut, By: cutBy(e.refused.Code)}
	case e.refused.Code == refusal.CodeDeadline && e.refused.RunState != refusal.NotRun:
		return outcome.Ending{Outcome: outcome.Deadline, By: outcome.ByStatus}
	}
	return outcome.Ending{Outcome: outcome.Refused, By: string(e.refused.Code)}
}

// cutBy returns what cut off a stream that had begun.
func cutBy(code refusal.Code) string {
	switch code {
	case refusal.CodeBackendFailed, refusal.CodeIncomplete:
		return outcome.ByServer
	case refusal.CodePeerUnreachable:
		return outcome.ByPeer
	case refusal.CodeLeaving:
		return outcome.ByShutdown
	}
	return string(code)
}
