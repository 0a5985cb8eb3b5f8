package httproute

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/basilroute/basilroute/coordination/membership"
	"github.com/basilroute/basilroute/coordination/placement"
	"github.com/basilroute/basilroute/coordination/spill"
)

// headerRoom carries the room of the responding instance's region, a roomReport in JSON.
const headerRoom = "Basilroute-Room"

// roomReport is the room of a region for one service.
type roomReport struct {
	Servers      int   `json:"servers"`
	Running      int   `json:"running"`
	FreeSlots    int   `json:"free"`
	StallPercent int   `json:"stall"`
	ExpectedMs   int64 `json:"expected_ms"`
	PrefillRate  int   `json:"prefill_rate"`
	WaitMs       int64 `json:"wait_ms"` // of a less urgent request, until it gets a slot
}

// memberReportAge is the maximum age of a report when it comes with the exchange of members: each
// instance makes one in each of its rounds.
const memberReportAge = membership.RoundInterval

// summaryTTL is how long a summary of the local servers is used again: that of load reports.
const summaryTTL = 20 * time.Millisecond

// summaries keeps the latest summary of each service.
type summaries struct {
	mu        sync.Mutex
	byService map[string]timedSummary
}

type timedSummary struct {
	encoded string
	at      time.Time
}

// encoded returns the report of a pool for other regions.
func (s *summaries) encoded(service string, pool *placement.Pool, wait time.Duration, now time.Time) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if last, ok := s.byService[service]; ok && now.Sub(last.at) < summaryTTL {
		return last.encoded
	}
	summary := pool.Summarize(now)
	encoded, _ := json.Marshal(roomReport{ // numbers always marshal
		Servers: summary.Servers, Running: summary.Running, FreeSlots: summary.FreeSlots,
		StallPercent: int(100 * summary.StallFraction), ExpectedMs: summary.ExpectedFirstByte.Milliseconds(),
		PrefillRate: int(summary.PrefillRate), WaitMs: wait.Milliseconds(),
	})
	if s.byService == nil {
		s.byService = make(map[string]timedSummary)
	}
	s.byService[service] = timedSummary{encoded: string(encoded), at: now}
	return string(encoded)
}

// regionRooms is the room of other regions as far as this instance knows.
type regionRooms struct {
	mu    sync.Mutex
	rooms *spill.Rooms
}

func (r *regionRooms) known() *spill.Rooms {
	if r.rooms == nil {
		r.rooms = spill.NewRooms()
	}
	return r.rooms
}

// recordResponse takes over the report of a response to a forwarded request.
func (r *regionRooms) recordResponse(remote *Remote, service string, header http.Header, now time.Time) {
	value := header.Get(headerRoom)
	delete(header, headerRoom)
	if value == "" {
		return // an instance of an earlier version
	}
	var report roomReport
	if err := json.Unmarshal([]byte(value), &report); err != nil {
		return // the next response brings another report
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.known().Record(remote.Region, service, spill.Report{
		Servers: report.Servers, Running: report.Running, FreeSlots: report.FreeSlots, StallFraction: float64(report.StallPercent) / 100,
		ExpectedFirstByte: time.Duration(report.ExpectedMs) * time.Millisecond, PrefillRate: float64(report.PrefillRate), ReceivedAt: now,
		Wait: time.Duration(report.WaitMs) * time.Millisecond,
	})
}

func (r *regionRooms) recordSend(remote *Remote, service string, tokens int, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.known().RecordSend(remote.Region, service, tokens, now)
}

// update replaces what the member list says about a region by what is known of it now. It reports
// whether the region's room is known.
func (r *regionRooms) update(remote *Remote, service string, instances int, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	rooms := r.known()
	rooms.SetInstances(instances)
	rooms.Record(remote.Region, service, spill.Report{
		Servers: remote.Servers, Running: remote.Running, FreeSlots: remote.FreeSlots, StallFraction: remote.StallFraction,
		ExpectedFirstByte: remote.ExpectedFirstByte, ReceivedAt: remote.ReportedAt, Age: memberReportAge,
	})
	latest, known := rooms.Latest(remote.Region, service, remote.RoundTrip, now)
	if !known {
		return false
	}
	remote.Servers, remote.Running, remote.FreeSlots = latest.Servers, latest.Running, latest.FreeSlots
	remote.StallFraction, remote.ExpectedFirstByte, remote.ReportedAt = latest.StallFraction, latest.ExpectedFirstByte, latest.ReceivedAt
	remote.PrefillRate, remote.Wait = latest.PrefillRate, latest.Wait
	return true
}
