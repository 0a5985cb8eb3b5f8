// Package metrics counts requests, forwards, tokens and store calls of an instance, for
// Prometheus. No series carries an account, a key or a backend server as a label, so that
// the number of series does not grow with the fleet's 11,000 accounts.
package metrics

import (
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/basilroute/basilroute/service"
	"github.com/basilroute/basilroute/transport/outcome"
)

const namespace = "basilroute"

// Labels of the series.
const (
	labelService = "service"
	labelClass   = "class"
	labelCode    = "code"
	labelScope   = "scope"
	labelReason  = "reason"
	labelCall    = "call"
	labelResult  = "result"
)

// CodeDone is the code of a request with a complete response. Any other code is that of the
// refusal.
const CodeDone = "done"

// Scope says whether a request was forwarded within the region or to another one.
type Scope string

// Scopes of forwarding.
const (
	ScopeRegion Scope = "same_region"
	ScopeSpill  Scope = "other_region"
)

// DropReason says why a frame was dropped.
type DropReason string

// Reasons for dropping a frame.
const (
	DropForeign  DropReason = "foreign" // of another request or attempt
	DropRepeated DropReason = "repeated"
)

var (
	latencyBuckets   = []float64{.005, .01, .025, .05, .1, .25, .5, 1, 2.5, 5, 10, 30, 60}
	queueWaitBuckets = []float64{.001, .005, .01, .05, .1, .5, 1, 5, 30, 120}
)

// Recorder records the metrics of the request path. A nil Recorder records nothing. All
// methods are safe for concurrent use.
type Recorder struct {
	requests      *prometheus.CounterVec
	firstToken    *prometheus.HistogramVec
	duration      *prometheus.HistogramVec
	queueWait     *prometheus.HistogramVec
	outputTokens  *prometheus.CounterVec
	refusals      *prometheus.CounterVec
	forwarded     *prometheus.CounterVec
	retries       *prometheus.CounterVec
	dropped       *prometheus.CounterVec
	quota         *prometheus.CounterVec
	storeCalls    *prometheus.CounterVec
	storeDuration *prometheus.HistogramVec
	callers       *outcome.Counts
}

func counter(name, help string, labels ...string) *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help}, labels)
}

func histogram(name, help string, buckets []float64, labels ...string) *prometheus.HistogramVec {
	return prometheus.NewHistogramVec(prometheus.HistogramOpts{Namespace: namespace, Name: name, Help: help, Buckets: buckets}, labels)
}

// NewRecorder registers the series.
func NewRecorder(registry prometheus.Registerer) *Recorder {
	r := &Recorder{
		requests:      counter("requests_total", "Requests of callers that ended, by their code.", labelService, labelClass, labelCode),
		firstToken:    histogram("first_token_seconds", "From the request to its first token.", latencyBuckets, labelService, labelClass),
		duration:      histogram("request_seconds", "From the request to the end of its answer.", latencyBuckets, labelService, labelClass),
		queueWait:     histogram("queue_wait_seconds", "Time that a request waited in a queue.", queueWaitBuckets, labelService, labelClass),
		outputTokens:  counter("output_tokens_total", "Tokens handed to callers.", labelService),
		refusals:      counter("refusals_total", "Refusals answered, also those before a service was known.", labelCode),
		forwarded:     counter("forwarded_total", "Attempts sent to a peer of another failure domain.", labelService, labelScope),
		retries:       counter("retries_total", "Attempts after the first.", labelService),
		dropped:       counter("dropped_frames_total", "Frames of engines that did not belong to their stream.", labelReason),
		quota:         counter("quota_tokens_total", "Tokens charged to accounts, given back, and asked for but refused.", labelResult),
		storeCalls:    counter("store_calls_total", "Calls of the platform's services.", labelCall, labelResult),
		storeDuration: histogram("store_call_seconds", "Duration of calls of the platform's services, waiting watches left out.", latencyBuckets, labelCall),
		callers:       outcome.New(namespace, "caller"),
	}
	registry.MustRegister(r.requests, r.firstToken, r.duration, r.queueWait, r.outputTokens, r.refusals,
		r.forwarded, r.retries, r.dropped, r.quota, r.storeCalls, r.storeDuration, r.callers)
	return r
}

// Callers returns the counts of the requests of callers that were read whole.
func (r *Recorder) Callers() *outcome.Counts { return r.callers }

// RecordEnd counts a finished request and its output tokens, and observes its duration.
func (r *Recorder) RecordEnd(svc string, class service.Class, code string, took time.Duration, tokens int) {
	if r == nil {
		return
	}
	r.requests.WithLabelValues(svc, string(class), code).Inc()
	r.duration.WithLabelValues(svc, string(class)).Observe(took.Seconds())
	r.outputTokens.WithLabelValues(svc).Add(float64(tokens))
}

// RecordFirstToken observes the time to a request's first token.
func (r *Recorder) RecordFirstToken(svc string, class service.Class, took time.Duration) {
	if r == nil {
		return
	}
	r.firstToken.WithLabelValues(svc, string(class)).Observe(took.Seconds())
}

// RecordQueueTime observes how long a request waited in a queue, including a request that was
// refused there.
func (r *Recorder) RecordQueueTime(svc string, class service.Class, took time.Duration) {
	if r == nil {
		return
	}
	r.queueWait.WithLabelValues(svc, string(class)).Observe(took.Seconds())
}

// RecordRefusal counts a refusal that was sent to a caller.
func (r *Recorder) RecordRefusal(code string) {
	if r == nil {
		return
	}
	r.refusals.WithLabelValues(code).Inc()
}

// RecordForward counts an attempt sent to a peer.
func (r *Recorder) RecordForward(svc string, scope Scope) {
	if r == nil {
		return
	}
	r.forwarded.WithLabelValues(svc, string(scope)).Inc()
}

// RecordRetry counts an attempt after the first.
func (r *Recorder) RecordRetry(svc string) {
	if r == nil {
		return
	}
	r.retries.WithLabelValues(svc).Inc()
}

// RecordDroppedFrames counts dropped frames.
func (r *Recorder) RecordDroppedFrames(reason DropReason, frames int64) {
	if r == nil || frames == 0 {
		return
	}
	r.dropped.WithLabelValues(string(reason)).Add(float64(frames))
}

// QuotaResult is the result of a quota decision for requested tokens.
type QuotaResult string

// Results of quota decisions.
const (
	QuotaCharged  QuotaResult = "charged"
	QuotaRefunded QuotaResult = "refunded"
	QuotaRefused  QuotaResult = "refused"
)

// RecordQuota counts tokens by the result of the quota decision.
func (r *Recorder) RecordQuota(result QuotaResult, tokens float64) {
	if r == nil || tokens <= 0 {
		return
	}
	r.quota.WithLabelValues(string(result)).Add(tokens)
}

func statusResult(status int) string { return strconv.Itoa(status/100) + "xx" }
