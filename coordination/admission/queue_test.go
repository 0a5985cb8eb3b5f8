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

// bench drives a queue in virtual time: every granted request holds its slot for
// a fixed time.
type bench struct {
	queue   *Queue
	now     time.Time
	hold    time.Duration
	running []*Ticket
	started map[string]int // by account
}

func newBench(capacity int, hold time.Duration) *bench {
	b := &bench{queue: NewQueue(Settings{}), now: start, hold: hold, started: make(map[string]int)}
	b.queue.Configure(Settings{Queue: 1024, BulkFloor: 0.1}, capacity, capacity, b.now)
	return b
}

func (b *bench) submit(account string, class service.Class, wait time.Duration) *Ticket {
	return b.queue.Submit(Request{
		Account: account, Weight: 1, Class: class, Cost: 100, StartBy: b.now.Add(wait),
		OnSettle: func(t *Ticket) {
			if t.Granted() {
				b.running = append(b.running, t)
				b.started[t.Account]++
			}
		},
	}, b.now)
}

// pass lets time go by and ends requests when they are due.
func (b *bench) pass(d time.Duration) {
	until := b.now.Add(d)
	for len(b.running) > 0 && !b.running[0].begun.Add(b.hold).After(until) {
		t := b.running[0]
		b.running = b.running[1:]
		b.now = t.begun.Add(b.hold)
		b.queue.Release(t, b.now)
	}
	b.now = until
}

// A caller of a small account is answered although another account sends ten
// times its rate through the same instance. All requests arrive, the slots are
// busy, and the queue serves accounts in turn: the flood waits behind itself.
func TestOffenderWaitsBehindItself(t *testing.T) {
	b := newBench(4, 100*time.Millisecond)
	for range 100 {
		for range 10 {
			b.submit("offender", service.ClassInteractive, time.Hour)
		}
		b.submit("modest", service.ClassInteractive, time.Hour)
		b.pass(100 * time.Millisecond)
	}
	if got := b.started["modest"]; got < 97 {
		t.Errorf("the modest account started %d of 100 requests, its share allows 200", got)
	}
}

// A caller whose request cannot start within its waiting limit hears of it at
// once, with a time to come back. The slots are busy and requests ahead fill the
// limit. The caller comes back when told, and starts in time: the time was true.
func TestRefusedAtOnceWithATrueTimeToComeBack(t *testing.T) {
	b := newBench(2, 100*time.Millisecond)
	for range 8 {
		b.submit("a", service.ClassInteractive, time.Second)
		b.pass(50 * time.Millisecond)
	}
	for range 40 {
		b.submit("a", service.ClassInteractive, time.Hour)
	}
	limit := 200 * time.Millisecond
	refused := b.submit("a", service.ClassInteractive, limit)
	if refused.Refusal == nil {
		t.Fatal("a request with 40 ahead of it and a limit of 200 ms was queued")
	}
	if refused.Refusal.Run != refusal.NotRun || refused.Refusal.Code != refusal.CodeOverloaded {
		t.Errorf("refused with %v", refused.Refusal)
	}
	b.pass(refused.Refusal.RetryAfter)
	again := b.submit("a", service.ClassInteractive, limit)
	b.pass(limit)
	if !again.Granted() {
		t.Errorf("came back after %s and did not start: %v", refused.Refusal.RetryAfter, again.Refusal)
	}
}

// A member question is answered while long reviews saturate the service, and the
// reviews go on while questions saturate it: bulk leaves room for the last peak of
// interactive requests and keeps its floor of the slots.
func TestClassesLeaveEachOtherRoom(t *testing.T) {
	b := newBench(40, time.Second)
	for range 5 {
		b.submit("m", service.ClassInteractive, time.Second)
	}
	b.pass(2 * time.Second)
	for range 200 {
		b.submit("review", service.ClassBulk, time.Hour)
	}
	if got := b.queue.bulk.running; got < 20 || got > 40-5 {
		t.Errorf("bulk takes %d of 40 slots, after a peak of 5 questions", got)
	}
	if question := b.submit("m", service.ClassInteractive, time.Second); !question.Granted() {
		t.Error("a question waits behind reviews")
	}
	for range 200 {
		b.submit("m", service.ClassInteractive, time.Hour)
	}
	b.pass(3 * time.Second)
	if got := b.queue.bulk.running; got < 4 {
		t.Errorf("bulk runs %d requests, its floor is 4 of 40", got)
	}
}

