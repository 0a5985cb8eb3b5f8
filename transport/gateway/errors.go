package gateway

import (
	"context"
	"math"
	"net/http"
	"strconv"

	"github.com/cockroachdb/errors"
	"github.com/ogen-go/ogen/ogenerrors"

	"github.com/basilroute/basilroute/protocol/gatewayapi"
	"github.com/basilroute/basilroute/protocol/refusal"
	"github.com/basilroute/basilroute/service"
)

// classify converts an error of the generated server or of a handler to a refusal.
func classify(err error) *refusal.Refusal {
	var typed *refusal.Refusal
	if errors.As(err, &typed) {
		return typed
	}
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return refusal.New(refusal.CodeTooLarge, "the body has more than %d bytes", tooLarge.Limit)
	}
	var security *ogenerrors.SecurityError
	if errors.As(err, &security) {
		return refusal.New(refusal.CodeUnauthorized, "a key is needed: Authorization: Bearer <key>")
	}
	var request *ogenerrors.DecodeRequestError
	var params *ogenerrors.DecodeParamsError
	if errors.As(err, &request) || errors.As(err, &params) {
		return refusal.New(refusal.CodeInvalid, "%v", err)
	}
	return refusal.FromError(err)
}

// encodeRefusal returns the body of a refusal. A refusal of a request that other instances may
// serve lists these instances.
func (g *Gateway) encodeRefusal(r *refusal.Refusal, account *service.Account) gatewayapi.Refusal {
	g.Metrics.RecordRefusal(string(r.Code))
	out := gatewayapi.Refusal{Code: string(r.Code), Message: r.Message, Run: gatewayapi.RefusalRun(r.RunState)}
	if r.RetryAfter > 0 {
		out.RetryAfterMs = gatewayapi.NewOptInt64(r.RetryAfter.Milliseconds())
	}
	switch r.Code {
	case refusal.CodeLeaving, refusal.CodeNotReady, refusal.CodeOverloaded:
		out.Entries = g.Entries.Entries(account)
	}
	return out
}

func retryAfterSeconds(r *refusal.Refusal) int {
	return int(math.Ceil(r.RetryAfter.Seconds()))
}

// NewError implements gatewayapi.Handler.
func (g *Gateway) NewError(ctx context.Context, err error) *gatewayapi.RefusalStatusCodeWithHeaders {
	r := classify(err)
	endOf(ctx).refused = r
	c, _ := ctx.Value(callerKey{}).(caller)
	out := &gatewayapi.RefusalStatusCodeWithHeaders{StatusCode: r.Status(), Response: g.encodeRefusal(r, c.account)}
	if r.RetryAfter > 0 {
		out.RetryAfter = gatewayapi.NewOptInt(retryAfterSeconds(r))
	}
	return out
}

// writeError responds to errors that occur before an operation's handler runs.
func (g *Gateway) writeError(_ context.Context, w http.ResponseWriter, r *http.Request, err error) {
	g.writeRefusal(w, r, classify(err))
}

func (g *Gateway) notFound(w http.ResponseWriter, r *http.Request) {
	g.writeRefusal(w, r, refusal.New(refusal.CodeNotFound, "no such path"))
}

func (g *Gateway) methodNotAllowed(w http.ResponseWriter, r *http.Request, allowed string) {
	w.Header().Set("Allow", allowed)
	g.writeRefusal(w, r, refusal.New(refusal.CodeMethod, "want one of %s", allowed))
}

func (g *Gateway) writeRefusal(w http.ResponseWriter, hr *http.Request, r *refusal.Refusal) {
	endOf(hr.Context()).refused = r
	body := g.encodeRefusal(r, nil)
	encoded, err := body.MarshalJSON()
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json; charset=utf-8")
	if r.RetryAfter > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(retryAfterSeconds(r)))
	}
	w.WriteHeader(r.Status())
	_, _ = w.Write(encoded)
}
