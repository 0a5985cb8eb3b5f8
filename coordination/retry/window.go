package retry

import (
	"sync"
	"time"
)

// WindowSettings bound the repeats of a service over the whole fleet: in every
// window at most Ratio times its requests, and Slack beside.
type WindowSettings struct {
	Ratio  float64
	Slack  float64
	Window time.Duration
}

const (
	// windowShare is the part of the bound that the fleet hands out. The rest covers
	// the windows that straddle a restart, after which an instance has forgotten
	// what it spent.
	windowShare = 0.6
	// windowParts is in how many parts a window is counted. A part is dropped as a
	// whole, so a window that is judged never holds more than is counted.
	windowParts = 10
)

// Window keeps one instance's part of the bound. It counts requests and repeats of
// the last window and allows a repeat while they stay within the ratio and an even
// part of the slack. It is safe for concurrent use.
type Window struct {
	settings WindowSettings

	mu       sync.Mutex
	services map[string]*counts
}

type counts struct {
	part     int64 // number of the latest part
	requests [windowParts]float64
	repeats  [windowParts]float64
}

// NewWindow returns a window that has seen nothing.
func NewWindow(settings WindowSettings) *Window {
	return &Window{settings: settings, services: make(map[string]*counts)}
}

func (w *Window) counts(service string, now time.Time) *counts {
	c := w.services[service]
	if c == nil {
		c = &counts{}
		w.services[service] = c
	}
	part := now.UnixNano() / int64(w.settings.Window/windowParts)
	for missed := min(part-c.part, windowParts); missed > 0; missed-- {
		at := (part - missed + 1) % windowParts
		c.requests[at], c.repeats[at] = 0, 0
	}
	c.part = max(c.part, part)
	return c
}

// RecordRequest counts a request of a caller.
func (w *Window) RecordRequest(service string, now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	c := w.counts(service, now)
	c.requests[c.part%windowParts]++
}

// Take spends one repeat. instances is how many share the slack.
func (w *Window) Take(service string, instances int, now time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	c := w.counts(service, now)
	requests, repeats := 0.0, 0.0
	for i := range c.requests {
		requests += c.requests[i]
		repeats += c.repeats[i]
	}
	limit := windowShare * (w.settings.Ratio*requests + w.settings.Slack/float64(max(instances, 1)))
	if repeats+1 > limit {
		return false
	}
	c.repeats[c.part%windowParts]++
	return true
}
