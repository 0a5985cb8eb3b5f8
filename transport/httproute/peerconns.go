package httproute

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/basilroute/basilroute/transport/backendhttp"
)

// RegisterPeerConns registers the metrics of the connections to instances of other regions.
func RegisterPeerConns(registry prometheus.Registerer, peers *backendhttp.Client) {
	const (
		dials        = "peer_dials_ahead_total"
		dialsHelp    = "Dials to instances of other regions before a request needed a connection, by result."
		requests     = "peer_requests_total"
		requestsHelp = "Requests sent to instances of other regions, by the connection that they took."
	)
	for _, series := range []struct {
		name, help, label, value string
		read                     func(backendhttp.ConnStats) uint64
	}{
		{dials, dialsHelp, "result", "connected", func(s backendhttp.ConnStats) uint64 { return s.DialledAhead }},
		{dials, dialsHelp, "result", "failed", func(s backendhttp.ConnStats) uint64 { return s.FailedAhead }},
		{requests, requestsHelp, "connection", "reused", func(s backendhttp.ConnStats) uint64 { return s.OnReused }},
		{requests, requestsHelp, "connection", "ahead", func(s backendhttp.ConnStats) uint64 { return s.OnAhead }},
		{requests, requestsHelp, "connection", "new", func(s backendhttp.ConnStats) uint64 { return s.OnNew }},
	} {
		registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{
			Namespace: "basilroute", Subsystem: "route", Name: series.name, Help: series.help,
			ConstLabels: prometheus.Labels{series.label: series.value},
		}, func() float64 { return float64(series.read(peers.Stats())) }))
	}
}
