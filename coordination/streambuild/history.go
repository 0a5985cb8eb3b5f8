package streambuild

import (
	"maps"
	"slices"
	"sync"
	"time"
)

// History records which builds the servers of each service had lately. It is safe for concurrent use.
type History struct {
	mu       sync.Mutex
	since    time.Time                       // from when on the builds are known
	lastSeen map[string]map[string]time.Time // by service and build
}

// NewHistory returns a history that begins at a time.
func NewHistory(since time.Time) *History {
	return &History{since: since, lastSeen: make(map[string]map[string]time.Time)}
}

// SetComplete records that no server ran before the history began.
func (h *History) SetComplete() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.since = time.Time{}
}

// Saw records that a service has servers of a build. It reports whether this is another build than those of the last
// StreamLifetime.
func (h *History) Saw(o Origin, now time.Time) (added bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	builds := h.lastSeen[o.Service]
	if builds == nil {
		builds = make(map[string]time.Time)
		h.lastSeen[o.Service] = builds
	}
	last, known := builds[o.Build]
	builds[o.Build] = now
	return !known || now.Sub(last) > StreamLifetime
}

// Restore adds builds that other instances have seen, by service. complete says that they have seen all.
func (h *History) Restore(builds map[string][]string, complete bool, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if complete {
		h.since = time.Time{}
	}
	for service, all := range builds {
		if h.lastSeen[service] == nil {
			h.lastSeen[service] = make(map[string]time.Time)
		}
		for _, build := range all {
			if h.lastSeen[service][build].Before(now) {
				h.lastSeen[service][build] = now
			}
		}
	}
}

// All returns the builds that services had for StreamLifetime, by service and in order, and whether these are all.
func (h *History) All(now time.Time) (builds map[string][]string, covered bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	builds = make(map[string][]string)
	for service, seen := range h.lastSeen {
		for build, last := range seen {
			if now.Sub(last) <= StreamLifetime {
				builds[service] = append(builds[service], build)
			}
		}
		slices.Sort(builds[service])
	}
	return builds, now.Sub(h.since) >= StreamLifetime
}

// Services returns the services that had servers.
func (h *History) Services() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.Sorted(maps.Keys(h.lastSeen))
}

// Builds returns what is known of the builds that a service had for StreamLifetime.
func (h *History) Builds(service string, now time.Time) Builds {
	h.mu.Lock()
	defer h.mu.Unlock()
	builds := h.lastSeen[service]
	maps.DeleteFunc(builds, func(_ string, last time.Time) bool { return now.Sub(last) > StreamLifetime })
	out := Builds{Count: len(builds), Covered: now.Sub(h.since) >= StreamLifetime}
	if out.Count == 1 {
		for build := range builds {
			out.One = build
		}
	}
	return out
}

// HadOneBuild reports whether a service had one build for StreamLifetime and certainly no other.
func (h *History) HadOneBuild(service string, now time.Time) bool {
	b := h.Builds(service, now)
	return b.Covered && b.Count == 1
}
