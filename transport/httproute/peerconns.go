package httproute

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/basilroute/basilroute/transport/backendhttp"
)

// RegisterPeerConns registers the metrics of the connections to instances of other regions.
func RegisterPeerConns(registry prometheus.Registerer, peers *backendhttp.Client) {
	const (
		dials, dialsHelp       = "peer_dials_ahead_total", "Connections to instances of other regions dialled before a request needed them, by result."
		requests, requestsHelp = "peer_requests_total", "Requests sent to instances of other regions, by the connection that they took: reused, ahead (dialled before) or new."
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
