package httproute

import (
	"context"
	"sync"
	"time"

	"github.com/basilroute/basilroute/coordination/placement"
	"github.com/basilroute/basilroute/coordination/waitqueue"
	"github.com/basilroute/basilroute/service/features"
	"github.com/basilroute/basilroute/state/routes"
)

const (
	// maxWaiting bounds the waiting requests of a service: each keeps its caller's connection.
	maxWaiting = 512
	// onTimeFraction is the fraction of the objective after which a waiting request starts too late
	// to be on time: the rest is for its way and its prompt.
	onTimeFraction = 0.8
	// maxWaitFraction is the maximum fraction of the time until its deadline that a request may
	// wait: the rest is for the response.
	maxWaitFraction = 0.5
	// maxWaitObjectives times the objective is the longest wait. Callers abandon a stream that
	// has not begun after four times.
	maxWaitObjectives = 3
	// firstAttemptFraction is the fraction of the route's timeout that callers have left at least
	// when they come for the first time.
	firstAttemptFraction = 0.8
	// wakeInterval is the time between tries to place waiting requests when nothing else wakes
	// them: that of load reports.
	wakeInterval = 20 * time.Millisecond
	// maxFailedTries bounds the requests that are tried in vain at a time. Requests of accounts
	// with home regions may have to wait although others can start.
	maxFailedTries = 3
)

// Waiting holds the requests that wait at this instance for a slot of a backend server.
type Waiting struct {
	Metrics  *Metrics
	MaxBytes int // bodies of the waiting requests of a service

	mu    sync.Mutex
	rooms map[string]*waitRoom // by service
}

// waitRoom holds the waiting requests of one service.
type waitRoom struct {
	service string
	metrics *Metrics

	mu    sync.Mutex
	queue *waitqueue.Queue[*waiter]
}

// waiter is a request that waits.
type waiter struct {
	try  func(now time.Time, late bool) bool // places the request, and reports whether it could
	done chan *failure                       // gets nil when the request has been placed
}

func (w *Waiting) room(service string) *waitRoom {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.rooms == nil {
		w.rooms = make(map[string]*waitRoom)
	}
	room := w.rooms[service]
	if room == nil {
		settings := waitqueue.Settings{MaxWaiting: maxWaiting, MaxBytes: w.MaxBytes}
		room = &waitRoom{service: service, metrics: w.Metrics, queue: waitqueue.New[*waiter](settings)}
		w.rooms[service] = room
	}
	return room
}

func (w *Waiting) all() []*waitRoom {
	w.mu.Lock()
	defer w.mu.Unlock()
	out := make([]*waitRoom, 0, len(w.rooms))
	for _, room := range w.rooms {
		out = append(out, room)
	}
	return out
}

// Run tries to place waiting requests until ctx ends.
func (w *Waiting) Run(ctx context.Context) {
	ticker := time.NewTicker(wakeInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		now := time.Now()
		for _, room := range w.all() {
			room.expire(now)
			room.wake(now)
		}
	}
}

// Wake tries to place the waiting requests of a service whose server has ended a request.
func (w *Waiting) Wake(service string) {
	if w != nil {
		w.room(service).wake(time.Now())
	}
}

// Refuse refuses all waiting requests: this instance leaves, and its callers can go to another one.
func (w *Waiting) Refuse() {
	for _, room := range w.all() {
		room.refuseAll()
	}
}

// Len returns the number of waiting requests of a service.
func (w *Waiting) Len(service string) int {
	room := w.room(service)
	room.mu.Lock()
	defer room.mu.Unlock()
	return room.queue.Len()
}

// recordStart counts a request that was placed without waiting.
func (w *Waiting) recordStart(service string, now time.Time) {
	room := w.room(service)
	room.mu.Lock()
	defer room.mu.Unlock()
	room.queue.RecordStart(now)
}

// await lets a request wait until try has placed it. It returns the failure of a request that was
// not placed.
func (w *Waiting) await(ctx context.Context, service string, r waitqueue.Request, try func(now time.Time, late bool) bool) *failure {
	room := w.room(service)
	joined := time.Now()
	ticket, refused := room.join(r, &waiter{try: try, done: make(chan *failure, 1)}, joined)
	if refused != nil {
		return refused
	}
	var failed *failure
	select {
	case failed = <-ticket.Value.done:
	case <-ctx.Done():
		failed = room.leave(ticket)
	}
	w.Metrics.waited(service, waitOutcome(ticket, failed), time.Since(joined))
	return failed
}

func (w *waitRoom) join(r waitqueue.Request, value *waiter, now time.Time) (*waitqueue.Ticket[*waiter], *failure) {
	w.mu.Lock()
	defer w.mu.Unlock()
	ticket, refusal := w.queue.Join(r, value, now)
	if refusal != nil {
		w.metrics.notWaited(w.service, refusal.Reason)
		return nil, waitFailure(refusal)
	}
	return ticket, nil
}

