package httproute

import (
	"context"
	"log/slog"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/basilroute/basilroute/coordination/placement"
	"github.com/basilroute/basilroute/coordination/quarantine"
	"github.com/basilroute/basilroute/coordination/quota"
	"github.com/basilroute/basilroute/coordination/retry"
	"github.com/basilroute/basilroute/service/features"
	"github.com/basilroute/basilroute/state/routes"
	"github.com/basilroute/basilroute/transport/backendhttp"
	"github.com/basilroute/basilroute/transport/outcome"
)

// Remote is the state of another region for one service, as reported by one of its
// instances.
type Remote struct {
	Region            string
	Instance          string
	Address           string        // where the instance accepts forwarded requests
	RoundTrip         time.Duration // network round-trip time
	Servers           int
	Running           int           // requests at its servers
	FreeSlots         int           // requests that could start at once
	StallFraction     float64       // fraction of its servers' time that does not go into decoding running generations
	ExpectedFirstByte time.Duration // in the remote region, for an ordinary request
	PrefillRate       float64       // prompt tokens per second of one of its servers; 0 if not known
	Wait              time.Duration // of a less urgent request in the remote region, until it gets a slot
	ReportedAt        time.Time     // time of the last load report
}

// Remotes provides the known state of the other regions.
type Remotes interface {
	// Remotes returns one reachable instance of each other region.
	Remotes(service string) []Remote
	// MarkUnreachable records that an instance could not be reached, or takes no requests.
	MarkUnreachable(instance string)
	// InstanceCounts returns the number of live instances in the fleet and in the local
	// region.
	InstanceCounts() (fleet, region int)
}

// Front serves the requests of callers.
type Front struct {
	Region    string
	Codec     Codec
	Routes    *routes.Table
	Ledger    *quota.Ledger
	Retries   *retry.Window
	Remotes   Remotes
	Builds    StreamBuilds
	Local     *LocalDispatcher
	Peers     *backendhttp.Client
	WarmPeers *backendhttp.Client // for requests that are forwarded by room; keeps connections ready
	Log       *slog.Logger
	Metrics   *Metrics
	Features  features.Set
	Memory    *Budget // for bodies and unread responses; nil for no limit
	// Stopping reports whether this instance is about to exit and accepts no more
	// requests.
	Stopping func() bool
	// TimeToShutdown returns how long this instance keeps running after it has started to
	// leave; 0 before that.
	TimeToShutdown func() time.Duration
	// Exit ends when the instance exits and cuts the requests that are still in flight; nil for never.
	Exit context.Context
	// Starting reports whether this instance has just started and may still lack
	// configuration, servers or peers.
	Starting func() bool
	// Leaving reports whether callers are to close their connections.
	Leaving func() bool

	sent  sentLoad
	rooms regionRooms
}

// request is the state of one request of a caller.
type request struct {
	Call
	config       *routes.Config
	route        *routes.Route
	account      *routes.Account
	service      string
	header       http.Header // the caller's end-to-end headers
	method       string
	target       string
	host         string
	body         []byte
	arrived      time.Time
	deadline     time.Time
	print        string               // fingerprint of the request
	parts        []quarantine.PartKey // parts of the prompt that may be blamed for a crash
	suspects     []quarantine.PartKey // the parts and the request itself
	trial        bool                 // it finds out whether its parts still crash servers
	work         placement.Request
	build        atomic.Pointer[placement.Build] // that the stream may go on at; nil before it has begun
	triedRegions []string
	refusedOnce  []string      // regions of which one instance refused the request for itself
	broken       brokenRegions // attempts that other regions did not complete
	sends        int           // sends to backend servers
	trace        []traceStep
	server       string        // the server that responded last, in any region
	firstByte    time.Duration // time until the head of the response
	gaps         eventGaps     // between the events of the response
	tries        int           // attempts, sent or not
	hasWaited    bool          // it has waited for a slot
	interruption *failure      // that last broke off the response of a server; nil if none did
	callerLeft   bool          // the caller left before it had the whole response
}

// accountName returns the name of the request's account, or an empty string if it has
// none.
func (r *request) accountName() string {
	if r.account == nil {
		return ""
	}
	return r.account.Name
}

// ServeHTTP implements http.Handler.
func (f *Front) ServeHTTP(w http.ResponseWriter, hr *http.Request) {
	whole := resetUnlessWhole(hr)
	f.serveCaller(w, hr, time.Now())
	whole() // not reached by a response that was cut, which panics
}

