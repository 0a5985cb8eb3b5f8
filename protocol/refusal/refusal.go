// Package refusal defines the typed refusals that callers get and that instances send
// to each other.
package refusal

import (
	"fmt"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/basilroute/basilroute/protocol/peerpb"
)

// Code is the reason for which a request was refused. It is part of the API.
type Code string

// Codes of refusals.
const (
	CodeInvalid         Code = "invalid_request"
	CodeUnauthorized    Code = "unauthorized"
	CodeForbidden       Code = "forbidden"
	CodeNotFound        Code = "not_found"
	CodeMethod          Code = "method_not_allowed"
	CodeConflict        Code = "conflict"
	CodeTooLarge        Code = "too_large"
	CodeRateLimited     Code = "rate_limited"
	CodeOverloaded      Code = "overloaded"
	CodeNoServer        Code = "no_server"
	CodeLeaving         Code = "leaving"
	CodeNotReady        Code = "not_ready"
	CodeStoreDown       Code = "store_unreachable"
	CodeQuarantined     Code = "quarantined"
	CodeLoop            Code = "loop"
	CodeDeadline        Code = "deadline_exceeded"
	CodeBackendFailed   Code = "backend_failed"
	CodeWithdrawn       Code = "key_withdrawn"
	CodeIncomplete      Code = "incomplete"
	CodeInternal        Code = "internal"
	CodeResidency       Code = "residency"
	CodePeerUnreachable Code = "peer_unreachable"
)

var httpStatuses = map[Code]int{
	CodeInvalid:         http.StatusUnprocessableEntity,
	CodeUnauthorized:    http.StatusUnauthorized,
	CodeWithdrawn:       http.StatusUnauthorized,
	CodeForbidden:       http.StatusForbidden,
	CodeResidency:       http.StatusForbidden,
	CodeNotFound:        http.StatusNotFound,
	CodeMethod:          http.StatusMethodNotAllowed,
	CodeConflict:        http.StatusConflict,
	CodeLoop:            http.StatusConflict,
	CodeTooLarge:        http.StatusRequestEntityTooLarge,
	CodeRateLimited:     http.StatusTooManyRequests,
	CodeQuarantined:     http.StatusUnprocessableEntity,
	CodeDeadline:        http.StatusGatewayTimeout,
	CodeBackendFailed:   http.StatusBadGateway,
	CodeIncomplete:      http.StatusBadGateway,
	CodeInternal:        http.StatusInternalServerError,
	CodeOverloaded:      http.StatusServiceUnavailable,
	CodeNoServer:        http.StatusServiceUnavailable,
	CodeLeaving:         http.StatusServiceUnavailable,
	CodeNotReady:        http.StatusServiceUnavailable,
	CodeStoreDown:       http.StatusServiceUnavailable,
	CodePeerUnreachable: http.StatusServiceUnavailable,
}

// RunState is the run state of a refused request: whether it ran on a backend server.
type RunState string

// Run states of a refused request.
const (
	NotRun     RunState = "not_run" // no backend server started it, and none will
	RunUnknown RunState = "unknown"
	Ran        RunState = "ran"
)

// Refusal is the error type of refused requests.
type Refusal struct {
	Code       Code
	Message    string
	RunState   RunState
	RetryAfter time.Duration // when to retry; 0 if a retry does not help
}

func (r *Refusal) Error() string {
	return fmt.Sprintf("%s (%s): %s", r.Code, r.RunState, r.Message)
}

// Status returns the HTTP status of the refusal.
func (r *Refusal) Status() int {
	status, ok := httpStatuses[r.Code]
	switch {
	case !ok:
		return http.StatusInternalServerError
	case r.RunState != NotRun && promisesNotRun(status):
		return http.StatusBadGateway
	}
	return status
}

// promisesNotRun reports whether clients and intermediaries may send a request again after the
// status, because it says that the request was not processed.
func promisesNotRun(status int) bool {
	return status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests
}

// New returns a refusal of a request that did not run.
func New(code Code, format string, args ...any) *Refusal {
	return &Refusal{Code: code, Message: fmt.Sprintf(format, args...), RunState: NotRun}
}

// WithRetryAfter returns a copy with RetryAfter set to d.
func (r *Refusal) WithRetryAfter(d time.Duration) *Refusal {
	next := *r
	next.RetryAfter = d
	return &next
}

// WithRunState returns a copy with another run state.
func (r *Refusal) WithRunState(run RunState) *Refusal {
	next := *r
	next.RunState = run
	return &next
}

// FromError returns the refusal that err wraps, or an internal one with run state unknown,
// since an untyped error does not show whether the request ran.
func FromError(err error) *Refusal {
	var r *Refusal
	if errors.As(err, &r) {
		return r
	}
	return New(CodeInternal, "%v", err).WithRunState(RunUnknown)
}

var runToProto = map[RunState]peerpb.RunState{
	NotRun:     peerpb.RunState_RUN_STATE_NOT_RUN,
	RunUnknown: peerpb.RunState_RUN_STATE_UNKNOWN,
	Ran:        peerpb.RunState_RUN_STATE_RAN,
}

// ToProto encodes the refusal for a peer.
func (r *Refusal) ToProto() *peerpb.Refusal {
	return &peerpb.Refusal{
		Code:         string(r.Code),
		Message:      r.Message,
		Run:          runToProto[r.RunState],
		RetryAfterMs: r.RetryAfter.Milliseconds(),
	}
}

// FromProto decodes a peer's refusal. An unrecognized run state is decoded as RunUnknown.
func FromProto(p *peerpb.Refusal) *Refusal {
	run := RunUnknown
	for state, encoded := range runToProto {
		if encoded == p.GetRun() {
			run = state
		}
	}
	return &Refusal{
		Code:       Code(p.GetCode()),
		Message:    p.GetMessage(),
		RunState:   run,
		RetryAfter: time.Duration(p.GetRetryAfterMs()) * time.Millisecond,
	}
}
