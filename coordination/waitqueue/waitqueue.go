// Package waitqueue decides which requests of one service wait at one instance for a slot of a
// backend server, in which order they start, and when a refused caller may return.
//
// # Workload
//
// A burst brings twice as many patient requests as the servers can run. Each of them holds its slot
// for seconds, its caller waits for some seconds for the first event, and a refused caller returns
// once. If each request that finds no slot is refused, slots that are freed go to whoever arrives in
// that moment, and callers that return meet the same full servers.
//
// So requests wait that are expected to start while their response can still be on time; the others
// are refused at once. Those that can be on time start first, fair between accounts by their rates.
// A request that has become late starts with what these leave over; it is refused as soon as that
// cannot be expected. Callers that return after a refusal do not return again, so that a share of the
// starts is kept for them.
//
// The package does no I/O: the time is passed to each call. A Queue is not safe for concurrent use.
package waitqueue

import (
	"slices"
	"time"

	"github.com/basilroute/basilroute/coordination/fairqueue"
)

const (
	// returnShare is the share of the starts that is kept for late requests while others wait.
	// With a larger one, callers that come for the first time become late for those that return.
	returnShare = 0.125
	// minStartRate is the lowest expected rate of starts per second: that of an instance that has
	// started nothing yet.
	minStartRate = 1.0
)

// Settings bounds a queue.
type Settings struct {
	MaxWaiting int // requests
	MaxBytes   int // bodies of all waiting requests
}

// Request is a request that no server takes now.
type Request struct {
	Account  string
	Weight   float64   // the account's rate; 0 for an account without one
	Cost     float64   // tokens
	Bytes    int       // size of the body
	OnTime   time.Time // latest start for a response that is on time
	Latest   time.Time // latest start that the caller waits for
	Returned bool      // the caller was refused before
}

// Reason is the reason for a refusal.
type Reason string

// Reasons for a refusal.
const (
	ReasonTooLate Reason = "too_late" // it is not expected to start in time
	ReasonFull    Reason = "full"     // the queue has reached its bounds
)

// Refusal says why a request does not wait.
type Refusal struct {
	Reason     Reason
	RetryAfter time.Duration // after which a request like this is expected to start
}

// Ticket is a waiting request.
type Ticket[T any] struct {
	Request
	Value  T
	Joined time.Time
	Late   bool // it cannot be on time any more
}

// Share implements fairqueue.Item.
func (t *Ticket[T]) Share() fairqueue.Share {
	return fairqueue.Share{Account: t.Account, Weight: t.Weight, Cost: t.Cost}
}

// Queue holds the waiting requests of one service. T is what the caller keeps with each of them.
type Queue[T any] struct {
	settings   Settings
	onTime     fairqueue.Queue[*Ticket[T]]
	late       fairqueue.Queue[*Ticket[T]]
	bytes      int
	starts     meter     // requests that started, whether they waited or not
	demand     meter     // requests that arrived and could be on time
	lateCredit float64   // starts due to late requests while others wait
	nextReturn time.Time // when the next refused caller may return
	flow       Flow
	nextStart  time.Time // when this instance's share allows the next start
}

// New returns an empty queue.
func New[T any](settings Settings) *Queue[T] { return &Queue[T]{settings: settings} }

// Len returns the number of waiting requests.
func (q *Queue[T]) Len() int { return q.onTime.Len() + q.late.Len() }

// LateLen returns the number of waiting requests that cannot be on time.
func (q *Queue[T]) LateLen() int { return q.late.Len() }

// RecordStart counts a request that started without waiting.
func (q *Queue[T]) RecordStart(now time.Time) {
	q.demand.add(now)
	q.starts.add(now)
}

// Join lets a request wait, or refuses it.
func (q *Queue[T]) Join(r Request, value T, now time.Time) (*Ticket[T], *Refusal) {
	q.demand.add(now)
	t := &Ticket[T]{Request: r, Value: value, Joined: now}
	switch {
	case q.Len() >= q.settings.MaxWaiting || q.bytes+r.Bytes > q.settings.MaxBytes:
		return nil, q.refuse(t, ReasonFull, now)
	case !now.Add(q.onTimeWait(t, now)).After(r.OnTime):
		q.onTime.Push(t)
	case !now.Add(q.lateWait(t, now)).After(r.Latest):
		t.Late = true
		q.late.Push(t)
	default:
		return nil, q.refuse(t, ReasonTooLate, now)
	}
	q.bytes += r.Bytes
	return t, nil
}

