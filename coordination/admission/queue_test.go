package admission

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/basilroute/basilroute/protocol/refusal"
	"github.com/basilroute/basilroute/service"
)

var start = time.Unix(1_000_000, 0)

// queueHarness drives a queue in virtual time. Every granted request holds its slot for
// a fixed time.
type queueHarness struct {
	queue   *Queue
	now     time.Time
	hold    time.Duration
	running []*Ticket
	started map[string]int // by account
}

func newQueueHarness(capacity int, hold time.Duration) *queueHarness {
	h := &queueHarness{queue: NewQueue(Settings{}), now: start, hold: hold, started: make(map[string]int)}
	h.queue.Configure(Settings{Queue: 1024, BulkFloor: 0.1}, capacity, capacity, h.now)
	return h
}

func (h *queueHarness) submit(account string, class service.Class, wait time.Duration) *Ticket {
	return h.queue.Submit(Request{
		Account: account, Weight: 1, Class: class, Cost: 100, StartBy: h.now.Add(wait),
		OnSettle: func(t *Ticket) {
			if t.Granted() {
				h.running = append(h.running, t)
				h.started[t.Account]++
			}
		},
	}, h.now)
}

// advance moves the time forward and releases the slots of requests that have ended.
func (h *queueHarness) advance(d time.Duration) {
	until := h.now.Add(d)
	for len(h.running) > 0 && !h.running[0].grantedAt.Add(h.hold).After(until) {
		t := h.running[0]
		h.running = h.running[1:]
		h.now = t.grantedAt.Add(h.hold)
		h.queue.Release(t, h.now)
	}
	h.now = until
}

// Guards against an account that sends ten times as many requests as another through the
// same instance and delays that one. The slots are busy, and the queue has to serve the
// accounts in turn, so that the larger one delays only itself.
func TestHeavyAccountDelaysOnlyItself(t *testing.T) {
	h := newQueueHarness(4, 100*time.Millisecond)
	for range 100 {
		for range 10 {
			h.submit("heavy", service.ClassInteractive, time.Hour)
		}
		h.submit("small", service.ClassInteractive, time.Hour)
		h.advance(100 * time.Millisecond)
	}
	if got := h.started["small"]; got < 97 {
		t.Errorf("the small account started %d of 100 requests, its share allows 200", got)
	}
}

// A request that cannot start within its waiting limit, since the slots are busy and too
// many requests are ahead, has to be refused at once with a Retry-After. A retry after that
// time has to start within the limit.
func TestRefusalHasAccurateRetryAfter(t *testing.T) {
	h := newQueueHarness(2, 100*time.Millisecond)
	for range 8 {
		h.submit("a", service.ClassInteractive, time.Second)
		h.advance(50 * time.Millisecond)
	}
	for range 40 {
		h.submit("a", service.ClassInteractive, time.Hour)
	}
	limit := 200 * time.Millisecond
	refused := h.submit("a", service.ClassInteractive, limit)
	if refused.Refusal == nil {
		t.Fatal("a request with 40 ahead of it and a limit of 200 ms was queued")
	}
	if refused.Refusal.RunState != refusal.NotRun || refused.Refusal.Code != refusal.CodeOverloaded {
		t.Errorf("refused with %v", refused.Refusal)
	}
	h.advance(refused.Refusal.RetryAfter)
	again := h.submit("a", service.ClassInteractive, limit)
	h.advance(limit)
	if !again.Granted() {
		t.Errorf("a retry after %s did not start: %v", refused.Refusal.RetryAfter, again.Refusal)
	}
}

