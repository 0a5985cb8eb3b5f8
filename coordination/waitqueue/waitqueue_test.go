package waitqueue

import (
	"slices"
	"strconv"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// newBusyQueue returns a queue that has started the given number of requests in the last second.
func newBusyQueue(starts int) *Queue[int] {
	q := New[int](Settings{MaxWaiting: 512, MaxBytes: 512})
	for i := range starts {
		q.RecordStart(replayStart.Add(time.Duration(i-starts) * time.Second / time.Duration(starts)))
	}
	return q
}

func waitUpTo(account int, limit time.Duration) Request {
	return Request{Account: strconv.Itoa(account), Cost: 1, Bytes: 1, OnTime: replayStart.Add(limit), Latest: replayStart.Add(2 * limit)}
}

func join(t *testing.T, q *Queue[int], r Request) *Ticket[int] {
	t.Helper()
	ticket, _, refusal := q.Join(r, 0, replayStart)
	if refusal != nil {
		t.Fatal(refusal)
	}
	return ticket
}

// Guards against requests that are held until their deadlines although the service has lost its servers.
func TestWaitingEndsSoonAfterTheLastStart(t *testing.T) {
	const limit = 4 * time.Second
	q := newBusyQueue(50)
	for i := range 100 {
		join(t, q, waitUpTo(i%10, limit))
	}
	if early := q.Expire(replayStart.Add(expireInterval)); len(early) > 0 {
		t.Fatalf("%d refused while requests start", len(early))
	}
	refused := q.Expire(replayStart.Add(limit / 2))
	if len(refused) < 80 {
		t.Errorf("%d of 100 refused after half of their time without a start", len(refused))
	}
}

// Guards against accounts that no server may run now and that keep all others from being tried.
func TestUnplaceableAccountsKeepNoneFromStarting(t *testing.T) {
	q := newBusyQueue(50)
	for i := range 6 {
		join(t, q, waitUpTo(i, 2*time.Second))
	}
	last := join(t, q, waitUpTo(6, 2*time.Second))
	for range 6 {
		if slices.Contains(slices.Collect(q.Heads(3)), last) {
			return
		}
	}
	t.Error("the last account was not tried")
}

// Guards against an account that fills the queue, by number or by size, and keeps the others out.
func TestFullQueueRefusesTheLargestBacklog(t *testing.T) {
	for _, size := range []int{1, 64} {
		q := newBusyQueue(500)
		large := waitUpTo(0, 4*time.Second)
		large.Bytes = size
		for range 512 / size {
			join(t, q, large)
		}
		ticket, displaced, refusal := q.Join(waitUpTo(1, 4*time.Second), 0, replayStart)
		if refusal != nil || len(displaced) != 1 || displaced[0].Account != large.Account || displaced[0].Reason != ReasonFull {
			t.Errorf("size %d: joined %v, displaced %v, refusal %v", size, ticket, displaced, refusal)
		}
		if _, _, refusal = q.Join(large, 0, replayStart); refusal == nil || refusal.Reason != ReasonFull {
			t.Errorf("size %d: the queue took more than its bounds, %v", size, refusal)
		}
	}
}

// Guards against a request that is settled twice or never, and against bytes and counts that drift.
func TestQueueInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := New[int](Settings{MaxWaiting: 12, MaxBytes: 40})
		now := replayStart
		waiting := make(map[*Ticket[int]]bool)
		settle := func(ticket *Ticket[int]) {
			if !waiting[ticket] {
				t.Fatal("settled twice")
			}
			delete(waiting, ticket)
		}
		after := func(name string) time.Time {
			return now.Add(time.Duration(rapid.IntRange(-500, 4000).Draw(t, name)) * time.Millisecond)
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "pass")) * time.Millisecond)
			switch rapid.IntRange(0, 5).Draw(t, "step") {
			case 0, 1:
				r := waitUpTo(rapid.IntRange(0, 3).Draw(t, "account"), 0)
				r.Bytes, r.Returned = rapid.IntRange(0, 9).Draw(t, "bytes"), rapid.Bool().Draw(t, "returned")
				r.OnTime, r.Latest = after("on time"), after("latest")
				ticket, displaced, refusal := q.Join(r, 0, now)
				for _, refused := range displaced {
					settle(refused.Ticket)
				}
				if refusal == nil {
					waiting[ticket] = true
				}
			case 2:
				for ticket := range q.Heads(rapid.IntRange(1, 3).Draw(t, "tries")) {
					if rapid.Bool().Draw(t, "placed") {
						q.Start(ticket, now)
						settle(ticket)
						break
					}
				}
			case 3:
				for _, refused := range q.Expire(now) {
					settle(refused.Ticket)
				}
			case 4:
				for ticket := range waiting {
					if !q.Leave(ticket) || q.Leave(ticket) {
						t.Fatal("left twice or never")
					}
					settle(ticket)
					break
				}
			default:
				q.RecordStart(now)
			}
			bytes := 0
			for ticket := range waiting {
				bytes += ticket.Bytes
			}
			if q.Len() != len(waiting) || q.bytes != bytes || q.Len() > 12 || q.bytes > 40 {
				t.Fatalf("%d wait with %d bytes, the queue counts %d and %d", len(waiting), bytes, q.Len(), q.bytes)
			}
		}
		for _, ticket := range q.Drain() {
			settle(ticket)
		}
		if len(waiting) != 0 || q.Len() != 0 || q.bytes != 0 {
			t.Fatalf("%d left after the drain, with %d bytes", q.Len(), q.bytes)
		}
	})
}
