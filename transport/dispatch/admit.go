package dispatch

import (
	"context"
	"sync"
	"time"

	"github.com/basilroute/basilroute/coordination/admission"
	"github.com/basilroute/basilroute/protocol/refusal"
	"github.com/basilroute/basilroute/service"
	"github.com/basilroute/basilroute/state/servers"
)

// Admission holds an admission queue for each service and a concurrency limiter for each
// server of the local failure domain. It is safe for concurrent use.
type Admission struct {
	Ending *Ending // may be nil

	servers *servers.Table

	mu       sync.Mutex
	queues   map[string]*admission.Queue
	limiters map[*servers.Entry]*admission.Limiter
}

// NewAdmission returns the admission for the servers of a table.
func NewAdmission(table *servers.Table) *Admission {
	return &Admission{
		servers:  table,
		queues:   make(map[string]*admission.Queue),
		limiters: make(map[*servers.Entry]*admission.Limiter),
	}
}

func queueSettings(s *service.Service) admission.Settings {
	return admission.Settings{Queue: int(s.Limits.Queue), BulkFloor: s.Classes.Bulk.Floor}
}

func (a *Admission) queue(s *service.Service) *admission.Queue {
	a.mu.Lock()
	defer a.mu.Unlock()
	q := a.queues[s.Name]
	if q == nil {
		q = admission.NewQueue(queueSettings(s))
		a.queues[s.Name] = q
	}
	return q
}

// refresh sets the capacity of the queue to the limits of the servers that are usable now.
func (a *Admission) refresh(s *service.Service, q *admission.Queue, now time.Time) {
	capacity, forBulk := 0, 0
	for _, e := range a.servers.Entries(s.Name) {
		if v := e.View(); v.Usable() && !v.Ejected(now) && s.AllowsVersion(v.Version) {
			capacity += e.Limit()
			forBulk += e.BulkLimit()
		}
	}
	q.Configure(queueSettings(s), capacity, forBulk, now)
}

// Refresh applies the current state of the service's servers, and refuses queued requests
// that cannot start in time any more.
func (a *Admission) Refresh(s *service.Service, now time.Time) {
	q := a.queue(s)
	a.refresh(s, q, now)
	q.Shed(now)
}

// Stats returns the state of the service's queue.
func (a *Admission) Stats(s *service.Service) admission.Stats { return a.queue(s).Stats() }

// PruneLimiters removes the limiters of servers that are no longer in the table.
func (a *Admission) PruneLimiters() {
	a.mu.Lock()
	defer a.mu.Unlock()
	for e := range a.limiters {
		v := e.View()
		if a.servers.Entry(v.Service, v.ID) != e {
			delete(a.limiters, e)
		}
	}
}

// updateLimit applies a change to a server's limiter and sets the resulting limit.
func (a *Admission) updateLimit(e *servers.Entry, s *service.Service, change func(l *admission.Limiter, ceiling int)) {
	a.mu.Lock()
	defer a.mu.Unlock()
	l := a.limiters[e]
	if l == nil {
		l = admission.NewLimiter()
		a.limiters[e] = l
	}
	ceiling := int(s.Limits.Concurrency)
	change(l, ceiling)
	e.SetLimit(l.Limit(ceiling))
}

// ApplyReport applies a server's load report.
func (a *Admission) ApplyReport(e *servers.Entry, s *service.Service, now time.Time) {
	load := &e.View().Load
	a.updateLimit(e, s, func(l *admission.Limiter, _ int) {
		l.ApplyReport(admission.LoadReport{BootID: load.BootID, Running: load.Running, Waiting: load.Waiting, BulkInFlight: e.Bulk()}, now)
	})
}

func (a *Admission) addSample(e *servers.Entry, s *service.Service, answer admission.Sample, now time.Time) {
	a.updateLimit(e, s, func(l *admission.Limiter, ceiling int) { l.AddSample(answer, ceiling, now) })
}

// acquire waits for a slot. The caller has to call release to return the slot.
func (a *Admission) acquire(ctx context.Context, w *Work, s *service.Service, weight float64) (release func(), refused *refusal.Refusal) {
	now := time.Now()
	q := a.queue(s)
	a.refresh(s, q, now)
	decided := make(chan struct{})
	t := q.Submit(admission.Request{
		Account: w.Account, Weight: weight, Class: w.Class, Cost: w.Cost(s),
		StartBy:  earlier(now.Add(w.MaxWait), w.Deadline),
		OnSettle: func(*admission.Ticket) { close(decided) },
	}, now)
	if timedOut := await(ctx, decided, t.StartBy); timedOut && q.Cancel(t, time.Now()) {
		return nil, cancelRefusal(ctx, t)
	}
	if !t.Granted() {
		return nil, t.Refusal
	}
	release = func() {
		now := time.Now()
		a.refresh(s, q, now)
		q.Release(t, now)
	}
	if refused = a.Ending.check(w); refused != nil { // the instance began to leave while the work waited
		release()
		return nil, refused
	}
	return release, nil
}

// await waits until the ticket is decided. It returns true if the caller disconnected or
// the latest start time passed first.
func await(ctx context.Context, decided <-chan struct{}, start time.Time) bool {
	select {
	case <-decided:
		return false
	default:
	}
	timer := time.NewTimer(time.Until(start))
	defer timer.Stop()
	select {
	case <-decided:
		return false
	case <-ctx.Done():
	case <-timer.C:
	}
	return true
}

func cancelRefusal(ctx context.Context, t *admission.Ticket) *refusal.Refusal {
	if ctx.Err() != nil {
		return refusal.New(refusal.CodeDeadline, "the request ended while it waited")
	}
	return t.Refusal
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
