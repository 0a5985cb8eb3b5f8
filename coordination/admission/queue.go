// Package admission decides when a request may be sent to a backend server. Each
// service has a queue with request classes, fair shares of the client accounts and
// strict waiting limits. Each server has a limit of requests in flight that adapts
// to the server's capacity.
//
// The package does no I/O: the time comes in with each call, and a callback
// reports the outcome of a waiting request.
package admission

import (
	"math"
	"sync"
	"time"

	"github.com/basilroute/basilroute/coordination/fairqueue"
	"github.com/basilroute/basilroute/protocol/refusal"
	"github.com/basilroute/basilroute/service"
)

const (
	recentMaxDecay = 30 * time.Second       // time constant of the decay of recentMax
	reserveDivisor = 16                     // one slot in so many is reserved for interactive requests
	minRetryAfter  = 100 * time.Millisecond // minimum Retry-After of a refusal
	shedFactor     = 1.5                    // a waiting request is refused if its expected wait is so many times the time left
)

// Request is a request for a slot.
type Request struct {
	Account string
	Weight  float64 // the account's rate
	Class   service.Class
	Cost    float64   // tokens
	StartBy time.Time // latest time to start
	// OnSettle is called once, with the queue locked, when the request is granted a
	// slot or refused. It must not call the queue.
	OnSettle func(*Ticket)
}

// Ticket is a request in the queue or with a slot.
type Ticket struct {
	Request
	Refusal   *refusal.Refusal // set when refused
	granted   bool
	grantedAt time.Time // when the slot was granted
}

// Share implements fairqueue.Item.
func (t *Ticket) Share() fairqueue.Share {
	return fairqueue.Share{Account: t.Account, Weight: t.Weight, Cost: t.Cost}
}

// Granted reports whether the request was granted a slot.
func (t *Ticket) Granted() bool { return t.granted }

// Settings are the limits of a service.
type Settings struct {
	Queue     int     // maximum number of waiting requests
	BulkFloor float64 // fraction of the slots kept for bulk
}

// class is the state of the waiting and running requests of one class.
type class struct {
	flows    fairqueue.Queue[*Ticket]
	running  int
	holdTime average // how long a request keeps its slot, in seconds
}

// rate returns how many slots the class frees per second when it runs n requests,
// by Little's law, or 0 if no request has ended yet.
func (c *class) rate(n int) float64 {
	if c.holdTime.value <= 0 {
		return 0
	}
	return float64(n) / c.holdTime.value
}

// Queue admits the requests of one service at one instance. It is safe for
// concurrent use.
type Queue struct {
	mu          sync.Mutex
	settings    Settings
	capacity    int
	maxBulk     int // maximum number of slots for bulk
	interactive class
	bulk        class
	floorCredit float64 // grants due to bulk while its floor is less than one slot
	recentMax   float64 // decaying maximum of running and waiting interactive requests
	recentMaxAt time.Time
}

// NewQueue returns a queue without slots.
func NewQueue(settings Settings) *Queue {
	return &Queue{settings: settings}
}

// Configure replaces the settings, the number of slots, and the maximum number of
// them that bulk may use.
func (q *Queue) Configure(settings Settings, capacity, forBulk int, now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.settings, q.capacity, q.maxBulk = settings, capacity, min(forBulk, capacity)
	q.grant(now)
}

func (q *Queue) class(c service.Class) *class {
	if c == service.ClassBulk {
		return &q.bulk
	}
	return &q.interactive
}

// Submit requests a slot. A request that is not expected to start in time is refused
// at once, so that its caller can retry or go elsewhere.
func (q *Queue) Submit(item Request, now time.Time) *Ticket {
	q.mu.Lock()
	defer q.mu.Unlock()
	t := &Ticket{Request: item}
	q.updateRecentMax(now)
	if wait := q.expectedWait(t); now.Add(wait).After(t.StartBy) {
		q.refuse(t, wait-t.StartBy.Sub(now))
		return t
	}
	if q.waiting() >= q.settings.Queue && !q.immediate(t) && !q.displace(t) {
		q.refuse(t, q.expectedWait(t))
		return t
	}
	q.class(t.Class).flows.Push(t)
	q.grant(now)
	return t
}