func (f *Front) serveCaller(w http.ResponseWriter, hr *http.Request, arrived time.Time) {
	if f.Leaving() {
		w.Header().Set("Connection", "close")
	}
	watched, counted := outcome.Watch(w, hr), f.Metrics.callers.Request()
	var r *request
	var refused *failure
	defer counted.End(cutByPanic) // counts only if nothing else has ended the request
	defer func() {
		if cause := recover(); cause != nil {
			f.endPanicked(watched, hr, r, cause, counted, arrived)
		}
	}()
	if hr.ContentLength == 0 {
		counted.Read()
	}
	r, refused = f.accept(w, hr, arrived)
	if r != nil {
		defer func() { f.Memory.Release(len(r.body)) }()
	}
	if refused == nil {
		counted.Read()
		refused = f.admit(hr.Context(), r)
	}
	if refused == nil {
		refused = f.serve(watched, hr, r)
		f.endTrial(r, refused)
	}
	if refused != nil && f.Leaving() { // since the request arrived
		w.Header().Set("Connection", "close")
	}
	f.finish(watched, hr, r, refused, counted, arrived)
}

// finish writes the final response of a request that was not served, counts how the request has
// ended, and logs its trace.
func (f *Front) finish(w *outcome.Writer, hr *http.Request, r *request, refused *failure, counted *outcome.Request, arrived time.Time) {
	took := time.Since(arrived)
	started := refused != nil && refused.responseStarted
	if refused != nil && !started {
		refuseAtOnce(w, refused) // a caller whose context has ended may have closed its sending side only
	}
	f.Metrics.requestEnded(r, refused, took)
	if r == nil {
		r = &request{Call: f.Codec.DecodeCall(hr.Header), arrived: arrived}
	}
	ending := counted.End(endingOf(w, r, refused))
	r.recordEnd(refused, ending, hr.Context().Err() != nil, took)
	r.logTrace(f.Log, ending, took)
	if started {
		// Aborts the connection before the end of the body, so that the caller sees that
		// the response is incomplete.
		panic(http.ErrAbortHandler)
	}
	if refused == nil {
		return
	}
	if err := discardBody(w, hr); err != nil {
		f.Log.Debug("body_not_read", "request", r.RequestID, "error", err.Error())
		panic(http.ErrAbortHandler)
	}
}

// accept reads a request and finds its route and account. The bytes of its body are taken from the
// memory.
func (f *Front) accept(w http.ResponseWriter, hr *http.Request, arrived time.Time) (*request, *failure) {
	config := f.awaitConfig(hr.Context())
	if config == nil {
		return nil, &failure{run: runNotRun, reason: reasonNotReady, retryAfter: notReadyRetryAfter}
	}
	if limit := config.Limits.HeaderBytes; limit > 0 && headerBytes(hr) > limit {
		return nil, &failure{run: runNotRun, reason: reasonHeader}
	}
	route := config.Match(hr.Host, hr.URL.Path)
	if route == nil {
		return nil, &failure{run: runNotRun, reason: reasonNoRoute}
	}
	r := &request{
		Call: f.Codec.DecodeCall(hr.Header), config: config, route: route, header: EndToEnd(hr.Header),
		method: hr.Method, target: hr.RequestURI, host: hr.Host, arrived: arrived,
	}
	r.service = route.PickService(r.RequestID)
	if f.Stopping() || f.mayOutlastInstance(r) {
		return nil, stoppingFailure()
	}
	if len(config.Accounts) > 0 && !route.Public {
		if r.account = config.Authenticate(r.Key); r.account == nil {
			return r, &failure{run: runNotRun, reason: reasonKey}
		}
	}
	if r.InvalidHeader != "" {
		return r, &failure{run: runNotRun, reason: reasonInvalid, cause: errors.Newf("header %s", r.InvalidHeader)}
	}
	var refused *failure
	r.body, refused = f.readBody(w, hr, config.Limits.BodyBytes)
	return r, refused
}

// admit sets what the placement of an accepted request depends on.
func (f *Front) admit(ctx context.Context, r *request) *failure {
	if ctx.Err() != nil {
		return &failure{run: runNotRun, reason: reasonCallerGone}
	}
	r.recordAdmitted()
	if refused := f.pinBuild(ctx, r); refused != nil {
		return refused
	}
	f.prepare(r)
	return nil
}

// headerBytes returns the size of a request's header fields as they were sent. The limit
// of the HTTP server itself is fixed at start and is above the limits that operators set.
func headerBytes(hr *http.Request) int {
	const separators = len(": \r\n")
	size := len("Host") + separators + len(hr.Host)
	for name, values := range hr.Header {
		for _, value := range values {
			size += len(name) + separators + len(value)
		}
	}
	return size
}

