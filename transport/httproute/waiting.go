package httproute

import (
	"context"
	"sync"
	"time"

	"github.com/basilroute/basilroute/coordination/waitqueue"
)

const (
	// maxWaiting bounds the waiting requests of a service: each keeps its caller's connection.
	maxWaiting = 512
	// wakeInterval is the time between tries to place waiting requests when nothing else wakes
	// them. Load reports tell of freed slots as often.
	wakeInterval = 20 * time.Millisecond
	// maxTriesPerWake bounds the requests that are tried in vain at a time. Requests of accounts
	// with home regions may have to wait although others can start.
	maxTriesPerWake = 3
)

// Waiting holds the requests that wait at this instance for a slot of a backend server.
type Waiting struct {
	Metrics  *Metrics
	MaxBytes int // bodies of the waiting requests of a service
	// Flow returns how fast the slots of a service turn over in the local region.
	Flow func(service string, now time.Time) waitqueue.Flow

	mu     sync.Mutex
	closed bool
	queues map[string]*serviceQueue // by service
}

// serviceQueue holds the waiting requests of one service.
type serviceQueue struct {
	service string
	metrics *Metrics
	flow    func(service string, now time.Time) waitqueue.Flow

	mu      sync.Mutex
	closed  bool // requests do not wait any more
	waiting *waitqueue.Queue[*waiter]
}

// tryFunc places a waiting request if it can. A request that is to wait no longer gets the failure with
// which it is refused.
type tryFunc func(now time.Time, o tryOptions) (tryResult, *failure)

// tryOptions says how a waiting request may be placed.
type tryOptions struct {
	late  bool // its response cannot be on time
	local bool // it may take a slot of the local region
}

// tryResult says where a waiting request was placed.
type tryResult int

const (
	notPlaced tryResult = iota
	placedLocally
	placedRemotely
)

// waiter is a request that waits.
type waiter struct {
	try   tryFunc
	begun bool          // its caller has part of the response, and cannot go to another instance
	done  chan *failure // gets nil when the request has been placed
}

func (w *Waiting) queue(service string) *serviceQueue {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.queues == nil {
		w.queues = make(map[string]*serviceQueue)
	}
	queue := w.queues[service]
	if queue == nil {
		settings := waitqueue.Settings{MaxWaiting: maxWaiting, MaxBytes: w.MaxBytes, RetryJitter: retryJitter}
		queue = &serviceQueue{service: service, metrics: w.Metrics, flow: w.Flow, closed: w.closed, waiting: waitqueue.New[*waiter](settings)}
		w.queues[service] = queue
	}
	return queue
}

func (w *Waiting) all() []*serviceQueue {
	w.mu.Lock()
	defer w.mu.Unlock()
	out := make([]*serviceQueue, 0, len(w.queues))
	for _, queue := range w.queues {
		out = append(out, queue)
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
		for _, queue := range w.all() {
			queue.expire(now)
			queue.wake(now)
		}
	}
}

// Wake tries to place the waiting requests of a service whose server has ended a request.
func (w *Waiting) Wake(service string) {
	if w != nil {
		w.queue(service).wake(time.Now())
	}
}

// Refuse refuses all waiting requests and those that come to wait after them: this instance leaves, and
// its callers can go to another one. Streams that have begun go on waiting: a refusal would cut them.
func (w *Waiting) Refuse() {
	w.mu.Lock()
	w.closed = true
	w.mu.Unlock()
	for _, queue := range w.all() {
		queue.close()
	}
}

// Len returns the number of waiting requests of a service.
func (w *Waiting) Len(service string) int {
	queue := w.queue(service)
	queue.mu.Lock()
	defer queue.mu.Unlock()
	return queue.waiting.Len()
}

// mayStart reports whether a request may be placed in the local region without waiting: no other one
// waits, and this instance has not used up its share of the region's slots.
func (w *Waiting) mayStart(service string, now time.Time) bool {
	queue := w.queue(service)
	queue.mu.Lock()
	defer queue.mu.Unlock()
	queue.updateFlow(now)
	return queue.waiting.Len() == 0 && queue.waiting.MayStart(now)
}

// recordStart counts a request that was placed without waiting.
func (w *Waiting) recordStart(service string, local bool, now time.Time) {
	queue := w.queue(service)
	queue.mu.Lock()
	defer queue.mu.Unlock()
	queue.waiting.RecordStart(now)
	if local {
		queue.waiting.RecordSlot(now)
	}
}

