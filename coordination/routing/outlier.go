package routing

import (
	"slices"
	"time"

	"github.com/basilroute/basilroute/state/servers"
)

const (
	errorLimit     = 3    // failed requests in a row after which a server is set aside
	slowOutlier    = 4.0  // latency factor against the median that sets a server aside
	sampleWeight   = 0.1  // of one request in what is measured of a server
	minFactor      = 0.25 // bounds of the latency factor: one odd sample does not shut a server out
	maxFactor      = 8.0
	ejectFor       = 5 * time.Second // doubles each time
	maxEjectFor    = time.Minute
	maxEjectDouble = 4
)

// RecordFailure takes in a failed request and sets the server aside when it is one of
// several in a row. It tells whether it did.
func RecordFailure(table *servers.Table, e *servers.Entry, now time.Time) bool {
	if e.RecordError() < errorLimit {
		return false
	}
	return eject(table, e.View(), now)
}

// RecordResponse takes in an answer: the time to the first token, the one that was
// expected of it, and how long the request lasted.
func RecordResponse(e *servers.Entry, latency, expected, duration time.Duration) {
	e.RecordSuccess()
	v := e.View()
	mean := v.MeanDuration + time.Duration(sampleWeight*float64(duration-v.MeanDuration))
	if v.MeanDuration == 0 {
		mean = duration
	}
	factor := v.LatencyFactor
	if expected > 0 {
		sample := min(max(float64(latency)/float64(expected), minFactor), maxFactor)
		factor += sampleWeight * (sample - factor)
	}
	e.SetMeasurements(mean, factor)
}

// EjectSlow sets aside the servers of a service that are much slower than the median.
func EjectSlow(table *servers.Table, service string, now time.Time) {
	list := table.Entries(service)
	factors := make([]float64, 0, len(list))
	for _, e := range list {
		if v := e.View(); v.Usable() {
			factors = append(factors, v.LatencyFactor)
		}
	}
	if len(factors) < 3 {
		return
	}
	slices.Sort(factors)
	median := factors[len(factors)/2]
	for _, e := range list {
		v := e.View()
		if v.Usable() && !v.Ejected(now) && v.LatencyFactor > slowOutlier*median && eject(table, v, now) {
			e.SetMeasurements(v.MeanDuration, median) // it comes back with a clean sheet and is judged anew
		}
	}
}

func eject(table *servers.Table, v *servers.Server, now time.Time) bool {
	pause := min(ejectFor<<min(v.Ejections, maxEjectDouble), maxEjectFor)
	return table.Eject(v.Service, v.ID, now, now.Add(pause))
}
