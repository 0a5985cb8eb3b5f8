package orders

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/basilroute/basilroute/service"
)

// sent is an order in flight to the engine.
type sent struct {
	order  Order
	at     time.Time
	lease  Lease
	arrive time.Time
}

// holder is an instance that may be paused at any point.
type holder struct {
	lease  Lease
	paused bool
}

// simulation has one engine, two instances that send it orders, and the store's lease,
// which at most one of them holds.
type simulation struct {
	now            time.Time
	engine         State
	ignoresFencing bool // the engine obeys old fencing numbers
	owner          int  // instance that holds the store's lease; -1 for none
	leaseExpiry    time.Time
	epoch          int64
	holders        [2]holder
	inFlight       []sent
	service        *service.Service
}

func (s *simulation) step(n int) {
	h := &s.holders[n]
	if s.owner >= 0 && !s.now.Before(s.leaseExpiry) {
		s.owner = -1
	}
	switch {
	case h.paused:
		return
	case s.owner == n:
		s.leaseExpiry, h.lease = s.now.Add(LeaseTTL), NewLease(h.lease.Epoch, s.now)
	case s.owner < 0:
		s.epoch++
		s.owner, s.leaseExpiry, h.lease = n, s.now.Add(LeaseTTL), NewLease(s.epoch, s.now)
	}
	if order, ok := Next(s.service, "e", s.engine, h.lease, s.now); ok {
		s.inFlight = append(s.inFlight, sent{order: order, at: s.now, lease: h.lease})
	}
}

func (s *simulation) deliver() {
	waiting := s.inFlight[:0]
	for _, o := range s.inFlight {
		if s.now.Before(o.arrive) {
			waiting = append(waiting, o)
			continue
		}
		if s.ignoresFencing || o.order.Fencing >= s.engine.Fencing {
			s.engine = State(o.order)
		}
	}
	s.inFlight = waiting
}

// Guards against orders sent without the lease, and against an engine that is left in
// another state than the document's. Two instances are paused and resumed, the lease
// moves between them, orders arrive late, the document changes, and the engine may ignore
// fencing numbers. Every order has to arrive while its sender's lease is valid, and once
// the pauses end the engine has to reach the state in the document.
func TestEngineEndsUpRight(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &simulation{now: time.Unix(1e9, 0), owner: -1, ignoresFencing: rapid.Bool().Draw(t, "ignores"), service: &service.Service{}}
		s.engine = State{Version: "v1"}
		for range rapid.IntRange(0, 40).Draw(t, "steps") {
			n := rapid.IntRange(0, 1).Draw(t, "instance")
			switch rapid.IntRange(0, 3).Draw(t, "what") {
			case 0:
				s.holders[n].paused = !s.holders[n].paused
			case 1:
				s.service.Orders.Version = rapid.SampledFrom([]string{"v1", "v2", "v3"}).Draw(t, "version")
			default:
				s.turn(t, n, rapid.IntRange(0, int(Timeout/time.Millisecond)).Draw(t, "late"))
			}
			s.now = s.now.Add(time.Duration(rapid.IntRange(0, 8000).Draw(t, "pass")) * time.Millisecond)
			s.deliver()
		}
		s.holders[0].paused, s.holders[1].paused = false, false
		for range 10 {
			s.turn(t, 0, 0)
			s.turn(t, 1, 0)
			s.now = s.now.Add(RenewInterval)
			s.deliver()
		}
		if want := s.service.Orders.Version; want != "" && s.engine.Version != want {
			t.Fatalf("the engine has %+v, wanted %s", s.engine, want)
		}
	})
}

func (s *simulation) turn(t *rapid.T, n, lateMs int) {
	before := len(s.inFlight)
	s.step(n)
	for i := before; i < len(s.inFlight); i++ {
		o := &s.inFlight[i]
		o.arrive = o.at.Add(time.Duration(lateMs) * time.Millisecond)
		if !o.lease.Held(o.arrive) || s.owner != n {
			t.Fatalf("instance %d ordered without the lease", n)
		}
	}
}

// Guards against orders from a holder that resumes after a pause longer than its lease,
// and does not know yet that another instance has taken over.
func TestWokenHolderSendsNothing(t *testing.T) {
	asked := time.Unix(1e9, 0)
	s := &service.Service{Orders: service.Orders{Version: "v2"}}
	lease := NewLease(7, asked)
	if _, ok := Next(s, "e", State{Version: "v1"}, lease, asked); !ok {
		t.Error("no order is sent under a fresh lease")
	}
	for _, late := range []time.Duration{LeaseTTL - MinLeaseRemaining, LeaseTTL, time.Hour} {
		if order, ok := Next(s, "e", State{Version: "v1"}, lease, asked.Add(late)); ok {
			t.Errorf("after %s it sends %+v", late, order)
		}
	}
}
