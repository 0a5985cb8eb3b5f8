package spill

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// The room replay is the peak of a region whose instances could forward some hundreds of patient
// requests a second to another one with few free slots, where each holds a slot for seconds. A
// report comes with the exchange of members, up to a second old, and one with each response.
const (
	roomInstances = 4
	roomSlots     = 240 // of the other region
	roomOwnRate   = 84.0
	roomDemand    = 300.0 // requests per second that could be forwarded
	roomHold      = 2500 * time.Millisecond
	roomRoundTrip = 160 * time.Millisecond
	roomExchange  = time.Second
	roomTick      = 10 * time.Millisecond
	roomWarmUp    = 8 * time.Second // before the peak
	roomLength    = 14 * time.Second
)

type roomReplay struct {
	rng               *rand.Rand
	events            []roomEvent
	running           int
	forwards, refused int
	useRooms          bool
	rooms             [roomInstances]*Rooms
	latest            [roomInstances]Report // with the exchange of members
}

type roomEvent struct {
	at      time.Time
	happens func(now time.Time)
}

func (r *roomReplay) after(now time.Time, d time.Duration, happens func(now time.Time)) {
	r.events = append(r.events, roomEvent{now.Add(d), happens})
}

func (r *roomReplay) settle(now time.Time) {
	for {
		next := slices.IndexFunc(r.events, func(e roomEvent) bool { return !e.at.After(now) })
		if next < 0 {
			return
		}
		event := r.events[next]
		r.events = slices.Delete(r.events, next, next+1)
		event.happens(event.at)
	}
}

// start takes a slot of the other region, and reports whether there was one.
func (r *roomReplay) start(now time.Time) bool {
	if r.running >= roomSlots {
		return false
	}
	r.running++
	r.after(now, time.Duration(r.rng.ExpFloat64()*float64(roomHold)), func(time.Time) { r.running-- })
	return true
}

func (r *roomReplay) report() Report {
	return Report{Running: r.running, FreeSlots: roomSlots - r.running}
}

func (r *roomReplay) knownRoom(instance int, now time.Time) int {
	if !r.useRooms {
		return r.latest[instance].FreeSlots
	}
	latest, _ := r.rooms[instance].Latest("far", "svc", roomRoundTrip, now)
	return latest.FreeSlots
}

func (r *roomReplay) forward(instance int, now time.Time) {
	if r.knownRoom(instance, now) == 0 {
		return
	}
	r.forwards++
	r.rooms[instance].RecordSend("far", "svc", 0, now)
	r.after(now, roomRoundTrip/2, func(now time.Time) {
		if !r.start(now) {
			r.refused++
		}
		report := r.report()
		r.after(now, roomRoundTrip/2, func(now time.Time) {
			report.ReceivedAt = now
			r.rooms[instance].Record("far", "svc", report)
		})
	})
}

// exchange brings an instance a report with the exchange of members, kept for up to a round.
func (r *roomReplay) exchange(instance int, now time.Time) {
	report := r.report()
	kept := time.Duration(r.rng.Int64N(int64(roomExchange)))
	r.after(now, kept+roomRoundTrip/2, func(now time.Time) {
		report.ReceivedAt, report.Age = now, roomExchange
		r.latest[instance] = report
		r.rooms[instance].Record("far", "svc", report)
	})
}

// arrivals returns how many of the requests of a rate arrive in a tick.
func (r *roomReplay) arrivals(perSecond float64) int {
	n, mean := 0, perSecond*roomTick.Seconds()
	for sum := r.rng.ExpFloat64(); sum < mean; sum += r.rng.ExpFloat64() {
		n++
	}
	return n
}

func playRooms(seed uint64, useRooms bool) *roomReplay {
	r := &roomReplay{rng: rand.New(rand.NewPCG(seed, 9)), useRooms: useRooms}
	for i := range r.rooms {
		r.rooms[i] = NewRooms()
		r.rooms[i].SetInstances(roomInstances)
	}
	for at := time.Duration(0); at < roomLength; at += roomTick {
		now := roomStart.Add(at)
		r.settle(now)
		for i := range roomInstances {
			if (at+time.Duration(i)*roomExchange/roomInstances)%roomExchange == 0 {
				r.exchange(i, now)
			}
		}
		for range r.arrivals(roomOwnRate) {
			r.start(now)
		}
		for range r.arrivals(roomDemand) {
			if at >= roomWarmUp {
				r.forward(r.rng.IntN(roomInstances), now)
			}
		}
	}
	return r
}

var roomStart = time.Unix(1000, 0)

