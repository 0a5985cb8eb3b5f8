package retry

import (
	"sync"
	"time"
)

// WindowSettings bound the retries of a service over the whole fleet: in every window at
// most Ratio times its requests, plus Slack.
type WindowSettings struct {
	Ratio  float64
	Slack  float64
	Window time.Duration
}

const (
	// windowFraction is the fraction of the bound that instances use. The rest covers
	// windows that include a restart, after which an instance no longer knows which
	// retries it has spent.
	windowFraction = 0.6
	// windowBuckets is the number of buckets that a window is counted in. A bucket is
	// dropped as a whole, so the counted period is at least nine tenths of a window and
	// never longer than a window.
	windowBuckets = 10
)

// Window enforces one instance's share of the bound. It counts requests and retries of
// the last window and allows a retry within the ratio and an even share of the slack.
// It is safe for concurrent use.
type Window struct {
	settings WindowSettings

	mu       sync.Mutex
	services map[string]*counts
}

type counts struct {
	bucket   int64 // number of the current bucket since the Unix epoch
	requests [windowBuckets]float64
	retries  [windowBuckets]float64
}

// NewWindow returns a window without requests and retries.
func NewWindow(settings WindowSettings) *Window {
	return &Window{settings: settings, services: make(map[string]*counts)}
}

func (w *Window) counts(service string, now time.Time) *counts {
	c := w.services[service]
	if c == nil {
		c = &counts{}
		w.services[service] = c
	}
	bucket := now.UnixNano() / int64(w.settings.Window/windowBuckets)
	for missed := min(bucket-c.bucket, windowBuckets); missed > 0; missed-- {
		at := (bucket - missed + 1) % windowBuckets
		c.requests[at], c.retries[at] = 0, 0
	}
	c.bucket = max(c.bucket, bucket)
	return c
}

// RecordRequest counts a request of a caller.
func (w *Window) RecordRequest(service string, now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	c := w.counts(service, now)
	c.requests[c.bucket%windowBuckets]++
}

// Take spends one retry and reports whether it is allowed. instances is the number of
// instances that share the slack.
func (w *Window) Take(service string, instances int, now time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	c := w.counts(service, now)
	requests, retries := 0.0, 0.0
	for i := range c.requests {
		requests += c.requests[i]
		retries += c.retries[i]
	}
	limit := windowFraction * (w.settings.Ratio*requests + w.settings.Slack/float64(max(instances, 1)))
	if retries+1 > limit {
		return false
	}
	c.retries[c.bucket%windowBuckets]++
	return true
}
