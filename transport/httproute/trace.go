package httproute

import (
	"log/slog"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/basilroute/basilroute/state/routes"
	"github.com/basilroute/basilroute/transport/outcome"
)

// Events of a request trace, documented in docs/OPERATIONS.md.
const (
	eventAdmitted   = "request_admitted"
	eventPlaced     = "request_placed"
	eventForwarded  = "request_forwarded"
	eventUnplaced   = "request_unplaced"
	eventBuildFound = "request_build_found"
	eventWaited     = "request_waited"
	eventRetried    = "request_retried"
	eventResumed    = "request_resumed"
	eventHandover   = "request_handover" // of a silent server
	eventRefused    = "request_refused"
	eventCut        = "request_cut"
	eventServed     = "request_served"
)

// normalSampleInterval is the number of normal requests of which one is logged. At a usual
// load the log lines of normal requests are then a tenth of those of the others.
const normalSampleInterval = 64

// traceStep is one step of a request trace.
type traceStep struct {
	at    time.Time
	event string
	attrs []any
}

// record keeps a step of the trace until the request has ended, because only then is it
// known whether the trace is logged.
func (r *request) record(event string, attrs ...any) {
	r.trace = append(r.trace, traceStep{time.Now(), event, attrs})
}

// logTrace logs the trace of a request that was not answered, was retried or slow, and of a
// sample of the normal requests.
func (r *request) logTrace(log *slog.Logger, ending outcome.Ending, took time.Duration) {
	if ending.Outcome == outcome.Answered && !r.notable(took) && xxhash.Sum64String(r.RequestID)%normalSampleInterval != 0 {
		return
	}
	for _, d := range r.trace {
		log.Info(d.event, append([]any{"request", r.RequestID, "at", d.at}, d.attrs...)...)
	}
}

// notable reports whether a request that was served took more than one attempt, exceeded
// its objective, or had an event gap above the gap objective.
func (r *request) notable(took time.Duration) bool {
	if r.tries > 1 || r.gapExceeded() {
		return true
	}
	if r.route == nil || r.route.Objective == 0 {
		return false
	}
	if r.route.Kind == routes.KindStreaming {
		return r.firstByte > r.route.Objective
	}
	return took > r.route.Objective
}

func (r *request) gapExceeded() bool {
	return r.route != nil && r.route.GapObjective > 0 && r.gaps.longest > r.route.GapObjective
}

// recordEnd records how a request ended.
func (r *request) recordEnd(refused *failure, ending outcome.Ending, gone bool, took time.Duration) {
	attrs := []any{"outcome", string(ending.Outcome)}
	if ending.Outcome == outcome.Cut {
		attrs = append(attrs, "by", ending.By)
	}
	attrs = append(attrs, "took_ms", took.Milliseconds(), "first_byte_ms", r.firstByte.Milliseconds(), "attempts", r.sends)
	if r.gaps.events > 0 {
		attrs = append(attrs, "events", r.gaps.events, "longest_pause_ms", r.gaps.longest.Milliseconds())
	}
	if refused == nil {
		attrs = append(attrs, "server", r.server)
		r.record(eventServed, attrs...)
		return
	}
	attrs = append(attrs, "reason", string(refused.reason), "run", string(refused.run), "status", refused.status(),
		"server", refused.server, "retry_after_ms", refused.retryAfter.Milliseconds(), "caller_gone", gone)
	if refused.cause != nil {
		attrs = append(attrs, "error", refused.cause.Error())
	}
	event := eventRefused
	if refused.responseStarted {
		event = eventCut
	}
	r.record(event, attrs...)
}

// recordAdmitted records the properties that determine how a request is handled.
func (r *request) recordAdmitted() {
	attrs := []any{"route", r.route.Name, "service", r.service, "account", r.accountName(), "config", r.config.Version,
		"tokens", r.PromptTokens, "left_ms", r.wait().Milliseconds(), "objective_ms", r.route.Objective.Milliseconds(),
		"gap_ms", r.route.GapObjective.Milliseconds()}
	if r.Resumes != "" || r.LastEventID != "" {
		attrs = append(attrs, "resumes", r.Resumes, "last_event", r.LastEventID)
	}
	r.record(eventAdmitted, attrs...)
}
