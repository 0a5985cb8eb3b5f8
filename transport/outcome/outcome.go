// Package outcome counts the requests that an instance has read whole, and how each of them
// has ended. At any moment as many were read as have ended and are in flight.
package outcome

import (
	"cmp"
	"log/slog"
	"maps"
	"slices"
	"sync"

	"github.com/prometheus/client_golang/prometheus"
)

// Outcome is what became of a request that was read whole.
type Outcome string

// Outcomes of a request that was read whole.
const (
	Answered   Outcome = "answered"    // a backend server's complete response reached the connection
	Refused    Outcome = "refused"     // this instance's own response did
	CallerGone Outcome = "caller_gone" // the caller left, or its connection failed
	Deadline   Outcome = "deadline"    // its deadline passed
	Cut        Outcome = "cut"         // the response was cut off, or there was none
	// Outlasted is a request that was read while the process was leaving, and that its exit ended.
	Outlasted Outcome = "outlasted"
)

// What a request ended by, where its outcome alone does not say it. A refused one ended by the reason
// of the refusal.
const (
	ByNothing  = "none"
	ByClose    = "closed"   // the caller closed its connection
	ByWrite    = "write"    // the connection failed while the response was written
	ByStatus   = "status"   // a response said that the deadline had passed
	ByBreak    = "cut"      // the deadline cut off a response
	ByServer   = "server"   // the response of the backend server ended early or was not valid
	BySilence  = "silence"  // the backend server sent nothing for too long
	ByPeer     = "peer"     // the response of another instance ended early
	ByShutdown = "shutdown" // the process ended; for a refused one, after it may have run
	ByPanic    = "panic"
)

// Ending is an outcome and what brought it about.
type Ending struct {
	Outcome Outcome
	By      string
}

// Totals are the counts at one moment: Read is the sum of all values of Ended and InFlight.
type Totals struct {
	Read     int
	InFlight int
	Ended    map[Ending]int
}

// Attrs returns the totals as attributes of a log line: the number of requests read, of each outcome,
// and of those cut off by what cut them.
func (t *Totals) Attrs() []any {
	outcomes := map[Outcome]int{Answered: 0, Refused: 0, CallerGone: 0, Deadline: 0, Cut: 0, Outlasted: 0}
	cuts := make(map[string]int)
	for ending, n := range t.Ended {
		outcomes[ending.Outcome] += n
		if ending.Outcome == Cut {
			cuts[ending.By] += n
		}
	}
	attrs := []any{slog.Int("read", t.Read), slog.Int("in_flight", t.InFlight)}
	for _, name := range slices.Sorted(maps.Keys(outcomes)) {
		attrs = append(attrs, slog.Int(string(name), outcomes[name]))
	}
	for _, by := range slices.Sorted(maps.Keys(cuts)) {
		attrs = append(attrs, slog.Int(string(Cut)+"_by_"+by, cuts[by]))
	}
	return attrs
}

// Counts are the counts of one kind of requests. They implement prometheus.Collector, with values that
// fit together in each collection. The methods are safe for concurrent use.
type Counts struct {
	mu           sync.Mutex
	totals       Totals
	leaving      bool
	lateInFlight int // requests in flight that were read while the process was leaving
	stopped      bool

	read, ended, inFlight *prometheus.Desc
}

// New returns counts whose series are named by a namespace and a subsystem.
func New(namespace, subsystem string) *Counts {
	name := func(name string) string { return prometheus.BuildFQName(namespace, subsystem, name) }
	return &Counts{
		totals:   Totals{Ended: make(map[Ending]int)},
		read:     prometheus.NewDesc(name("requests_read_total"), "Requests that were read whole.", nil, nil),
		ended:    prometheus.NewDesc(name("outcomes_total"), "Requests that were read whole and have ended, by how.", []string{"outcome", "by"}, nil),
		inFlight: prometheus.NewDesc(name("requests_in_flight"), "Requests that were read whole and have not ended.", nil, nil),
	}
}

