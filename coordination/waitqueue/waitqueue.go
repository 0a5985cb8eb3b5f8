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
// A request that has become late starts with what these leave over.
//
// Callers that return after a refusal do not return again, so that a share of the starts is kept for
// them. As many are told to return as that share serves. The others are told a longer time than they
// keep; when they return all the same, they come after those that return as told.
//
// The package does no I/O: the time is passed to each call. A Queue is not safe for concurrent use.
package waitqueue

import (
	"iter"
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
	// expireFactor is how many times the time that a waiting request has left its expected wait
	// may be: the rate of starts varies.
	expireFactor = 1.5
)

// Settings bounds a queue.
type Settings struct {
	MaxWaiting  int     // requests
	MaxBytes    int     // bodies of all waiting requests
	RetryJitter float64 // fraction by which Retry-After is extended at random
}

// Request is a request that no server takes now.
type Request struct {
	Account  string
	Weight   float64   // the account's rate; 0 for an account without one
	Cost     float64   // tokens
	Bytes    int       // size of the body
	OnTime   time.Time // latest start for a response that is on time
	Latest   time.Time // latest start that the caller waits for
	Returned bool      // the caller was refused before, and returns at the time that it was told
	// ReturnFrom and ReturnUntil bound when the caller may return after a refusal so that Returned is
	// set then. They are zero if the caller does not tell how long it waits.
	ReturnFrom, ReturnUntil time.Time
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
	returned   fairqueue.Queue[*Ticket[T]] // late requests whose callers return as told
	late       fairqueue.Queue[*Ticket[T]] // other late ones
	bytes      int
	starts     meter     // requests that started, whether they waited or not
	demand     meter     // requests that arrived and could be on time
	lateCredit float64   // starts due to late requests while others wait
	nextReturn time.Time // when the next refused caller may return
	flow       Flow
	nextStart  time.Time // when this instance's share allows the next start
	turn       int       // of the accounts that are tried when the first in line cannot be placed
}

// New returns an empty queue.
func New[T any](settings Settings) *Queue[T] { return &Queue[T]{settings: settings} }

// Len returns the number of waiting requests.
func (q *Queue[T]) Len() int { return q.onTime.Len() + q.LateLen() }

// LateLen returns the number of waiting requests that cannot be on time.
func (q *Queue[T]) LateLen() int { return q.returned.Len() + q.late.Len() }

// queueOf returns the queue in which a request waits.
func (q *Queue[T]) queueOf(t *Ticket[T]) *fairqueue.Queue[*Ticket[T]] {
	switch {
	case !t.Late:
		return &q.onTime
	case t.Returned:
		return &q.returned
	}
	return &q.late
}

// RecordStart counts a request that started without waiting.
func (q *Queue[T]) RecordStart(now time.Time) {
	q.demand.add(now)
	q.starts.add(now)
}

// Join lets a request wait, or refuses it. In a full queue it takes the places of requests of the
// account with the largest backlog, which are refused.
func (q *Queue[T]) Join(r Request, value T, now time.Time) (*Ticket[T], []Refused[T], *Refusal) {
	if !now.After(r.OnTime) {
		q.demand.add(now)
	}
	t := &Ticket[T]{Request: r, Value: value, Joined: now}
	switch {
	case !now.Add(q.onTimeWait(t, now)).After(r.OnTime):
	case !now.Add(q.lateWait(t, now)).After(r.Latest):
		t.Late = true
	default:
		return nil, nil, q.refuse(t, ReasonTooLate, now)
	}
	displaced := q.displace(t, now)
	if !q.fits(t) {
		return nil, displaced, q.refuse(t, ReasonFull, now)
	}
	q.queueOf(t).Push(t)
	q.bytes += r.Bytes
	return t, displaced, nil
}

func (q *Queue[T]) fits(t *Ticket[T]) bool {
	return q.Len() < q.settings.MaxWaiting && q.bytes+t.Bytes <= q.settings.MaxBytes
}

// displace refuses the newest requests of accounts with larger backlogs until a request fits.
func (q *Queue[T]) displace(t *Ticket[T], now time.Time) []Refused[T] {
	var out []Refused[T]
	queue := q.queueOf(t)
	for t.Bytes <= q.settings.MaxBytes && !q.fits(t) {
		longest := queue.LongestBacklog()
		if longest == nil || longest.BacklogWith(0) <= queue.BacklogOf(t.Share()) {
			break
		}
		newest := longest.Items[len(longest.Items)-1]
		q.Leave(newest)
		out = append(out, Refused[T]{newest, *q.refuse(newest, ReasonFull, now)})
	}
	return out
}

// onTimeWait returns how long a request is expected to wait among those that can be on time.
func (q *Queue[T]) onTimeWait(t *Ticket[T], now time.Time) time.Duration {
	return waitFor(q.onTime.Ahead(t.Share())+1, q.startRate(now))
}

// lateWait returns how long a late request is expected to wait. Late ones get what those that can be
// on time leave over, and those that return a share in any case: first those that return as told.
func (q *Queue[T]) lateWait(t *Ticket[T], now time.Time) time.Duration {
	rate := q.startRate(now)
	ahead := q.returned.Ahead(t.Share()) + 1
	if !t.Returned {
		ahead = float64(q.returned.Len()) + q.late.Ahead(t.Share()) + 1
	}
	wait := waitFor(float64(q.onTime.Len())+ahead, rate-q.demand.rate(now))
	if t.Returned || t.Joined.After(t.OnTime) {
		wait = min(wait, waitFor(ahead, returnShare*rate))
	}
	return wait
}