// immediate reports whether the request can start at once.
func (q *Queue) immediate(t *Ticket) bool {
	return q.class(t.Class).flows.Len() == 0 && q.free(t.Class)
}

// Release returns the slot of a granted request.
func (q *Queue) Release(t *Ticket, now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	c := q.class(t.Class)
	c.running--
	c.holdTime.add(now.Sub(t.grantedAt).Seconds())
	q.updateRecentMax(now)
	q.grant(now)
}

// Cancel removes a waiting request whose caller has disconnected or whose StartBy
// has passed. It returns false if the request holds a slot, which then has to be
// released.
func (q *Queue) Cancel(t *Ticket, now time.Time) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if t.granted {
		return false
	}
	if t.Refusal != nil {
		return true
	}
	wait := q.expectedWait(t)
	q.class(t.Class).flows.Remove(t)
	q.refuse(t, wait)
	return true
}

// Shed refuses waiting requests that are no longer expected to start in time, because
// slots were lost or requests take longer than before.
func (q *Queue) Shed(now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, c := range []*class{&q.interactive, &q.bulk} {
		for _, f := range c.flows.Flows() {
			q.shedFlow(c, f, now)
		}
	}
}

func (q *Queue) shedFlow(c *class, f *fairqueue.Flow[*Ticket], now time.Time) {
	for len(f.Items) > 0 {
		last := f.Items[len(f.Items)-1]
		wait := q.remainingWait(c, f, len(f.Items)-1)
		left := last.StartBy.Sub(now)
		if left > 0 && wait.Seconds() <= shedFactor*left.Seconds() {
			return
		}
		c.flows.Remove(last)
		q.refuse(last, wait-left)
	}
}

// Stats is the state of a queue.
type Stats struct {
	Capacity, Running, Waiting int
	Interactive, Bulk          ClassStats
}

// ClassStats is the state of a class.
type ClassStats struct {
	Waiting       int
	FreeSlots     int           // that the class may still use
	ExpectedWait  time.Duration // of a request of an account without waiting requests
	AcceptsRemote bool          // requests from other failure domains are accepted
}

// remoteReserveDivisor sets the fraction of the slots (one in so many) that has to be free for
// a class to accept requests from other failure domains. The last free slots are left to the
// local domain's callers.
const remoteReserveDivisor = 8

// Stats returns the current state.
func (q *Queue) Stats() Stats {
	q.mu.Lock()
	defer q.mu.Unlock()
	interactive := q.capacity - q.interactive.running - min(q.bulk.running, q.floorSlots())
	bulk := min(q.capacity-q.running(), q.bulkCeiling()-q.bulk.running)
	return Stats{
		Capacity: q.capacity, Running: q.running(), Waiting: q.waiting(),
		Interactive: q.classStats(service.ClassInteractive, interactive),
		Bulk:        q.classStats(service.ClassBulk, bulk),
	}
}

func (q *Queue) classStats(of service.Class, freeSlots int) ClassStats {
	c := q.class(of)
	freeSlots = max(freeSlots, 0)
	probe := &Ticket{Request: Request{Class: of, Weight: c.flows.MeanWeight()}}
	return ClassStats{
		Waiting: c.flows.Len(), FreeSlots: freeSlots, ExpectedWait: q.expectedWait(probe),
		AcceptsRemote: c.flows.Len() == 0 && freeSlots > 0 && freeSlots*remoteReserveDivisor >= q.capacity,
	}
}

func (q *Queue) running() int { return q.interactive.running + q.bulk.running }
func (q *Queue) waiting() int { return q.interactive.flows.Len() + q.bulk.flows.Len() }

// refuse settles the ticket with a refusal. retryAfter is when a retry is expected to start
// in time.
func (q *Queue) refuse(t *Ticket, retryAfter time.Duration) {
	t.Refusal = refusal.New(refusal.CodeOverloaded, "the queue of the service is too long for this request").
		WithRetryAfter(max(retryAfter, minRetryAfter))
	t.settle()
}