// Describe implements prometheus.Collector.
func (c *Counts) Describe(descs chan<- *prometheus.Desc) {
	descs <- c.read
	descs <- c.ended
	descs <- c.inFlight
}

// Collect implements prometheus.Collector.
func (c *Counts) Collect(metrics chan<- prometheus.Metric) {
	totals := c.Totals()
	metrics <- prometheus.MustNewConstMetric(c.read, prometheus.CounterValue, float64(totals.Read))
	metrics <- prometheus.MustNewConstMetric(c.inFlight, prometheus.GaugeValue, float64(totals.InFlight))
	endings := slices.SortedFunc(maps.Keys(totals.Ended), func(a, b Ending) int {
		return cmp.Or(cmp.Compare(a.Outcome, b.Outcome), cmp.Compare(a.By, b.By))
	})
	for _, ending := range endings {
		metrics <- prometheus.MustNewConstMetric(c.ended, prometheus.CounterValue, float64(totals.Ended[ending]),
			string(ending.Outcome), ending.By)
	}
}

// Totals returns the counts.
func (c *Counts) Totals() Totals {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := c.totals
	out.Ended = maps.Clone(c.totals.Ended)
	return out
}

// Leave records that the process is leaving: from now on, requests are read that its exit must not end.
func (c *Counts) Leave() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.leaving = true
}

// Stop counts the requests in flight as cut off by the shutdown, also those that are read later, and
// returns the counts. It is called when the process is about to end.
func (c *Counts) Stop() Totals {
	c.mu.Lock()
	if !c.stopped {
		c.add(cutByShutdown, c.totals.InFlight-c.lateInFlight)
		c.add(outlasted, c.lateInFlight)
	}
	c.stopped, c.totals.InFlight, c.lateInFlight = true, 0, 0
	c.mu.Unlock()
	return c.Totals()
}

// add counts endings. The caller holds the lock.
func (c *Counts) add(ending Ending, n int) {
	if n > 0 {
		c.totals.Ended[ending] += n
	}
}

var (
	cutByShutdown = Ending{Cut, ByShutdown}
	outlasted     = Ending{Outlasted, ByShutdown}
)

// Request is one request among the counts. It counts from Read to End.
type Request struct {
	counts *Counts
	read   bool
	late   bool // it was read while the process was leaving
	ended  bool
	ending Ending
}

// Request returns a request that has not been read whole yet.
func (c *Counts) Request() *Request { return &Request{counts: c} }

// Read records that the request has been read whole. Only the first call counts.
func (r *Request) Read() {
	c := r.counts
	c.mu.Lock()
	defer c.mu.Unlock()
	if r.read {
		return
	}
	r.read, r.late = true, c.leaving
	c.totals.Read++
	if c.stopped {
		r.ended, r.ending = true, r.endedByExit()
		c.add(r.ending, 1)
		return
	}
	c.totals.InFlight++
	if r.late {
		c.lateInFlight++
	}
}

// endedByExit returns the ending of a request that the exit of the process ends.
func (r *Request) endedByExit() Ending {
	if r.late {
		return outlasted
	}
	return cutByShutdown
}

// End records how the request has ended, and returns the ending that counts: the first one, or that by
// the shutdown. A request that was not read whole does not count.
func (r *Request) End(ending Ending) Ending {
	c := r.counts
	c.mu.Lock()
	defer c.mu.Unlock()
	if r.ended {
		return r.ending
	}
	r.ended, r.ending = true, ending
	if !r.read {
		return ending
	}
	if c.stopped || r.late && ending.By == ByShutdown {
		r.ending = r.endedByExit()
	}
	if c.stopped {
		return r.ending // Stop has counted it
	}
	c.totals.InFlight--
	if r.late {
		c.lateInFlight--
	}
	c.add(r.ending, 1)
	return r.ending
}
