package servers

import (
	"sync"
	"sync/atomic"
	"time"
)

// initialLimit is how many requests a server gets from this instance before
// anything is known of it. The limit then doubles with every round of answers.
const initialLimit = 4

// Entry is one backend server in the table. Decisions read it without a lock:
// the view is replaced as a whole, the counters are atomic.
type Entry struct {
	slot int
	mu   sync.Mutex // held by writers of the view
	view atomic.Pointer[Server]

	inFlight  atomic.Int64
	bulk      atomic.Int64 // of inFlight
	pending   atomic.Int64
	limit     atomic.Int64
	bulkLimit atomic.Int64
}

// Facts is what decisions read of a server for every request, worked out when
// the view changes. Times are in nanoseconds since 1970, durations in seconds.
type Facts struct {
	Usable           bool
	EjectedUntil     int64
	ReportedAt       int64
	Since            int64
	PrefillRate      float64 // prompt tokens per second; 0 when not known
	StepTime         float64 // to give each running request a token
	QueueDrainTime   float64 // for what waits in the server to start
	OtherRequests    float64 // requests of other instances
	WaitingTokens    float64
	FirstTokenFactor float64 // measured against expected time to the first token
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

// Facts returns what decisions read of the server. It is not to be changed.
func (s *Server) Facts() *Facts { return &s.facts }

func newEntry(id string, slot int, now time.Time) *Entry {
	e := &Entry{slot: slot}
	e.view.Store(&Server{ID: id, Since: now, LatencyFactor: 1})
	e.SetLimit(initialLimit, initialLimit)
	return e
}

// View returns what is known of the server. It is shared and not to be changed;
// InFlight and Limit are only set in copies.
func (e *Entry) View() *Server { return e.view.Load() }

// Slot is a small number that no other server of the service has now.
func (e *Entry) Slot() int { return e.slot }

// Copy returns the view with the counters filled in.
func (e *Entry) Copy() Server {
	server := *e.View()
	server.InFlight, server.Limit = e.InFlight(), e.Limit()
	return server
}

func (e *Entry) change(change func(*Server)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	next := *e.view.Load()
	change(&next)
	next.facts = factsOf(&next)
	e.view.Store(&next)
}

// Begin counts a request of this instance and the prompt tokens that the server
// has to compute for it.
func (e *Entry) Begin(promptTokens int, bulk bool) {
	e.inFlight.Add(1)
	if bulk {
		e.bulk.Add(1)
	}
	e.pending.Add(int64(promptTokens))
}

// EndPrefill takes off the prompt tokens: the first token has come, or never will.
func (e *Entry) EndPrefill(promptTokens int) { e.pending.Add(-int64(promptTokens)) }

// End is the counterpart of Begin.
func (e *Entry) End(bulk bool) {
	e.inFlight.Add(-1)
	if bulk {
		e.bulk.Add(-1)
	}
}

// Bulk returns how many of this instance's requests on the server are bulk.
func (e *Entry) Bulk() int { return int(e.bulk.Load()) }

// BulkLimit returns how many bulk requests of this instance the server may have.
func (e *Entry) BulkLimit() int { return int(e.bulkLimit.Load()) }

// InFlight returns how many requests of this instance the server has.
func (e *Entry) InFlight() int { return int(e.inFlight.Load()) }

// PendingTokens returns the prompt tokens of this instance that wait for their first token.
func (e *Entry) PendingTokens() int { return int(e.pending.Load()) }

// Limit returns how many requests of this instance the server may have.
func (e *Entry) Limit() int { return int(e.limit.Load()) }

// SetLimit replaces the limits of all and of bulk requests.
func (e *Entry) SetLimit(limit, bulk int) {
	e.limit.Store(int64(limit))
	e.bulkLimit.Store(int64(bulk))
}

// SetMeasurements replaces what this instance measured of the server: how long a
// request lasts, and how the time to the first token compares with the expected one.
func (e *Entry) SetMeasurements(duration time.Duration, factor float64) {
	e.change(func(server *Server) {
		server.MeanDuration, server.LatencyFactor = duration, factor
	})
}

// RecordError counts a failed request and returns how many failed in a row.
func (e *Entry) RecordError() int {
	e.change(func(server *Server) { server.Errors++ })
	return e.View().Errors
}

// RecordSuccess notes an answer: the server is no outlier any more.
func (e *Entry) RecordSuccess() {
	if v := e.View(); v.Ejections == 0 && v.Errors == 0 {
		return
	}
	e.change(func(server *Server) { server.Ejections, server.Errors = 0, 0 })
}