// Interactive requests have to start while bulk saturates the service, and bulk has to
// continue while interactive requests saturate it: bulk leaves slots for the recent maximum
// of interactive requests, and keeps its floor.
func TestClassesLeaveEachOtherSlots(t *testing.T) {
	h := newQueueHarness(40, time.Second)
	for range 5 {
		h.submit("m", service.ClassInteractive, time.Second)
	}
	h.advance(2 * time.Second)
	for range 200 {
		h.submit("review", service.ClassBulk, time.Hour)
	}
	if got := h.queue.bulk.running; got < 20 || got > 40-5 {
		t.Errorf("bulk takes %d of 40 slots, after at most 5 interactive requests at once", got)
	}
	if question := h.submit("m", service.ClassInteractive, time.Second); !question.Granted() {
		t.Error("an interactive request waits behind bulk")
	}
	for range 200 {
		h.submit("m", service.ClassInteractive, time.Hour)
	}
	h.advance(3 * time.Second)
	if got := h.queue.bulk.running; got < 4 {
		t.Errorf("bulk runs %d requests, its floor is 4 of 40", got)
	}
}

// Guards against refusals of an account within its share when another one has filled the
// queue. Instead, the newest request of the account with the largest backlog is refused.
func TestFullQueueRefusesTheLargestBacklog(t *testing.T) {
	h := newQueueHarness(1, time.Second)
	h.queue.Configure(Settings{Queue: 10}, 1, 1, h.now)
	h.submit("heavy", service.ClassInteractive, time.Hour)
	var last *Ticket
	for range 10 {
		last = h.submit("heavy", service.ClassInteractive, time.Hour)
	}
	small := h.submit("small", service.ClassInteractive, time.Hour)
	if small.Refusal != nil {
		t.Errorf("the small account was refused: %v", small.Refusal)
	}
	if last.Refusal == nil || last.Refusal.RunState != refusal.NotRun {
		t.Errorf("the newest request of the heavy account was not refused")
	}
	if more := h.submit("heavy", service.ClassInteractive, time.Hour); more.Refusal == nil {
		t.Error("the queue took more than its bound")
	}
}

// Requests that will not start in time have to be refused as soon as that is known. Nine
// of ten slots are lost, and with them the drain rate: of 80 requests that wait for a
// second at most, about ten can still start, and the others are refused at once.
func TestShedWhenSlotsAreLost(t *testing.T) {
	h := newQueueHarness(10, 100*time.Millisecond)
	for range 40 {
		h.submit("a", service.ClassInteractive, time.Second)
		h.advance(10 * time.Millisecond)
	}
	for range 80 {
		h.submit("a", service.ClassInteractive, time.Second)
	}
	h.queue.Configure(Settings{Queue: 1024}, 1, 1, h.now)
	h.queue.Shed(h.now)
	if got := h.queue.waiting(); got < 8 || got > 16 {
		t.Errorf("%d still wait, about 10 to 15 can start", got)
	}
}

// In any sequence of events, each request is settled once, none starts after its StartBy,
// no interactive request waits while a slot is free, and a cancelled one holds no slot.
func TestQueueInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := newQueueHarness(rapid.IntRange(0, 8).Draw(t, "capacity"), time.Hour)
		settled := make(map[*Ticket]int)
		var all []*Ticket
		submit := func() {
			class := rapid.SampledFrom([]service.Class{service.ClassInteractive, service.ClassBulk}).Draw(t, "class")
			all = append(all, h.queue.Submit(Request{
				Account: fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "account")), Class: class,
				Weight: rapid.Float64Range(0, 100).Draw(t, "weight"), Cost: rapid.Float64Range(0, 5000).Draw(t, "cost"),
				StartBy:  h.now.Add(time.Duration(rapid.IntRange(0, 5000).Draw(t, "wait")) * time.Millisecond),
				OnSettle: func(k *Ticket) { settled[k]++ },
			}, h.now))
		}
		pick := func() *Ticket { return rapid.SampledFrom(all).Draw(t, "ticket") }
		released := make(map[*Ticket]bool)
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			step := rapid.IntRange(0, 5).Draw(t, "step")
			switch {
			case step == 0 || len(all) == 0:
				submit()
			case step == 1:
				if k := pick(); k.Granted() && !released[k] {
					released[k] = true
					h.queue.Release(k, h.now)
				}
			case step == 2:
				if k := pick(); h.queue.Cancel(k, h.now) && k.Refusal == nil {
					t.Fatal("cancelled without a refusal")
				}
			case step == 3:
				h.now = h.now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "pass")) * time.Millisecond)
			case step == 4:
				h.queue.Shed(h.now)
			default:
				slots := rapid.IntRange(0, 8).Draw(t, "slots")
				h.queue.Configure(Settings{Queue: 5, BulkFloor: 0.1}, slots, slots, h.now)
			}
			checkInvariants(t, h, all, settled, released)
		}
	})
}