// onTimeWait returns how long a request is expected to wait among those that can be on time.
func (q *Queue[T]) onTimeWait(t *Ticket[T], now time.Time) time.Duration {
	return waitFor(q.onTime.Ahead(t.Share())+1, q.startRate(now))
}

// lateWait returns how long a late request is expected to wait. Late ones get what those that can be
// on time leave over, and those that do not return again a share in any case.
func (q *Queue[T]) lateWait(t *Ticket[T], now time.Time) time.Duration {
	ahead := q.late.Ahead(t.Share()) + 1
	rate := q.startRate(now)
	spare := rate - q.demand.rate(now)
	if kept := returnShare * rate; t.Returned && kept > spare {
		return waitFor(ahead, kept)
	}
	return waitFor(float64(q.onTime.Len())+ahead, spare)
}

// startRate returns the expected rate of starts: this instance's share of the region's, or what it starts
// beyond that.
func (q *Queue[T]) startRate(now time.Time) float64 {
	return max(q.starts.rate(now), q.flow.share(), minStartRate)
}

// Heads returns the requests that may start next, in order: the first one of each account.
func (q *Queue[T]) Heads() []*Ticket[T] {
	onTime, late := heads(&q.onTime), heads(&q.late)
	if q.lateCredit >= 1 {
		return append(late, onTime...)
	}
	return append(onTime, late...)
}

func heads[T any](q *fairqueue.Queue[*Ticket[T]]) []*Ticket[T] {
	if q.Len() == 0 {
		return nil
	}
	first := q.Peek()
	out := []*Ticket[T]{first}
	for _, f := range q.Flows() {
		if f.Items[0] != first {
			out = append(out, f.Items[0])
		}
	}
	return out
}

// Start removes a request that starts now.
func (q *Queue[T]) Start(t *Ticket[T], now time.Time) {
	if t.Late {
		q.lateCredit = max(q.lateCredit-1, 0)
		q.late.Take(t)
	} else {
		if q.late.Len() > 0 {
			q.lateCredit += returnShare
		}
		q.onTime.Take(t)
	}
	q.bytes -= t.Bytes
	q.starts.add(now)
}

// Leave removes a request whose caller waits no longer. It reports whether the request was waiting.
func (q *Queue[T]) Leave(t *Ticket[T]) bool {
	queue := &q.onTime
	if t.Late {
		queue = &q.late
	}
	if !queue.Remove(t) {
		return false
	}
	q.bytes -= t.Bytes
	return true
}

// Refused is a waiting request that is refused.
type Refused[T any] struct {
	*Ticket[T]
	Refusal
}

// Expire returns the waiting requests that are to be refused now: those that are not expected to
// start in time any more.
func (q *Queue[T]) Expire(now time.Time) []Refused[T] {
	var out []Refused[T]
	for _, t := range expired(&q.onTime, func(t *Ticket[T]) bool { return now.After(t.OnTime) }) {
		q.onTime.Remove(t)
		t.Late = true
		if now.Add(q.lateWait(t, now)).After(t.Latest) {
			q.bytes -= t.Bytes
			out = append(out, Refused[T]{t, *q.refuse(t, ReasonTooLate, now)})
			continue
		}
		q.late.Push(t)
	}
	for _, t := range expired(&q.late, func(t *Ticket[T]) bool { return now.After(t.Latest) }) {
		q.Leave(t)
		out = append(out, Refused[T]{t, *q.refuse(t, ReasonTooLate, now)})
	}
	return out
}

func expired[T any](q *fairqueue.Queue[*Ticket[T]], isExpired func(*Ticket[T]) bool) []*Ticket[T] {
	var out []*Ticket[T]
	for _, f := range q.Flows() {
		for _, t := range f.Items {
			if isExpired(t) {
				out = append(out, t)
			}
		}
	}
	return slices.Clip(out)
}

// Drain removes all waiting requests.
func (q *Queue[T]) Drain() []*Ticket[T] {
	all := append(expired(&q.onTime, always[T]), expired(&q.late, always[T])...)
	for _, t := range all {
		q.Leave(t)
	}
	return all
}

func always[T any](*Ticket[T]) bool { return true }
