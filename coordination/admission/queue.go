// Package admission decides when a request may go to a backend server: a queue
// for each service with classes, fair shares of the client accounts and strict
// waiting limits, and a limit of requests in flight for each server that adapts
// to what the server can take.
//
// The package does no I/O: the time comes in with each call, and what becomes
// of a waiting request is told by its callback.
package admission

import (
	"math"
	"sync"
	"time"

	"github.com/basilroute/basilroute/protocol/refusal"
	"github.com/basilroute/basilroute/service"
)

const (
	peakDecay    = 30 * time.Second       // how long a peak of interactive requests is remembered
	reserveShare = 16                     // one slot in so many is kept free for interactive requests
	minComeBack  = 100 * time.Millisecond // smallest time to come back that a refusal names
	shedSlack    = 1.5                    // a waiting request is given up when its expected wait is so much too long
)

// Request is a request that asks for a slot.
type Request struct {
	Account string
	Weight  float64 // the account's rate
	Class   service.Class
	Cost    float64   // tokens
	StartBy time.Time // latest time to start
	// OnSettle is called once, with the queue locked, when the request has got
	// its slot or is refused. It must not call the queue.
	OnSettle func(*Ticket)
}

// Ticket is a request in the queue or with a slot.
type Ticket struct {
	Request
	Refusal *refusal.Refusal // set when refused
	granted bool
	begun   time.Time // when the slot was granted
}

// Granted tells whether the request got a slot.
func (t *Ticket) Granted() bool { return t.granted }

// Settings are the service's bounds.
type Settings struct {
	Queue     int     // requests waiting
	BulkFloor float64 // share of the slots kept for bulk
}

// class is the waiting and running requests of one class.
type class struct {
	flows   flows
	running int
	hold    average // how long a request keeps its slot, in seconds
}

// rate returns how many slots the class frees in a second when it runs n
// requests, by Little's law, or 0 when no request has ended yet.
func (c *class) rate(n int) float64 {
	if c.hold.value <= 0 {
		return 0
	}
	return float64(n) / c.hold.value
}

// Queue admits the requests of one service at one instance. It is safe for
// concurrent use.
type Queue struct {
	mu          sync.Mutex
	settings    Settings
	capacity    int
	forBulk     int // slots that bulk may use at most
	interactive class
	bulk        class
	floorCredit float64 // grants due to bulk when the floor is less than a slot
	peak        float64 // of interactive requests, decaying
	peakAt      time.Time
}

// NewQueue returns a queue without slots.
func NewQueue(settings Settings) *Queue {
	return &Queue{settings: settings}
}

// Configure replaces the settings, the number of slots, and how many of them
// bulk may use at most.
func (q *Queue) Configure(settings Settings, capacity, forBulk int, now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.settings, q.capacity, q.forBulk = settings, capacity, min(forBulk, capacity)
	q.grant(now)
}

func (q *Queue) class(c service.Class) *class {
	if c == service.ClassBulk {
		return &q.bulk
	}
	return &q.interactive
}

// Submit asks for a slot. A request that cannot make its latest start is
// refused at once, so that its caller can come back or go elsewhere.
func (q *Queue) Submit(item Request, now time.Time) *Ticket {
	q.mu.Lock()
	defer q.mu.Unlock()
	t := &Ticket{Request: item}
	q.notePeak(now)
	if wait := q.expected(t); now.Add(wait).After(t.StartBy) {
		q.refuse(t, wait-t.StartBy.Sub(now))
		return t
	}
	if q.waiting() >= q.settings.Queue && !q.immediate(t) && !q.displace(t) {
		q.refuse(t, q.expected(t))
		return t
	}
	q.class(t.Class).flows.push(t)
	q.grant(now)
	return t
}

// immediate tells whether a slot is free for the request at once.
func (q *Queue) immediate(t *Ticket) bool {
	return q.class(t.Class).flows.count == 0 && q.free(t.Class)
}

// Release gives the slot back.
func (q *Queue) Release(t *Ticket, now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	c := q.class(t.Class)
	c.running--
	c.hold.add(now.Sub(t.begun).Seconds())
	q.notePeak(now)
	q.grant(now)
}

// Cancel takes a waiting request out: its caller went away or its latest start
// has passed. It tells whether the request held no slot.
func (q *Queue) Cancel(t *Ticket, now time.Time) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if t.granted {
		return false
	}
	if t.Refusal != nil {
		return true
	}
	wait := q.expected(t)
	q.class(t.Class).flows.remove(t)
	q.refuse(t, wait)
	return true
}

// Shed refuses waiting requests that will not make their latest start any more,
// because slots were lost or requests take longer than they did.
func (q *Queue) Shed(now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, c := range []*class{&q.interactive, &q.bulk} {
		for _, f := range c.flows.all() {
			q.shedFlow(c, f, now)
		}
	}
}

func (q *Queue) shedFlow(c *class, f *flow, now time.Time) {
	for len(f.tickets) > 0 {
		last := f.tickets[len(f.tickets)-1]
		wait := q.waitBehind(c, f, len(f.tickets)-1)
		left := last.StartBy.Sub(now)
		if left > 0 && wait.Seconds() <= shedSlack*left.Seconds() {
			return
		}
		c.flows.remove(last)
		q.refuse(last, wait-left)
	}
}

