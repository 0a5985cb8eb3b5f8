package streambuild

import (
	"sync"
	"time"
)

const (
	// maxRecords bounds each half of the records. At the design load an instance keeps some two thousand.
	maxRecords = 1 << 15
	// maxRunning bounds the running streams that are not reported yet.
	maxRunning = 4096
)

// Records holds the origins of streams that began at this instance or for which it is a keeper. It is safe for
// concurrent use.
type Records struct {
	mu         sync.Mutex
	current    map[StreamID]Origin
	previous   map[StreamID]Origin
	rotatedAt  time.Time
	unreported map[StreamID]Origin // streams of this instance that are running and were not sent to their keepers
}

// NewRecords returns an empty set of records.
func NewRecords(now time.Time) *Records {
	return &Records{current: make(map[StreamID]Origin), rotatedAt: now, unreported: make(map[StreamID]Origin)}
}

// Keep adds a record.
func (r *Records) Keep(record Record, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.keep(record, now)
}

func (r *Records) keep(record Record, now time.Time) {
	if now.Sub(r.rotatedAt) >= StreamLifetime || len(r.current) >= maxRecords {
		r.rotate(now)
	}
	if known, ok := r.find(record.Stream); ok && record.Origin.IsRefused() {
		record.Origin = known
	}
	r.current[record.Stream] = record.Origin
}

// rotate drops the older half of the records, and what they leave of the unreported streams.
func (r *Records) rotate(now time.Time) {
	dropped := r.previous
	r.previous, r.current, r.rotatedAt = r.current, make(map[StreamID]Origin), now
	for stream := range dropped {
		if _, kept := r.previous[stream]; !kept {
			delete(r.unreported, stream)
		}
	}
}

// Begin adds the record of a stream that this instance has not reported to the keepers.
func (r *Records) Begin(record Record, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.keep(record, now)
	if len(r.unreported) < maxRunning {
		r.unreported[record.Stream] = record.Origin
	}
}

// End records that a stream is complete and will not be taken up.
func (r *Records) End(stream StreamID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.unreported, stream)
}

// TakeUnreported returns the records of a service's streams that were not reported to the keepers. They count as
// reported from then on.
func (r *Records) TakeUnreported(service string) []Record {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []Record
	for stream, origin := range r.unreported {
		if origin.Service == service {
			out = append(out, Record{stream, origin})
			delete(r.unreported, stream)
		}
	}
	return out
}

// Find returns the origin of a stream.
func (r *Records) Find(stream StreamID) (Origin, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.find(stream)
}

func (r *Records) find(stream StreamID) (Origin, bool) {
	if origin, ok := r.current[stream]; ok {
		return origin, true
	}
	origin, ok := r.previous[stream]
	return origin, ok
}

// Len returns how many records are held.
func (r *Records) Len() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.current) + len(r.previous)
}
