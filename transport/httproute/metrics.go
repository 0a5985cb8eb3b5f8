package httproute

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/basilroute/basilroute/coordination/waitqueue"
	"github.com/basilroute/basilroute/transport/outcome"
)

// Metrics holds the metrics of HTTP routes. No label contains an account, a route or a
// server, so that the number of series grows only with the services.
type Metrics struct {
	requests  *prometheus.CounterVec
	seconds   *prometheus.HistogramVec
	retries   *prometheus.CounterVec
	forwards  *prometheus.CounterVec
	steps     *prometheus.HistogramVec
	deviation *prometheus.HistogramVec
	notices   *prometheus.CounterVec
	against   *prometheus.CounterVec
	waits     *prometheus.HistogramVec
	refusals  *prometheus.CounterVec
	returns   *prometheus.CounterVec
	takeUps   *prometheus.CounterVec
	parts     *prometheus.CounterVec
	handovers *prometheus.CounterVec
	malformed *prometheus.CounterVec

	responseEnds *prometheus.CounterVec

	noService string

	callers *outcome.Counts // requests of callers
	peers   *outcome.Counts // requests that other instances forward
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
		steps: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Namespace: namespace, Subsystem: subsystem, Name: "step_seconds",
			Help:    "Steps of requests: until the first attempt, from an attempt to its first byte here or by way of another region, from the first byte to the end.",
			Buckets: []float64{.003, .01, .03, .1, .2, .3, .6, 1, 3, 10},
		}, []string{"service", "step"}),
		deviation: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Namespace: namespace, Subsystem: subsystem, Name: "first_byte_error_seconds",
			Help:    "How much later a first byte came than expected when its server or region was chosen.",
			Buckets: []float64{-1, -.3, -.1, -.03, 0, .03, .1, .3, 1, 3},
		}, []string{"service", "step"}),
		notices: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: namespace, Subsystem: subsystem, Name: "server_notices_total",
			Help: "Backend servers that said in an answer that they leave, or that they want no requests for a time.",
		}, []string{"service", "notice"}),
		against: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: namespace, Subsystem: subsystem, Name: "sent_against_notice_total",
			Help: "Requests sent to a backend server after it had said that it leaves, or while it wants none.",
		}, []string{"service", "notice"}),
		waits: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Namespace: namespace, Subsystem: subsystem, Name: "wait_seconds",
			Help: "Time that requests waited for a slot, by how the wait ended.", Buckets: []float64{.01, .03, .1, .3, .6, 1, 2, 4, 8},
		}, []string{"service", "outcome"}),
		refusals: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: namespace, Subsystem: subsystem, Name: "wait_refusals_total",
			Help: "Requests that found no slot and were refused at once, by reason.",
		}, []string{"service", "reason"}),
		returns: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: namespace, Subsystem: subsystem, Name: "returns_total",
			Help: "Requests whose caller returned after a refusal and found no slot at once, by whether they were placed.",
		}, []string{"service", "outcome"}),
		takeUps: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: namespace, Subsystem: subsystem, Name: "streams_taken_up_total",
			Help: "Interrupted streams that callers took up again, by whether the build that began them was found.",
		}, []string{"service", "outcome"}),
		parts: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: namespace, Subsystem: subsystem, Name: "crashing_part_requests_total",
			Help: "Requests with a part in their prompts that crashes servers: refused, or tried to find out whether it still does.",
		}, []string{"service", "outcome"}),
		handovers: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: namespace, Subsystem: subsystem, Name: "handovers_total",
			Help: "Other servers that were tried while the one with the request was silent, by whether the request moved.",
		}, []string{"service", "outcome"}),
		malformed: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: namespace, Subsystem: subsystem, Name: "malformed_responses_total",
			Help: "Responses that were not valid or exceeded a bound in bytes, by whether a backend server or another instance sent them.",
		}, []string{"service", "sender"}),
		responseEnds: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: namespace, Subsystem: subsystem, Name: "response_ends_total",
			Help: "Responses by sender, by what shows their end (a length, chunks, the end of the connection), and by whether they were taken for whole.",
		}, []string{"service", "sender", "framing", "end"}),
		noService: "none",
		callers:   outcome.New(namespace, subsystem),
		peers:     outcome.New(namespace, "relay"),
	}
	registry.MustRegister(m.requests, m.seconds, m.retries, m.forwards, m.steps, m.deviation, m.notices, m.against, m.waits, m.refusals, m.returns, m.takeUps, m.parts, m.handovers, m.malformed, m.responseEnds, m.callers, m.peers)
	return m
}

