package httproute

import (
	"context"
	"net/url"
	"slices"
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
	// honoredFraction is the fraction of the time that callers have left up to which they honor a
	// Retry-After.
	honoredFraction = 1.0 / 3
	// wakeInterval is the time between tries to place waiting requests when nothing else wakes
	// them: that of load reports.
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
	rooms  map[string]*waitRoom // by service
}

// waitRoom holds the waiting requests of one service.
type waitRoom struct {
	service string
	metrics *Metrics
	flow    func(service string, now time.Time) waitqueue.Flow

	mu     sync.Mutex
	closed bool // requests do not wait any more
	queue  *waitqueue.Queue[*waiter]
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
	try  tryFunc
	done chan *failure // gets nil when the request has been placed
}

func (w *Waiting) room(service string) *waitRoom {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.rooms == nil {
		w.rooms = make(map[string]*waitRoom)
	}
	room := w.rooms[service]
	if room == nil {
		settings := waitqueue.Settings{MaxWaiting: maxWaiting, MaxBytes: w.MaxBytes, RetryJitter: retryJitter}
		room = &waitRoom{service: service, metrics: w.Metrics, flow: w.Flow, closed: w.closed, queue: waitqueue.New[*waiter](settings)}
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

// Refuse refuses all waiting requests and those that come to wait after them: this instance leaves, and
// its callers can go to another one.
func (w *Waiting) Refuse() {
	w.mu.Lock()
	w.closed = true
	w.mu.Unlock()
	for _, room := range w.all() {
		room.close()
	}
}

// Len returns the number of waiting requests of a service.
func (w *Waiting) Len(service string) int {
	room := w.room(service)
	room.mu.Lock()
	defer room.mu.Unlock()
	return room.queue.Len()
}

// mayStart reports whether a request may be placed in the local region without waiting: no other one
// waits, and this instance has not used up its share of the region's slots.
func (w *Waiting) mayStart(service string, now time.Time) bool {
	room := w.room(service)
	room.mu.Lock()
	defer room.mu.Unlock()
	room.updateFlow(now)
	return room.queue.Len() == 0 && room.queue.MayStart(now)
}

// recordStart counts a request that was placed without waiting.
func (w *Waiting) recordStart(service string, local bool, now time.Time) {
	room := w.room(service)
	room.mu.Lock()
	defer room.mu.Unlock()
	room.queue.RecordStart(now)
	if local {
		room.queue.RecordSlot(now)
	}
}

// expectedWait returns how long a new request of a service would wait.
func (w *Waiting) expectedWait(service string, now time.Time) time.Duration {
	if w == nil {
		return 0
	}
	room := w.room(service)
	room.mu.Lock()
	defer room.mu.Unlock()
	room.updateFlow(now)
	return room.queue.ExpectedWait(now)
}

// await lets a request wait until try has placed it. It returns the failure of a request that was
// not placed.
func (w *Waiting) await(ctx context.Context, service string, r waitqueue.Request, try tryFunc) *failure {
	room := w.room(service)
	joined := time.Now()
	ticket, refused := room.join(r, &waiter{try: try, done: make(chan *failure, 1)}, joined)
	if refused != nil {
		return refused
	}
	room.wake(joined)
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
	if w.closed {
		return nil, stoppingFailure()
	}
	w.updateFlow(now)
	ticket, displaced, refusal := w.queue.Join(r, value, now)
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
	if w.queue.Len() == 0 {
		return
	}
	w.updateFlow(now)
	for w.startOne(now) {
	}
}

// updateFlow tells the queue how fast slots turn over now.
func (w *waitRoom) updateFlow(now time.Time) {
	if w.flow != nil {
		w.queue.SetFlow(w.flow(w.service, now))
	}
}

// startOne places the next waiting request that can be placed. It reports whether one left the queue.
func (w *waitRoom) startOne(now time.Time) bool {
	local := w.queue.MayStart(now)
	for ticket := range w.queue.Heads(maxTriesPerWake) {
		result, refused := ticket.Value.try(now, tryOptions{late: ticket.Late, local: local})
		switch {
		case result != notPlaced:
			w.queue.Start(ticket, now)
		case refused != nil:
			w.queue.Leave(ticket)
		default:
			continue
		}
		if result == placedLocally {
			w.queue.RecordSlot(now)
		}
		ticket.Value.done <- refused
		return true
	}
	return false
}

func (w *waitRoom) expire(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.refuse(w.queue.Expire(now))
}

func (w *waitRoom) refuse(all []waitqueue.Refused[*waiter]) {
	for i := range all {
		all[i].Value.done <- waitFailure(&all[i].Refusal)
	}
}

// close refuses all waiting requests and lets none wait any more. Each gets a failure of its own, to
// which its attempts are added.
func (w *waitRoom) close() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.closed = true
	for _, ticket := range w.queue.Drain() {
		ticket.Value.done <- stoppingFailure()
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
	r.triedRegions = nil // a region that was full may have room by now
	var choice placement.Choice
	var remote *Remote
	waiting := f.waitRequest(r)
	joined := time.Now()
	steps := len(r.trace)
	failed := f.Local.Waiting.await(ctx, r.service, waiting, func(now time.Time, o tryOptions) (tryResult, *failure) {
		if outdated := f.applyConfig(r); outdated != nil {
			return notPlaced, outdated
		}
		var unplaced *failure
		choice, remote, unplaced = f.choose(r, now, chooseOptions{acceptLate: o.late, skipLocal: !o.local})
		switch {
		case unplaced == nil && remote != nil:
			return placedRemotely, nil
		case unplaced == nil:
			return placedLocally, nil
		}
		r.trace = r.trace[:steps] // there are tries by the thousand
		if unplaced.worthWaiting() {
			return notPlaced, nil
		}
		return notPlaced, unplaced
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

// worthWaiting reports whether a request that was refused may be placed as soon as a slot is free.
func (f *failure) worthWaiting() bool { return f.reason == reasonLoad || f.reason == reasonCold }

// applyConfig applies the configuration in force to a waiting request. It returns the failure of a
// request that may not run by it.
func (f *Front) applyConfig(r *request) *failure {
	config := f.Routes.Current()
	if config == r.config {
		return nil
	}
	target, err := url.ParseRequestURI(r.target)
	if err != nil {
		return &failure{run: runNotRun, reason: reasonNoRoute}
	}
	route := config.Match(r.host, target.Path)
	if route == nil {
		return &failure{run: runNotRun, reason: reasonNoRoute}
	}
	var account *routes.Account
	if len(config.Accounts) > 0 && !route.Public {
		if account = config.Authenticate(r.Key); account == nil {
			return &failure{run: runNotRun, reason: reasonKey}
		}
	}
	if !slices.ContainsFunc(route.Targets, func(t routes.Target) bool { return t.Service == r.service }) {
		return &failure{run: runNotRun, reason: reasonNoServer}
	}
	if homes, anywhere := routes.AllowedRegions(route, account); !anywhere && len(homes) == 0 {
		return &failure{run: runNotRun, reason: reasonResidency, retryAfter: residencyRetryAfter}
	}
	r.config, r.route, r.account = config, route, account
	r.work.Urgency = f.precedence(r).Rank(route, account)
	return nil
}

// waitRequest returns how long the request may wait. A caller that returns has used its objective
// already, and waits for a late response. It has been told when to return if it returns before it
// would come in any case.
func (f *Front) waitRequest(r *request) waitqueue.Request {
	out := waitRequest(&r.work, r.body)
	if r.account != nil {
		out.Account, out.Weight = r.account.Name, r.account.Rate
	}
	timeout := r.route.Timeout
	if r.CallerTimeout <= 0 || timeout <= 0 {
		return out
	}
	begun := r.arrived.Add(r.CallerTimeout - timeout)
	out.ReturnFrom = begun.Add(scale(timeout, 1-firstAttemptFraction))
	out.ReturnUntil = begun.Add(scale(timeout, honoredFraction))
	if elapsed := r.elapsed(); elapsed > 0 {
		out.Returned = r.arrived.Before(out.ReturnUntil)
		out.OnTime = out.OnTime.Add(-elapsed)
	}
	return out
}