func (t *Ticket) settle() {
	if t.OnSettle != nil {
		t.OnSettle(t)
	}
}

// grant assigns free slots to waiting requests.
func (q *Queue) grant(now time.Time) {
	for {
		c := q.next()
		if c == nil {
			return
		}
		t := c.flows.Pop()
		if now.After(t.StartBy) {
			q.refuse(t, 0)
			continue
		}
		t.granted, t.grantedAt = true, now
		c.running++
		q.updateFloorCredit(c)
		t.settle()
	}
}

// next returns the class whose request starts next, or nil if none can start.
func (q *Queue) next() *class {
	bulkWaits := q.bulk.flows.Len() > 0
	if bulkWaits && q.running() < q.capacity && q.bulkDue() {
		return &q.bulk
	}
	if q.interactive.flows.Len() > 0 && q.free(service.ClassInteractive) {
		return &q.interactive
	}
	if bulkWaits && q.free(service.ClassBulk) {
		return &q.bulk
	}
	return nil
}

// bulkDue reports whether bulk has less than its floor. With few slots the floor is
// less than one slot; it then applies as a fraction of the grants.
func (q *Queue) bulkDue() bool {
	if slots := q.floorSlots(); slots > 0 {
		return q.bulk.running < slots
	}
	return q.floorCredit >= 1
}

func (q *Queue) floorSlots() int { return int(q.settings.BulkFloor * float64(q.capacity)) }

func (q *Queue) updateFloorCredit(c *class) {
	if c == &q.bulk {
		q.floorCredit = max(q.floorCredit-1, 0)
		return
	}
	if q.bulk.flows.Len() > 0 {
		q.floorCredit += q.settings.BulkFloor
	}
}

// free reports whether a request of the class may take a slot now. Bulk beyond its
// floor does not count against interactive requests: servers prefer them by priority,
// and they would only wait longer here, for a long bulk request to end.
func (q *Queue) free(c service.Class) bool {
	if c == service.ClassBulk {
		return q.running() < q.capacity && q.bulk.running < q.bulkCeiling()
	}
	return q.interactive.running+min(q.bulk.running, q.floorSlots()) < q.capacity
}

// bulkCeiling returns how many slots bulk may hold. Without this bound bulk would
// take every slot, and an interactive request would wait for a long bulk request to
// end: its p99 would be that of bulk. Enough slots for the recent maximum of
// interactive requests stay free, but bulk keeps its floor.
func (q *Queue) bulkCeiling() int {
	reserve := int(math.Ceil(q.recentMax)) + 1 + q.capacity/reserveDivisor
	return max(min(q.capacity-reserve, q.maxBulk), q.floorSlots(), min(q.capacity, 1))
}

func (q *Queue) updateRecentMax(now time.Time) {
	if !q.recentMaxAt.IsZero() {
		q.recentMax *= math.Exp(-now.Sub(q.recentMaxAt).Seconds() / recentMaxDecay.Seconds())
	}
	q.recentMaxAt = now
	q.recentMax = max(q.recentMax, float64(q.interactive.running+q.interactive.flows.Len()))
}

// displace makes room in the queue by refusing the newest request of the account that has
// the largest backlog for its weight. Interactive requests displace bulk first. Without it an account far beyond its share would fill
// the queue, and accounts within their shares would be refused. It reports whether
// there is room.
func (q *Queue) displace(t *Ticket) bool {
	c := q.class(t.Class)
	if t.Class == service.ClassInteractive && q.bulk.flows.Len() > 0 {
		c = &q.bulk
	}
	longest := c.flows.LongestBacklog()
	if longest == nil || (c == q.class(t.Class) && longest.BacklogWith(0) <= c.flows.BacklogOf(t.Share())) {
		return false
	}
	victim := longest.Items[len(longest.Items)-1]
	wait := q.remainingWait(c, longest, len(longest.Items)-1)
	c.flows.Remove(victim)
	q.refuse(victim, wait)
	return true
}