// Leave records that the instance is leaving: no request that is read from now on may be ended by its exit.
func (m *Metrics) Leave() {
	m.callers.Leave()
	m.peers.Leave()
}

// StopOutcomes counts all requests in flight as cut off by the shutdown, and returns the counts of
// callers' and of forwarded requests.
func (m *Metrics) StopOutcomes() (callers, forwarded outcome.Totals) {
	return m.callers.Stop(), m.peers.Stop()
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
	if refused == nil && r != nil && r.firstByte > 0 {
		m.stepEnded(service, stepRest, took-r.firstByte)
	}
}

// Steps of a request.
const (
	stepAdmission = "admission" // until the first attempt: body, key, tokens of the account, startup
	stepLocal     = "local"     // from an attempt in this region to its first byte
	stepForwarded = "forwarded" // the same by way of another region
	stepRest      = "rest"      // from the first byte to the end
)

func (m *Metrics) stepEnded(service, step string, took time.Duration) {
	m.steps.WithLabelValues(service, step).Observe(took.Seconds())
}

// firstByte records the step that ends with a first byte, and by how much it took longer than
// expected.
func (m *Metrics) firstByte(service, step string, took, expected time.Duration) {
	m.stepEnded(service, step, took)
	m.deviation.WithLabelValues(service, step).Observe((took - expected).Seconds())
}

// Outcomes of a stream that a caller takes up again.
const (
	takenUpPinned     = "pinned"     // its build is known
	takenUpUnknown    = "unknown"    // no instance knows its build
	takenUpUnanswered = "unanswered" // no other instance could be asked
)

func (m *Metrics) takenUp(service, outcome string) { m.takeUps.WithLabelValues(service, outcome).Inc() }

func (m *Metrics) partRefused(service string) { m.parts.WithLabelValues(service, "refused").Inc() }
func (m *Metrics) partTried(service string)   { m.parts.WithLabelValues(service, "tried").Inc() }

func (m *Metrics) retried(service string) { m.retries.WithLabelValues(service).Inc() }
func (m *Metrics) handedOver(service, outcome string) {
	m.handovers.WithLabelValues(service, outcome).Inc()
}
func (m *Metrics) forwarded(service string) { m.forwards.WithLabelValues(service).Inc() }

// What a backend server says about itself in an answer.
const (
	noticeLeaving = "leaving"
	noticeRest    = "rest"
)

func (m *Metrics) noticed(service, notice string) { m.notices.WithLabelValues(service, notice).Inc() }
func (m *Metrics) sentAgainst(service, notice string) {
	m.against.WithLabelValues(service, notice).Inc()
}

// Outcomes of a wait.
const (
	waitStarted     = "started"
	waitStartedLate = "started_late"
	waitRefused     = "refused"
	waitLeft        = "left" // the caller disconnected, or its deadline passed
)

func waitOutcome(ticket *waitqueue.Ticket[*waiter], failed *failure) string {
	switch {
	case failed == nil && ticket.Late:
		return waitStartedLate
	case failed == nil:
		return waitStarted
	case failed.reason == reasonDeadline:
		return waitLeft
	}
	return waitRefused
}

func (m *Metrics) waited(service, outcome string, took time.Duration) {
	m.waits.WithLabelValues(service, outcome).Observe(took.Seconds())
}

func (m *Metrics) notWaited(service string, reason waitqueue.Reason) {
	m.refusals.WithLabelValues(service, string(reason)).Inc()
}

// returned records what became of a request whose caller was refused before.
func (m *Metrics) returned(service string, returned, placed bool) {
	switch {
	case !returned:
	case placed:
		m.returns.WithLabelValues(service, "placed").Inc()
	default:
		m.returns.WithLabelValues(service, "refused").Inc()
	}
}