func waitFailure(refusal *waitqueue.Refusal) *failure {
	return &failure{run: runNotRun, reason: reasonLoad, retryAfter: refusal.RetryAfter}
}

// leave removes a request whose caller waits no longer. A request that has just been placed is not
// removed: its attempt ends at once.
func (w *waitRoom) leave(ticket *waitqueue.Ticket[*waiter]) *failure {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.queue.Leave(ticket) {
		return <-ticket.Value.done
	}
	return &failure{run: runNotRun, reason: reasonDeadline}
}

// wake places as many waiting requests as possible.
func (w *waitRoom) wake(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for w.startOne(now) {
	}
}

// startOne places the next waiting request that can be placed.
func (w *waitRoom) startOne(now time.Time) bool {
	for i, ticket := range w.queue.Heads() {
		if i >= maxFailedTries {
			return false
		}
		if !ticket.Value.try(now, ticket.Late) {
			continue
		}
		w.queue.Start(ticket, now)
		ticket.Value.done <- nil
		return true
	}
	return false
}

func (w *waitRoom) expire(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, refused := range w.queue.Expire(now) {
		refused.Value.done <- waitFailure(&refused.Refusal)
	}
}

func (w *waitRoom) refuseAll() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, ticket := range w.queue.Drain() {
		// Each request records in its failure whether it ran before.
		ticket.Value.done <- &failure{run: runNotRun, reason: reasonStopping, retryAfter: minRetryAfter}
	}
}

// mayWait reports whether requests of a service and urgency wait for a slot.
func mayWait(config *routes.Config, set features.Set, service string, urgency int) bool {
	if config == nil || !set.On(features.WaitForSlot) || !set.On(features.UrgentFirst) {
		return false
	}
	precedence := config.Precedence(service)
	return precedence.Enforced && !precedence.Urgent(urgency)
}

// waitRequest returns how long a request may wait.
func waitRequest(work *placement.Request, body []byte) waitqueue.Request {
	wait := min(scale(work.Deadline.Sub(work.Arrived), maxWaitFraction), maxWaitObjectives*work.Objective)
	return waitqueue.Request{
		Cost: float64(work.Tokens), Bytes: len(body),
		OnTime: work.Arrived.Add(scale(work.Objective, onTimeFraction)), Latest: work.Arrived.Add(wait),
	}
}

func scale(d time.Duration, fraction float64) time.Duration {
	return time.Duration(float64(d) * fraction)
}

// elapsed returns for how long the caller of a request has been trying, as far as that shows in what
// it has left of the route's timeout; 0 for a first attempt.
func (r *request) elapsed() time.Duration {
	timeout := r.route.Timeout
	if r.CallerTimeout <= 0 || timeout <= 0 || r.CallerTimeout >= scale(timeout, firstAttemptFraction) {
		return 0
	}
	return timeout - r.CallerTimeout
}

// awaitSlot lets a request wait that no server takes now. It returns what choose returns.
func (f *Front) awaitSlot(ctx context.Context, r *request, refused *failure) (placement.Choice, *Remote, *failure) {
	r.work.Waits = true
	defer func() { r.work.Waits = false }()
	r.triedRegions = nil // a region that was full may have room by now
	var choice placement.Choice
	var remote *Remote
	waiting := f.waitRequest(r)
	joined := time.Now()
	failed := f.Local.Waiting.await(ctx, r.service, waiting, func(now time.Time, late bool) bool {
		var unplaced *failure
		choice, remote, unplaced = f.choose(r, now, late)
		return unplaced == nil
	})
	r.record(eventWaited, "waited_ms", time.Since(joined).Milliseconds(), "placed", failed == nil, "returned", waiting.Returned,
		"late", time.Now().After(waiting.OnTime))
	f.Metrics.returned(r.service, waiting.Returned, failed == nil)
	if failed == nil {
		return choice, remote, nil
	}
	if failed.reason == reasonLoad && refused.reason != reasonLoad {
		failed.reason = refused.reason
	}
	return placement.Choice{}, nil, failed
}

// waitRequest returns how long the request may wait. A caller that returns has used its objective
// already, and waits for a late response.
func (f *Front) waitRequest(r *request) waitqueue.Request {
	out := waitRequest(&r.work, r.body)
	if r.account != nil {
		out.Account, out.Weight = r.account.Name, r.account.Rate
	}
	if elapsed := r.elapsed(); elapsed > 0 {
		out.Returned = true
		out.OnTime = out.OnTime.Add(-elapsed)
	}
	return out
}