// readBody reads the whole body, which it takes from the budget. net/http detects that a caller has disconnected only
// after its request has been read completely.
func (f *Front) readBody(w http.ResponseWriter, hr *http.Request, limit int64) ([]byte, *failure) {
	if hr.ContentLength == 0 {
		return nil, nil
	}
	reader := hr.Body
	if limit > 0 {
		reader = http.MaxBytesReader(w, hr.Body, limit)
	}
	body, err := f.Memory.readAll(reader)
	var tooLarge *http.MaxBytesError
	switch {
	case errors.Is(err, errBudgetSpent):
		return nil, &failure{run: runNotRun, reason: reasonMemory}
	case errors.As(err, &tooLarge):
		return nil, &failure{run: runNotRun, reason: reasonBody}
	case err != nil:
		// The caller closed the connection early or its framing is invalid; no response
		// is possible.
		panic(http.ErrAbortHandler)
	}
	return body, nil
}

// notReadyRetryAfter is the Retry-After of an instance that has just started. It reads the
// configuration within two one-way delays between regions.
const notReadyRetryAfter = 200 * time.Millisecond

// defaultTimeout bounds a request if neither its caller nor its route sets a limit.
const defaultTimeout = time.Minute

// wait returns how long the caller waits.
func (r *request) wait() time.Duration {
	wait := defaultTimeout
	for _, limit := range []time.Duration{r.route.Timeout, r.CallerTimeout} {
		if limit > 0 {
			wait = min(wait, limit)
		}
	}
	return wait
}

// prepare sets the deadline, the fingerprint and the placement inputs of a request.
func (f *Front) prepare(r *request) {
	r.deadline = r.end()
	r.print = quarantine.Fingerprint(r.accountName(), r.host, r.method+" "+r.target+"\n"+string(r.body))
	r.parts = partsOf(r.service, r.Segments)
	r.suspects = suspectsOf(r.print, r.parts)
	r.work = placement.Request{
		Segments: r.Segments, Tokens: r.PromptTokens, Urgency: f.precedence(r).Rank(r.route, r.account), Objective: r.route.Objective, MaxEventGap: r.route.GapObjective,
		Arrived: r.arrived, Deadline: r.deadline, Probe: r.route.Repeatable(),
		AllowEjected: r.route.Kind != routes.KindNonIdempotent, Build: r.requiredBuild(),
	}
}

// serve charges a request and runs it. It returns nil if the caller got a response.
func (f *Front) serve(w http.ResponseWriter, hr *http.Request, r *request) *failure {
	if refused := f.checkQuarantine(r); refused != nil {
		return refused
	}
	if homes, anywhere := routes.AllowedRegions(r.route, r.account); !anywhere && len(homes) == 0 {
		return &failure{run: runNotRun, reason: reasonResidency, retryAfter: residencyRetryAfter}
	}
	ctx, cancel := context.WithDeadline(hr.Context(), r.deadline)
	defer cancel()
	charge, refused := f.charge(ctx, r)
	if refused != nil {
		return refused
	}
	f.Retries.RecordRequest(r.service, r.arrived)
	f.awaitServer(ctx, r)
	refused = f.run(ctx, w, r)
	if refused != nil && refused.run == runNotRun && charge.Tokens > 0 {
		f.Ledger.Settle(charge, 0, time.Now())
	}
	return refused
}

const (
	// quotaWaitFraction is the fraction of the objective that a request may wait for
	// tokens lent by another instance.
	quotaWaitFraction = 0.5
	// maxQuotaWait bounds that wait, also for routes without an objective. A loan from
	// another region takes two one-way delays.
	maxQuotaWait = 400 * time.Millisecond
)

// charge takes the request's tokens from its account.
func (f *Front) charge(ctx context.Context, r *request) (quota.Charge, *failure) {
	if r.account == nil || r.account.Rate <= 0 {
		return quota.Charge{}, nil
	}
	cost := r.cost()
	charge, ok := f.Ledger.Admit(r.account.Name, cost, time.Now())
	if ok {
		return charge, nil
	}
	limit := maxQuotaWait
	if r.route.Objective > 0 {
		limit = min(limit, time.Duration(quotaWaitFraction*float64(r.route.Objective)))
	}
	waiter := f.Ledger.Wait(r.account.Name, cost, limit, time.Now())
	select {
	case decision := <-waiter.Done:
		if decision.OK {
			return decision.Charge, nil
		}
		return quota.Charge{}, &failure{run: runNotRun, reason: reasonQuota, retryAfter: decision.RetryAfter}
	case <-ctx.Done():
		f.Ledger.Abandon(waiter, time.Now())
		return quota.Charge{}, &failure{run: runNotRun, reason: reasonDeadline}
	}
}

// cost returns the amount that a request counts against its account's rate.
func (r *request) cost() float64 {
	switch {
	case !r.account.CountTokens:
		return 1
	case r.HasTokens:
		return float64(r.Tokens())
	}
	return max(r.account.PlainTokens, 1)
}