// startRate returns the expected rate of starts: this instance's share of the region's, or what it starts
// beyond that.
func (q *Queue[T]) startRate(now time.Time) float64 {
	return max(q.starts.rate(now), q.flow.share(), minStartRate)
}

// Heads returns up to n requests to be tried in order: the one that is to start next, and first ones of
// other accounts in case that it cannot be placed. These take turns from call to call.
func (q *Queue[T]) Heads(n int) iter.Seq[*Ticket[T]] {
	return func(yield func(*Ticket[T]) bool) {
		first := q.first()
		if first == nil || !yield(first) {
			return
		}
		others := slices.Concat(headsExcept(&q.onTime, first), headsExcept(&q.returned, first), headsExcept(&q.late, first))
		for range min(n-1, len(others)) {
			q.turn++
			if !yield(others[q.turn%len(others)]) {
				return
			}
		}
	}
}

// first returns the request that is to start next, or nil if none waits.
func (q *Queue[T]) first() *Ticket[T] {
	order := []*fairqueue.Queue[*Ticket[T]]{&q.onTime, &q.returned, &q.late}
	if q.lateCredit >= 1 {
		order = []*fairqueue.Queue[*Ticket[T]]{&q.returned, &q.late, &q.onTime}
	}
	for _, queue := range order {
		if queue.Len() > 0 {
			return queue.Peek()
		}
	}
	return nil
}

func headsExcept[T any](q *fairqueue.Queue[*Ticket[T]], first *Ticket[T]) []*Ticket[T] {
	var out []*Ticket[T]
	for _, f := range q.Flows() {
		if f.Items[0] != first {
			out = append(out, f.Items[0])
		}
	}
	return out
}

// Start removes a request that starts now.
func (q *Queue[T]) Start(t *Ticket[T], now time.Time) {
	switch {
	case t.Late:
		q.lateCredit = max(q.lateCredit-1, 0)
	case q.LateLen() > 0:
		q.lateCredit = min(q.lateCredit+returnShare, 1)
	}
	q.queueOf(t).Take(t)
	q.bytes -= t.Bytes
	q.starts.add(now)
}

// Leave removes a request whose caller waits no longer. It reports whether the request was waiting.
func (q *Queue[T]) Leave(t *Ticket[T]) bool {
	if !q.queueOf(t).Remove(t) {
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
	rate := q.startRate(now)
	for _, t := range tooSlow(&q.onTime, rate, func(t *Ticket[T]) time.Duration { return t.OnTime.Sub(now) }) {
		q.onTime.Remove(t)
		t.Late = true
		if now.Add(q.lateWait(t, now)).After(t.Latest) {
			q.bytes -= t.Bytes
			out = append(out, Refused[T]{t, *q.refuse(t, ReasonTooLate, now)})
			continue
		}
		q.queueOf(t).Push(t)
	}
	untilLatest := func(t *Ticket[T]) time.Duration { return t.Latest.Sub(now) }
	for _, t := range append(tooSlow(&q.returned, rate, untilLatest), tooSlow(&q.late, rate, untilLatest)...) {
		q.Leave(t)
		out = append(out, Refused[T]{t, *q.refuse(t, ReasonTooLate, now)})
	}
	return out
}

// tooSlow returns the requests that start too late although all starts go to this queue. An
// account's requests are checked from its last one on, up to the first that may start in time.
func tooSlow[T any](q *fairqueue.Queue[*Ticket[T]], rate float64, left func(*Ticket[T]) time.Duration) []*Ticket[T] {
	var out []*Ticket[T]
	for _, last := range q.LastItems() {
		f, n, ahead := last.Flow, len(last.Flow.Items), last.Ahead
		for exceeds(waitFor(ahead+1, rate), left(f.Items[n-1])) {
			if n--; n == 0 {
				break
			}
			ahead = q.AheadOf(f, n-1)
		}
		out = append(out, f.Items[n:]...)
		for _, t := range f.Items[:n] {
			if left(t) < 0 {
				out = append(out, t)
			}
		}
	}
	return out
}

// exceeds reports whether an expected wait exceeds the time that is left.
func exceeds(wait, left time.Duration) bool {
	return left < 0 || wait.Seconds() > expireFactor*left.Seconds()
}

// Drain removes all waiting requests.
func (q *Queue[T]) Drain() []*Ticket[T] { return q.DrainFunc(func(T) bool { return true }) }

// DrainFunc removes the waiting requests for which remove returns true.
func (q *Queue[T]) DrainFunc(remove func(T) bool) []*Ticket[T] {
	var all []*Ticket[T]
	for _, queue := range []*fairqueue.Queue[*Ticket[T]]{&q.onTime, &q.returned, &q.late} {
		for _, f := range queue.Flows() {
			all = append(all, f.Items...)
		}
	}
	all = slices.DeleteFunc(all, func(t *Ticket[T]) bool { return !remove(t.Value) })
	for _, t := range all {
		q.Leave(t)
	}
	return all
}