// A caller within its share is not refused because another filled the queue: the
// newest request of the account with the most waiting is refused in its place.
func TestFullQueueRefusesTheOffender(t *testing.T) {
	b := newBench(1, time.Second)
	b.queue.Configure(Settings{Queue: 10}, 1, 1, b.now)
	b.submit("offender", service.ClassInteractive, time.Hour)
	var last *Ticket
	for range 10 {
		last = b.submit("offender", service.ClassInteractive, time.Hour)
	}
	modest := b.submit("modest", service.ClassInteractive, time.Hour)
	if modest.Refusal != nil {
		t.Errorf("the modest account was refused: %v", modest.Refusal)
	}
	if last.Refusal == nil || last.Refusal.Run != refusal.NotRun {
		t.Errorf("the offender's newest request was not refused")
	}
	if more := b.submit("offender", service.ClassInteractive, time.Hour); more.Refusal == nil {
		t.Error("the queue took more than its bound")
	}
}

// Callers whose requests will not start in time hear of it as soon as that is
// known. Nine of ten servers are lost, and with them the drain rate: of 80 that
// wait for a second at most, about ten can still start; the rest is refused now.
func TestShedWhenSlotsAreLost(t *testing.T) {
	b := newBench(10, 100*time.Millisecond)
	for range 40 {
		b.submit("a", service.ClassInteractive, time.Second)
		b.pass(10 * time.Millisecond)
	}
	for range 80 {
		b.submit("a", service.ClassInteractive, time.Second)
	}
	b.queue.Configure(Settings{Queue: 1024}, 1, 1, b.now)
	b.queue.Shed(b.now)
	if got := b.queue.waiting(); got < 8 || got > 16 {
		t.Errorf("%d still wait, about 10 to 15 can start", got)
	}
}

// Whatever callers, servers and the clock do: each is settled once, none starts after its latest start, none waits
// beside a slot that it may use, and a caller that left holds nothing.
func TestQueueInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := newBench(rapid.IntRange(0, 8).Draw(t, "capacity"), time.Hour)
		settled := make(map[*Ticket]int)
		var all []*Ticket
		submit := func() {
			class := rapid.SampledFrom([]service.Class{service.ClassInteractive, service.ClassBulk}).Draw(t, "class")
			all = append(all, b.queue.Submit(Request{
				Account: fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "account")), Class: class,
				Weight: rapid.Float64Range(0, 100).Draw(t, "weight"), Cost: rapid.Float64Range(0, 5000).Draw(t, "cost"),
				StartBy:  b.now.Add(time.Duration(rapid.IntRange(0, 5000).Draw(t, "wait")) * time.Millisecond),
				OnSettle: func(k *Ticket) { settled[k]++ },
			}, b.now))
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
					b.queue.Release(k, b.now)
				}
			case step == 2:
				if k := pick(); b.queue.Cancel(k, b.now) && k.Refusal == nil {
					t.Fatal("left without a refusal")
				}
			case step == 3:
				b.now = b.now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "pass")) * time.Millisecond)
			case step == 4:
				b.queue.Shed(b.now)
			default:
				slots := rapid.IntRange(0, 8).Draw(t, "slots")
				b.queue.Configure(Settings{Queue: 5, BulkFloor: 0.1}, slots, slots, b.now)
			}
			checkInvariants(t, b, all, settled, released)
		}
	})
}

func checkInvariants(t *rapid.T, b *bench, all []*Ticket, settled map[*Ticket]int, released map[*Ticket]bool) {
	running, waiting := 0, 0
	for _, k := range all {
		switch {
		case k.Granted() && k.Refusal != nil:
			t.Fatal("granted and refused")
		case k.Granted() && k.begun.After(k.StartBy):
			t.Fatal("started after its latest start")
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
	if running != b.queue.running() || waiting != b.queue.waiting() {
		t.Fatalf("counts: running %d, %d; waiting %d, %d", running, b.queue.running(), waiting, b.queue.waiting())
	}
	if b.queue.interactive.flows.count > 0 && running < b.queue.capacity {
		t.Fatal("an interactive request waits beside a free slot")
	}
}

// Two instances use one server without talking. One came later, when the other
// had all of it. Both see what waits in the server and adapt alone: soon neither
// has much more than half, and the server is in use but not swamped.
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

// Bulk fills a server's batch, and an interactive request comes. It is not held
// back by what bulk did: bulk's limit gives way, the limit of all stays.
func TestBulkGivesWayFirst(t *testing.T) {
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
		t.Errorf("limits of all %d, then %d; of bulk %d, then %d", before, after, bulkBefore, bulkAfter)
	}
}
