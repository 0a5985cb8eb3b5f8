package routing

import (
	"slices"
	"time"

	"github.com/basilroute/basilroute/state/servers"
)

const (
	consecutiveErrorLimit = 3    // consecutive failed requests after which a server is ejected
	outlierFactor         = 4.0  // latency factor relative to the median from which a server is ejected
	sampleWeight          = 0.1  // of one request in the measurements of a server
	minLatencyFactor      = 0.25 // bounds of a sample: one outlier does not exclude a server
	maxLatencyFactor      = 8.0
	baseEjection          = 5 * time.Second // doubles with each ejection
	maxEjection           = time.Minute
	maxEjectionDoublings  = 4
)

// RecordFailure records a failed request and ejects the server after several consecutive
// ones. It reports whether it did.
func RecordFailure(table *servers.Table, e *servers.Entry, now time.Time) bool {
	if e.RecordError() < consecutiveErrorLimit {
		return false
	}
	return eject(table, e.View(), now)
}

// RecordResponse records a response: the time to the first token, the expected one, and the
// duration of the request.
func RecordResponse(e *servers.Entry, latency, expected, duration time.Duration) {
	e.RecordSuccess()
	v := e.View()
	mean := v.MeanDuration + time.Duration(sampleWeight*float64(duration-v.MeanDuration))
	if v.MeanDuration == 0 {
		mean = duration
	}
	factor := v.LatencyFactor
	if expected > 0 {
		sample := min(max(float64(latency)/float64(expected), minLatencyFactor), maxLatencyFactor)
		factor += sampleWeight * (sample - factor)
	}
	e.SetMeasurements(mean, factor)
}

// EjectSlow ejects the servers of a service that are much slower than the median.
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
		if v.Usable() && !v.Ejected(now) && v.LatencyFactor > outlierFactor*median && eject(table, v, now) {
			e.SetMeasurements(v.MeanDuration, median) // it returns with the median and is measured anew
		}
	}
}

func eject(table *servers.Table, v *servers.Server, now time.Time) bool {
	duration := min(baseEjection<<min(v.Ejections, maxEjectionDoublings), maxEjection)
	return table.Eject(v.Service, v.ID, now, now.Add(duration))
}