// Guards against forwards by a report that says of the same free slots for a second what all instances have already sent there.
func TestFewForwardsComeBackRefused(t *testing.T) {
	var with, without roomReplay
	const seeds = 10
	for seed := range uint64(seeds) {
		a, b := playRooms(seed, true), playRooms(seed, false)
		with.forwards, with.refused = with.forwards+a.forwards, with.refused+a.refused
		without.forwards, without.refused = without.forwards+b.forwards, without.refused+b.refused
	}
	fraction := func(r *roomReplay) float64 { return float64(r.refused) / float64(r.forwards) }
	t.Logf("%d forwards, %.3f refused; by reports alone %d, %.3f", with.forwards, fraction(&with), without.forwards, fraction(&without))
	if fraction(&with) >= 0.1 {
		t.Errorf("%.3f of the forwards come back refused", fraction(&with))
	}
	if fraction(&without) < 0.3 {
		t.Errorf("no peak: %.3f of the forwards come back refused by reports alone", fraction(&without))
	}
	free, turnovers := roomSlots-roomOwnRate*roomHold.Seconds(), (roomLength-roomWarmUp).Seconds()/roomHold.Seconds()
	if accepted, room := float64(with.forwards-with.refused), seeds*free*(1+turnovers); accepted < room {
		t.Errorf("%v requests forwarded where there is room for %v", accepted, room)
	}
}

// Guards against room by a report that is stale, lost, doubled or late.
func TestNewestReportCountsUntilItExpires(t *testing.T) {
	report := func(free int, received, age time.Duration) Report {
		return Report{FreeSlots: free, ReceivedAt: roomStart.Add(received), Age: age}
	}
	first := report(8, 0, 0)
	for name, c := range map[string]struct {
		reports []Report
		at      time.Duration
		free    int
		known   bool
	}{
		"none":                      {nil, 0, 0, false},
		"never received":            {[]Report{{FreeSlots: 8}}, 0, 0, false},
		"fresh":                     {[]Report{first}, 0, 8, true},
		"old, but counts":           {[]Report{first}, reportTTL, 8, true},
		"stale":                     {[]Report{first}, reportTTL + time.Millisecond, 0, false},
		"newer":                     {[]Report{first, report(3, time.Second, 0)}, time.Second, 3, true},
		"doubled":                   {[]Report{first, first, first}, time.Second, 8, true},
		"doubled is still stale":    {[]Report{first, first}, reportTTL + time.Millisecond, 0, false},
		"late":                      {[]Report{report(3, time.Second, 0), first}, time.Second, 3, true},
		"received later, but older": {[]Report{report(3, time.Second, 0), report(8, 1500*time.Millisecond, time.Second)}, 1500 * time.Millisecond, 3, true},
		"kept, and newer":           {[]Report{first, report(3, 1500*time.Millisecond, time.Second)}, 1500 * time.Millisecond, 3, true},
		"kept, still counts":        {[]Report{report(8, 0, time.Second)}, reportTTL, 8, true},
	} {
		rooms := NewRooms()
		for _, r := range c.reports {
			rooms.Record("far", "svc", r)
		}
		got, known := rooms.Latest("far", "svc", roomRoundTrip, roomStart.Add(c.at))
		if got.FreeSlots != c.free || known != c.known {
			t.Errorf("%s: %d free slots, known: %t", name, got.FreeSlots, known)
		}
		if _, known := rooms.Latest("far", "other", roomRoundTrip, roomStart.Add(c.at)); known {
			t.Errorf("%s: the report counts for another service", name)
		}
	}
}

// Guards against sent requests that a report does not cover yet, or covers and that are counted twice.
func TestSentRequestsTakeRoomUntilAReportCoversThem(t *testing.T) {
	rooms := NewRooms()
	rooms.SetInstances(2)
	free := func(at time.Duration) int {
		latest, _ := rooms.Latest("far", "svc", roomRoundTrip, roomStart.Add(at))
		return latest.FreeSlots
	}
	record := func(received, age time.Duration) {
		rooms.Record("far", "svc", Report{FreeSlots: 10, Running: 5, ReceivedAt: roomStart.Add(received), Age: age})
	}
	sendAt := func(at time.Duration) { rooms.RecordSend("far", "svc", 0, roomStart.Add(at)) }
	sendAt(-roomRoundTrip)     // arrived before the report was made
	sendAt(-roomRoundTrip / 2) // arrived after
	record(0, 0)
	if got := free(0); got != 8 {
		t.Errorf("%d free slots with one request on its way, from each of two instances", got)
	}
	sendAt(reportTTL)
	if got := free(reportTTL); got != 6 {
		t.Errorf("%d free slots by an old report after another request", got)
	}
	record(reportTTL+roomRoundTrip, 0)
	if got := free(reportTTL + roomRoundTrip); got != 10 {
		t.Errorf("%d free slots although the report covers all requests", got)
	}
	for range 9 {
		sendAt(reportTTL + roomRoundTrip)
	}
	latest, _ := rooms.Latest("far", "svc", roomRoundTrip, roomStart.Add(reportTTL+roomRoundTrip))
	if latest.FreeSlots != 0 || latest.Running != 15 {
		t.Errorf("%d free slots, %d running where more was sent than there was room for", latest.FreeSlots, latest.Running)
	}
	record(reportTTL+2*roomRoundTrip+time.Second, time.Second)
	if got := free(reportTTL + 2*roomRoundTrip + time.Second); got != 10 {
		t.Errorf("%d free slots although the kept report covers all requests", got)
	}
}