// Stats is what the queue tells of itself.
type Stats struct {
	Capacity, Running, Waiting int
	Interactive, Bulk          ClassStats
}

// ClassStats is how a class stands.
type ClassStats struct {
	Waiting       int
	FreeSlots     int           // slots that the class can still take
	ExpectedWait  time.Duration // of the next request of a new account
	AcceptsRemote bool          // for work from other failure domains
}

// farShare is the part of the slots that has to be free for a class to take work
// from other failure domains: the last ones are for the domain's own callers.
const farShare = 8

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

func (q *Queue) classStats(of service.Class, room int) ClassStats {
	c := q.class(of)
	room = max(room, 0)
	newcomer := &Ticket{Request: Request{Class: of, Weight: c.flows.meanWeight()}}
	return ClassStats{
		Waiting: c.flows.count, FreeSlots: room, ExpectedWait: q.expected(newcomer),
		AcceptsRemote: c.flows.count == 0 && room > 0 && room*farShare >= q.capacity,
	}
}

func (q *Queue) running() int { return q.interactive.running + q.bulk.running }
func (q *Queue) waiting() int { return q.interactive.flows.count + q.bulk.flows.count }

// refuse settles the ticket. comeBack is when a request would be in time again.
func (q *Queue) refuse(t *Ticket, comeBack time.Duration) {
	t.Refusal = refusal.New(refusal.CodeOverloaded, "the queue of the service is too long for this request").
		After(max(comeBack, minComeBack))
	t.settle()
}

func (t *Ticket) settle() {
	if t.OnSettle != nil {
		t.OnSettle(t)
	}
}

// grant hands out free slots.
func (q *Queue) grant(now time.Time) {
	for {
		c := q.next()
		if c == nil {
			return
		}
		t := c.flows.pop()
		if now.After(t.StartBy) {
			q.refuse(t, 0)
			continue
		}
		t.granted, t.begun = true, now
		c.running++
		q.countFloor(c)
		t.settle()
	}
}

// next returns the class whose turn it is, or nil when nothing can start.
func (q *Queue) next() *class {
	bulkWaits := q.bulk.flows.count > 0
	if bulkWaits && q.running() < q.capacity && q.bulkDue() {
		return &q.bulk
	}
	if q.interactive.flows.count > 0 && q.free(service.ClassInteractive) {
		return &q.interactive
	}
	if bulkWaits && q.free(service.ClassBulk) {
		return &q.bulk
	}
	return nil
}

// bulkDue tells whether bulk has less than its floor. With few slots the floor
// is less than one; it is then a share of the grants.
func (q *Queue) bulkDue() bool {
	if slots := q.floorSlots(); slots > 0 {
		return q.bulk.running < slots
	}
	return q.floorCredit >= 1
}

func (q *Queue) floorSlots() int { return int(q.settings.BulkFloor * float64(q.capacity)) }

func (q *Queue) countFloor(c *class) {
	if c == &q.bulk {
		q.floorCredit = max(q.floorCredit-1, 0)
		return
	}
	if q.bulk.flows.count > 0 {
		q.floorCredit += q.settings.BulkFloor
	}
}

// free tells whether a request of the class may take a slot now. Bulk beyond its
// floor does not count against interactive requests: servers run those first,
// and waiting here for a long review to end would only be longer.
func (q *Queue) free(c service.Class) bool {
	if c == service.ClassBulk {
		return q.running() < q.capacity && q.bulk.running < q.bulkCeiling()
	}
	return q.interactive.running+min(q.bulk.running, q.floorSlots()) < q.capacity
}

// bulkCeiling is how many slots bulk may hold. Without it bulk would take every
// slot, and an interactive request would wait for a long review to end: its p99
// would be that of bulk. Slots enough for the last peak of interactive requests
// stay free, and bulk keeps its floor.
func (q *Queue) bulkCeiling() int {
	reserve := int(math.Ceil(q.peak)) + 1 + q.capacity/reserveShare
	return max(min(q.capacity-reserve, q.forBulk), q.floorSlots(), min(q.capacity, 1))
}

func (q *Queue) notePeak(now time.Time) {
	if !q.peakAt.IsZero() {
		q.peak *= math.Exp(-now.Sub(q.peakAt).Seconds() / peakDecay.Seconds())
	}
	q.peakAt = now
	q.peak = max(q.peak, float64(q.interactive.running+q.interactive.flows.count))
}

// displace makes room for the request by refusing one of the account that has
// the most waiting for its weight. Without it an offender fills the queue, and
// accounts within their share are refused. It tells whether there is room.
func (q *Queue) displace(t *Ticket) bool {
	c := q.class(t.Class)
	if t.Class == service.ClassInteractive && q.bulk.flows.count > 0 {
		c = &q.bulk
	}
	longest := c.flows.longest()
	if longest == nil || (c == q.class(t.Class) && longest.backlogWith(0) <= c.flows.backlogOf(t)) {
		return false
	}
	victim := longest.tickets[len(longest.tickets)-1]
	wait := q.waitBehind(c, longest, len(longest.tickets)-1)
	c.flows.remove(victim)
	q.refuse(victim, wait)
	return true
}
