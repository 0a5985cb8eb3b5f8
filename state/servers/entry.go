package servers

import (
	"sync"
	"sync/atomic"
	"time"
)

// initialLimit is how many requests an instance sends to a server at a time before it has
// measured any. The limit then doubles with every round of responses.
const initialLimit = 4

// Entry is one backend server in the table. Routing decisions read it without a lock:
// the view is replaced as a whole, the counters are atomic.
type Entry struct {
	slot int
	mu   sync.Mutex // held by writers of the view
	view atomic.Pointer[Server]

	inFlight      atomic.Int64
	bulkInFlight  atomic.Int64 // part of inFlight
	pendingTokens atomic.Int64
	limit         atomic.Int64
	bulkLimit     atomic.Int64
}

// Facts holds what routing decisions read of a server for every request, computed when
// the view changes. Times are in nanoseconds since 1970, durations in seconds.
type Facts struct {
	Usable           bool
	EjectedUntil     int64
	ReportedAt       int64
	Since            int64
	PrefillRate      float64 // prompt tokens per second; 0 when not known
	StepTime         float64 // time to generate one token for each running request
	QueueDrainTime   float64 // time until the requests waiting on the server have started
	OtherRequests    float64 // requests of other instances on the server
	WaitingTokens    float64
	FirstTokenFactor float64 // measured over expected time to the first token
}

func factsOf(s *Server) Facts {
	f := Facts{
		Usable: s.Usable(), EjectedUntil: s.EjectedUntil.UnixNano(), ReportedAt: s.Load.At.UnixNano(),
		Since: s.Since.UnixNano(), PrefillRate: s.Load.PrefillRate, WaitingTokens: float64(s.Load.WaitingTokens),
		OtherRequests: float64(max(s.Load.Running+s.Load.Waiting-s.OwnAtReport, 0)), FirstTokenFactor: s.LatencyFactor,
	}
	if s.EjectedUntil.IsZero() {
		f.EjectedUntil = 0
	}
	if s.Load.DecodeRate > 0 {
		f.StepTime = float64(s.Load.Running) / s.Load.DecodeRate
	}
	if s.Load.Waiting > 0 && s.Load.Running > 0 {
		f.QueueDrainTime = float64(s.Load.Waiting) * s.MeanDuration.Seconds() / float64(s.Load.Running)
	}
	return f
}

// Facts returns the precomputed values for routing decisions. They are read-only.
func (s *Server) Facts() *Facts { return &s.facts }

func newEntry(id string, slot int, now time.Time) *Entry {
	e := &Entry{slot: slot}
	e.view.Store(&Server{ID: id, Since: now, LatencyFactor: 1})
	e.SetLimit(initialLimit, initialLimit)
	return e
}

// View returns the current state of the server. It is shared and read-only; InFlight and
// Limit are set only in copies.
func (e *Entry) View() *Server { return e.view.Load() }

// Slot returns a small number that no other current server of the service has.
func (e *Entry) Slot() int { return e.slot }

// Copy returns the view with the counters filled in.
func (e *Entry) Copy() Server {
	server := *e.View()
	server.InFlight, server.Limit = e.InFlight(), e.Limit()
	return server
}

func (e *Entry) modify(change func(*Server)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	next := *e.view.Load()
	change(&next)
	next.facts = factsOf(&next)
	e.view.Store(&next)
}

// Begin counts a request of this instance and the prompt tokens that the server has to
// prefill for it.
func (e *Entry) Begin(promptTokens int, bulk bool) {
	e.inFlight.Add(1)
	if bulk {
		e.bulkInFlight.Add(1)
	}
	e.pendingTokens.Add(int64(promptTokens))
}

// EndPrefill removes the prompt tokens from the pending ones: the first token has arrived,
// or never will.
func (e *Entry) EndPrefill(promptTokens int) { e.pendingTokens.Add(-int64(promptTokens)) }

// End is the counterpart of Begin.
func (e *Entry) End(bulk bool) {
	e.inFlight.Add(-1)
	if bulk {
		e.bulkInFlight.Add(-1)
	}
}

// Bulk returns how many of this instance's requests on the server are bulk.
func (e *Entry) Bulk() int { return int(e.bulkInFlight.Load()) }

// BulkLimit returns how many bulk requests this instance may have on the server.
func (e *Entry) BulkLimit() int { return int(e.bulkLimit.Load()) }

// InFlight returns how many requests this instance has on the server.
func (e *Entry) InFlight() int { return int(e.inFlight.Load()) }

// PendingTokens returns the prompt tokens of this instance's requests that wait for their
// first token.
func (e *Entry) PendingTokens() int { return int(e.pendingTokens.Load()) }

// Limit returns how many requests this instance may have on the server.
func (e *Entry) Limit() int { return int(e.limit.Load()) }

// SetLimit sets the limits for all requests and for bulk requests.
func (e *Entry) SetLimit(limit, bulk int) {
	e.limit.Store(int64(limit))
	e.bulkLimit.Store(int64(bulk))
}

// SetMeasurements sets what this instance measured of the server: the mean duration of a
// request, and the measured over the expected time to the first token.
func (e *Entry) SetMeasurements(duration time.Duration, factor float64) {
	e.modify(func(server *Server) {
		server.MeanDuration, server.LatencyFactor = duration, factor
	})
}

// RecordError counts a failed request and returns the number of consecutive failures.
func (e *Entry) RecordError() int {
	e.modify(func(server *Server) { server.Errors++ })
	return e.View().Errors
}

// RecordSuccess records a response: it resets the counters of consecutive failures and
// ejections.
func (e *Entry) RecordSuccess() {
	if v := e.View(); v.Ejections == 0 && v.Errors == 0 && v.Failures == 0 {
		return
	}
	e.modify(func(server *Server) { server.Ejections, server.Errors, server.Failures = 0, 0, 0 })
}