func checkInvariants(t *rapid.T, h *queueHarness, all []*Ticket, settled map[*Ticket]int, released map[*Ticket]bool) {
	running, waiting := 0, 0
	for _, k := range all {
		switch {
		case k.Granted() && k.Refusal != nil:
			t.Fatal("granted and refused")
		case k.Granted() && k.grantedAt.After(k.StartBy):
			t.Fatal("started after its StartBy")
		case k.Granted() && !released[k]:
			running++
		case !k.Granted() && k.Refusal == nil:
			waiting++
		}
		want := 1
		if !k.Granted() && k.Refusal == nil {
			want = 0
		}
		if settled[k] != want {
			t.Fatalf("settled %d times, want %d", settled[k], want)
		}
	}
	if running != h.queue.running() || waiting != h.queue.waiting() {
		t.Fatalf("counts: running %d, %d; waiting %d, %d", running, h.queue.running(), waiting, h.queue.waiting())
	}
	if h.queue.interactive.flows.Len() > 0 && running < h.queue.capacity {
		t.Fatal("an interactive request waits while a slot is free")
	}
}

// Two instances use one server without coordination. The second one starts when the first
// uses the whole server. Both adapt to the waiting requests that the server reports: the
// limits have to converge to about a half each, with the server neither idle nor overloaded.
func TestLimitersShareAServer(t *testing.T) {
	const batch = 32
	first, second := NewLimiter(), NewLimiter()
	now := start
	for round := range 400 {
		now = now.Add(time.Second)
		limiters := []*Limiter{first, second}
		if round < 50 {
			limiters = limiters[:1]
		}
		total := 0
		for _, l := range limiters {
			limit, _ := l.Limit(1000)
			total += limit
		}
		for _, l := range limiters {
			limit, _ := l.Limit(1000)
			for range limit {
				l.AddSample(Sample{Latency: 50 * time.Millisecond, Expected: 50 * time.Millisecond, InFlight: limit}, 1000, now)
			}
			l.ApplyReport(LoadReport{BootID: "boot", Running: min(total, batch), Waiting: max(total-batch, 0)}, now)
		}
	}
	a, _ := first.Limit(1000)
	b, _ := second.Limit(1000)
	if a > 2*b || b > 2*a || a+b < batch*6/10 || a+b > batch*3/2 {
		t.Errorf("limits %d and %d of %d", a, b, batch)
	}
}

// Bulk fills a server's batch, and interactive requests are late. The bulk limit has to be
// reduced, and the total limit has to stay.
func TestBulkLimitIsReducedFirst(t *testing.T) {
	l := NewLimiter()
	now := start
	for range 40 {
		all, bulk := l.Limit(100)
		now = now.Add(time.Second)
		l.AddSample(Sample{Bulk: true, Latency: time.Second, Expected: time.Second, InFlight: all, BulkInFlight: bulk}, 100, now)
	}
	before, bulkBefore := l.Limit(100)
	for range 5 {
		now = now.Add(time.Second)
		l.AddSample(Sample{Latency: time.Second, Expected: 50 * time.Millisecond, InFlight: before, BulkInFlight: 5}, 100, now)
		l.ApplyReport(LoadReport{BootID: "boot", Running: before, Waiting: 3, BulkInFlight: 5}, now)
	}
	after, bulkAfter := l.Limit(100)
	if after != before || bulkAfter > bulkBefore/2 {
		t.Errorf("total limit %d, then %d; bulk limit %d, then %d", before, after, bulkBefore, bulkAfter)
	}
}