// expectedWait returns how long a new request of a service would wait.
func (w *Waiting) expectedWait(service string, now time.Time) time.Duration {
	if w == nil {
		return 0
	}
	queue := w.queue(service)
	queue.mu.Lock()
	defer queue.mu.Unlock()
	queue.updateFlow(now)
	return queue.waiting.ExpectedWait(now)
}

// await lets a request wait until try has placed it. It returns the failure of a request that was
// not placed.
func (w *Waiting) await(ctx context.Context, service string, r waitqueue.Request, try tryFunc) *failure {
	return w.awaitAs(ctx, service, r, &waiter{try: try})
}

// awaitAs is like await, for a request that is described by more than its try.
func (w *Waiting) awaitAs(ctx context.Context, service string, r waitqueue.Request, value *waiter) *failure {
	queue := w.queue(service)
	joined := time.Now()
	value.done = make(chan *failure, 1)
	ticket, refused := queue.join(r, value, joined)
	if refused != nil {
		return refused
	}
	queue.wake(joined)
	var failed *failure
	select {
	case failed = <-ticket.Value.done:
	case <-ctx.Done():
		failed = queue.leave(ticket)
	}
	w.Metrics.waited(service, waitOutcome(ticket, failed), time.Since(joined))
	return failed
}

func (w *serviceQueue) join(r waitqueue.Request, value *waiter, now time.Time) (*waitqueue.Ticket[*waiter], *failure) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed && !value.begun {
		return nil, stoppingFailure()
	}
	w.updateFlow(now)
	ticket, displaced, refusal := w.waiting.Join(r, value, now)
	w.refuse(displaced)
	if refusal != nil {
		w.metrics.notWaited(w.service, refusal.Reason)
		return nil, waitFailure(refusal)
	}
	return ticket, nil
}

func waitFailure(refusal *waitqueue.Refusal) *failure {
	return &failure{run: runNotRun, reason: reasonLoad, retryAfter: refusal.RetryAfter}
}

func stoppingFailure() *failure {
	return &failure{run: runNotRun, reason: reasonStopping, retryAfter: minRetryAfter}
}

// leave removes a request whose caller waits no longer. A request that has just been placed is not
// removed: its attempt ends at once.
func (w *serviceQueue) leave(ticket *waitqueue.Ticket[*waiter]) *failure {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.waiting.Leave(ticket) {
		return <-ticket.Value.done
	}
	return &failure{run: runNotRun, reason: reasonDeadline}
}

// wake places as many waiting requests as possible.
func (w *serviceQueue) wake(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.waiting.Len() == 0 {
		return
	}
	w.updateFlow(now)
	for w.startOne(now) {
	}
}

// updateFlow tells the queue how fast slots turn over now.
func (w *serviceQueue) updateFlow(now time.Time) {
	if w.flow != nil {
		w.waiting.SetFlow(w.flow(w.service, now))
	}
}

// startOne places the next waiting request that can be placed. It reports whether one left the queue.
func (w *serviceQueue) startOne(now time.Time) bool {
	local := w.waiting.MayStart(now)
	for ticket := range w.waiting.Heads(maxTriesPerWake) {
		result, refused := ticket.Value.try(now, tryOptions{late: ticket.Late, local: local})
		switch {
		case result != notPlaced:
			w.waiting.Start(ticket, now)
		case refused != nil:
			w.waiting.Leave(ticket)
		default:
			continue
		}
		if result == placedLocally {
			w.waiting.RecordSlot(now)
		}
		ticket.Value.done <- refused
		return true
	}
	return false
}

func (w *serviceQueue) expire(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.refuse(w.waiting.Expire(now))
}

func (w *serviceQueue) refuse(all []waitqueue.Refused[*waiter]) {
	for i := range all {
		all[i].Value.done <- waitFailure(&all[i].Refusal)
	}
}

// close refuses all waiting requests that have not begun and lets no others wait any more. Each gets a
// failure of its own, to which its attempts are added.
func (w *serviceQueue) close() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.closed = true
	for _, ticket := range w.waiting.DrainFunc(func(r *waiter) bool { return !r.begun }) {
		ticket.Value.done <- stoppingFailure()
	}
}
