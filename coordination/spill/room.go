package spill

import (
	"slices"
	"time"
)

// Load pattern: a region in a traffic spike forwards hundreds of requests a second to another one
// whose slots turn over within seconds. By a report that is a second old all its instances send to
// the same free slots, long after these are taken, and nine of ten requests come back refused after
// a round trip. So responses to forwarded requests carry a new report, and what was sent too late to
// be part of a report is taken off it.

const (
	// reportTTL is how long a report tells the room of a region: several times the time in which
	// slots turn over.
	reportTTL = 2 * time.Second
	// sentTTL is how long a sent request may matter: a report does not cover what was sent within
	// its age and a round trip before it was received.
	sentTTL = 2 * reportTTL
)

// Report is what a region says about the servers of a service.
type Report struct {
	Servers           int
	Running           int
	FreeSlots         int // for less urgent requests
	StallFraction     float64
	ExpectedFirstByte time.Duration
	PrefillRate       float64       // prompt tokens per second of a server; 0 if the report does not say
	Wait              time.Duration // of a less urgent request, until it gets a slot
	ReceivedAt        time.Time
	Age               time.Duration // maximum time for which the region kept it before it sent it
}

// madeAt returns when the report was made at the earliest, without the time that it travelled.
func (r *Report) madeAt() time.Time { return r.ReceivedAt.Add(-r.Age) }

// Rooms holds the latest reports of other regions and what was sent there since. It is not safe
// for concurrent use.
type Rooms struct {
	instances int // of the local region, this one included
	regions   map[roomKey]*regionRoom
}

type roomKey struct{ region, service string }

type regionRoom struct {
	report Report
	sent   []send // ordered by time
}

type send struct {
	at     time.Time
	tokens int
}

// NewRooms returns an empty set.
func NewRooms() *Rooms { return &Rooms{instances: 1, regions: make(map[roomKey]*regionRoom)} }

// SetInstances sets the number of instances of the local region. The others are assumed to send as
// much as this one.
func (r *Rooms) SetInstances(n int) { r.instances = max(n, 1) }

func (r *Rooms) room(region, service string) *regionRoom {
	key := roomKey{region, service}
	room := r.regions[key]
	if room == nil {
		room = &regionRoom{}
		r.regions[key] = room
	}
	return room
}

// Record takes over a report if it is newer than the last one of its region.
func (r *Rooms) Record(region, service string, report Report) {
	room := r.room(region, service)
	if report.madeAt().After(room.report.madeAt()) {
		room.report = report
	}
}

// RecordSend counts a request that is sent to a region.
func (r *Rooms) RecordSend(region, service string, tokens int, now time.Time) {
	room := r.room(region, service)
	room.sent = append(slices.DeleteFunc(room.sent, func(s send) bool { return now.Sub(s.at) > sentTTL }), send{now, tokens})
}

// Latest returns the state of a region as its last report says, with what the local region has sent
// too late to be part of it. It returns false without a report, and with one that is too old.
func (r *Rooms) Latest(region, service string, roundTrip time.Duration, now time.Time) (Report, bool) {
	room := r.room(region, service)
	report := room.report
	if report.ReceivedAt.IsZero() || now.Sub(report.ReceivedAt) > reportTTL {
		return Report{}, false
	}
	requests, tokens := room.sentAfter(report.madeAt().Add(-roundTrip))
	taken := min(requests*r.instances, report.FreeSlots)
	report.Running += taken
	report.FreeSlots -= taken
	if report.PrefillRate > 0 && report.Servers > 0 {
		backlog := float64(tokens*r.instances) / (report.PrefillRate * float64(report.Servers))
		report.ExpectedFirstByte += time.Duration(backlog * float64(time.Second))
	}
	return report, true
}

func (r *regionRoom) sentAfter(since time.Time) (requests, tokens int) {
	for _, s := range r.sent {
		if s.at.After(since) {
			requests++
			tokens += s.tokens
		}
	}
	return requests, tokens
}
