package httproute

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// Metrics holds the metrics of HTTP routes. No label contains an account, a route or a
// server, so that the number of series grows only with the services.
type Metrics struct {
	requests  *prometheus.CounterVec
	seconds   *prometheus.HistogramVec
	retries   *prometheus.CounterVec
	forwards  *prometheus.CounterVec
	noService string
}

// NewMetrics creates and registers the metrics.
func NewMetrics(registry prometheus.Registerer) *Metrics {
	const namespace, subsystem = "basilroute", "route"
	m := &Metrics{
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: namespace, Subsystem: subsystem, Name: "requests_total",
			Help: "Requests of callers by what became of them.",
		}, []string{"service", "kind", "reason"}),
		seconds: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Namespace: namespace, Subsystem: subsystem, Name: "request_seconds",
			Help: "From the request to the end of its answer.", Buckets: []float64{.01, .03, .1, .3, 1, 3, 10},
		}, []string{"service", "kind"}),
		retries: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: namespace, Subsystem: subsystem, Name: "retries_total", Help: "Attempts after the first.",
		}, []string{"service"}),
		forwards: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: namespace, Subsystem: subsystem, Name: "forwarded_total", Help: "Attempts sent to another region.",
		}, []string{"service"}),
		noService: "none",
	}
	registry.MustRegister(m.requests, m.seconds, m.retries, m.forwards)
	return m
}

var kindNames = [...]string{"idempotent", "non_idempotent", "streaming"}

func (m *Metrics) requestEnded(r *request, refused *failure, took time.Duration) {
	service, kind := m.noService, "none"
	if r != nil && r.route != nil {
		service, kind = r.service, kindNames[r.route.Kind]
	}
	outcome := "served"
	if refused != nil {
		outcome = string(refused.reason)
	}
	m.requests.WithLabelValues(service, kind, outcome).Inc()
	m.seconds.WithLabelValues(service, kind).Observe(took.Seconds())
}

func (m *Metrics) retried(service string)   { m.retries.WithLabelValues(service).Inc() }
func (m *Metrics) forwarded(service string) { m.forwards.WithLabelValues(service).Inc() }
