package httproute

import (
	"log/slog"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/basilroute/basilroute/state/routes"
)

// Events of a request's story, in docs/OPERATIONS.md.
const (
	eventAdmitted  = "request_admitted"
	eventPlaced    = "request_placed"
	eventForwarded = "request_forwarded"
	eventUnplaced  = "request_unplaced"
	eventRetried   = "request_retried"
	eventResumed   = "request_resumed"
	eventRefused   = "request_refused"
	eventCut       = "request_cut"
	eventServed    = "request_served"
)

// calmSample is of how many calm requests one is logged: with it the lines of calm
// requests are a tenth of those of the others at a usual load.
const calmSample = 64

// decision is one step of a request's story.
type decision struct {
	at    time.Time
	event string
	attrs []any
}

// note keeps a decision until the request has ended: only then it is known whether its
// story is worth its lines.
func (r *request) note(event string, attrs ...any) {
	r.story = append(r.story, decision{time.Now(), event, attrs})
}

// tell writes the story of a request that was refused, failed, retried or slow, and of
// a sample of the calm ones.
func (r *request) tell(log *slog.Logger, refused *failure, took time.Duration) {
	if refused == nil && !r.remarkable(took) && xxhash.Sum64String(r.RequestID)%calmSample != 0 {
		return
	}
	for _, d := range r.story {
		log.Info(d.event, append([]any{"request", r.RequestID, "at", d.at}, d.attrs...)...)
	}
}

// remarkable tells whether a request that was served took more than one attempt or
// longer than its objective, or paused for too long.
func (r *request) remarkable(took time.Duration) bool {
	if r.tries > 1 || r.pausedTooLong() {
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

func (r *request) pausedTooLong() bool {
	return r.route != nil && r.route.GapObjective > 0 && r.pauses.longest > r.route.GapObjective
}

// noteEnd keeps how a request ended.
func (r *request) noteEnd(refused *failure, gone bool, took time.Duration) {
	attrs := []any{"took_ms", took.Milliseconds(), "first_byte_ms", r.firstByte.Milliseconds(), "attempts", r.attempts}
	if r.pauses.events > 0 {
		attrs = append(attrs, "events", r.pauses.events, "longest_pause_ms", r.pauses.longest.Milliseconds())
	}
	if refused == nil {
		attrs = append(attrs, "server", r.server)
		r.note(eventServed, attrs...)
		return
	}
	attrs = append(attrs, "reason", string(refused.reason), "run", string(refused.run), "status", refused.status(),
		"server", refused.server, "retry_after_ms", refused.retryAfter.Milliseconds(), "caller_gone", gone)
	if refused.cause != nil {
		attrs = append(attrs, "error", refused.cause.Error())
	}
	event := eventRefused
	if refused.begun {
		event = eventCut
	}
	r.note(event, attrs...)
}

// noteAdmitted keeps what decided how a request is treated.
func (r *request) noteAdmitted() {
	r.note(eventAdmitted, "route", r.route.Name, "service", r.service, "account", r.accountName(), "config", r.config.Version,
		"tokens", r.PromptTokens, "left_ms", r.deadline.Sub(r.arrived).Milliseconds(), "objective_ms", r.route.Objective.Milliseconds(),
		"gap_ms", r.route.GapObjective.Milliseconds())
}
