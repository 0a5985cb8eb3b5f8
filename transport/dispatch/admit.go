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

// Admission holds a queue for each service and a limiter for each server of the
// own failure domain, and waits in the queues. It is safe for concurrent use.
type Admission struct {
	servers *servers.Table

	mu       sync.Mutex
	queues   map[string]*admission.Queue
	limiters map[*servers.Entry]*admission.Limiter
}

// NewAdmission returns admission to the servers of a table.
func NewAdmission(table *servers.Table) *Admission {
	return &Admission{
		servers:  table,
		queues:   make(map[string]*admission.Queue),
		limiters: make(map[*servers.Entry]*admission.Limiter),
	}
}

func settingsOf(s *service.Service) admission.Settings {
	return admission.Settings{Queue: int(s.Limits.Queue), BulkFloor: s.Classes.Bulk.Floor}
}

func (a *Admission) queue(s *service.Service) *admission.Queue {
	a.mu.Lock()
	defer a.mu.Unlock()
	q := a.queues[s.Name]
	if q == nil {
		q = admission.NewQueue(settingsOf(s))
		a.queues[s.Name] = q
	}
	return q
}

// refresh tells the queue how many slots the service's servers have now.
func (a *Admission) refresh(s *service.Service, q *admission.Queue, now time.Time) {
	capacity, forBulk := 0, 0
	for _, e := range a.servers.Entries(s.Name) {
		if v := e.View(); v.Usable() && !v.Ejected(now) && s.AllowsVersion(v.Version) {
			capacity += e.Limit()
			forBulk += e.BulkLimit()
		}
	}
	q.Configure(settingsOf(s), capacity, forBulk, now)
}

// Refresh takes in what became of the service's servers, and refuses requests
// that will not start in time any more.
func (a *Admission) Refresh(s *service.Service, now time.Time) {
	q := a.queue(s)
	a.refresh(s, q, now)
	q.Shed(now)
}

// Stats tells how the service's queue stands.
func (a *Admission) Stats(s *service.Service) admission.Stats { return a.queue(s).Stats() }

// PruneLimiters drops the limiters of servers that are no longer known.
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

// limit changes a server's limiter and puts its limit in force.
func (a *Admission) limit(e *servers.Entry, s *service.Service, change func(l *admission.Limiter, ceiling int)) {
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

// ApplyReport takes in a server's report.
func (a *Admission) ApplyReport(e *servers.Entry, s *service.Service, now time.Time) {
	load := &e.View().Load
	a.limit(e, s, func(l *admission.Limiter, _ int) {
		l.ApplyReport(admission.LoadReport{BootID: load.BootID, Running: load.Running, Waiting: load.Waiting, BulkInFlight: e.Bulk()}, now)
	})
}

func (a *Admission) answered(e *servers.Entry, s *service.Service, answer admission.Sample, now time.Time) {
	a.limit(e, s, func(l *admission.Limiter, ceiling int) { l.AddSample(answer, ceiling, now) })
}

// acquire waits for a slot. The slot has to be given back with release.
func (a *Admission) acquire(ctx context.Context, w *Work, s *service.Service, weight float64) (release func(), refused *refusal.Refusal) {
	now := time.Now()
	q := a.queue(s)
	a.refresh(s, q, now)
	settled := make(chan struct{})
	t := q.Submit(admission.Request{
		Account: w.Account, Weight: weight, Class: w.Class, Cost: w.Cost(s),
		StartBy:  earlier(now.Add(w.MaxWait), w.Deadline),
		OnSettle: func(*admission.Ticket) { close(settled) },
	}, now)
	if gone := await(ctx, settled, t.StartBy); gone && q.Cancel(t, time.Now()) {
		return nil, left(ctx, t)
	}
	if !t.Granted() {
		return nil, t.Refusal
	}
	return func() {
		now := time.Now()
		a.refresh(s, q, now)
		q.Release(t, now)
	}, nil
}

// await waits until the ticket is settled. It tells whether the caller went away
// or the latest start passed before.
func await(ctx context.Context, settled <-chan struct{}, start time.Time) bool {
	select {
	case <-settled:
		return false
	default:
	}
	timer := time.NewTimer(time.Until(start))
	defer timer.Stop()
	select {
	case <-settled:
		return false
	case <-ctx.Done():
	case <-timer.C:
	}
	return true
}

func left(ctx context.Context, t *admission.Ticket) *refusal.Refusal {
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
