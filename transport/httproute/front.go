package httproute

import (
	"context"
	"io"
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
)

// Remote is another region as this instance sees it for one service, by way of one
// of its instances.
type Remote struct {
	Region            string
	Instance          string
	Address           string        // where the instance takes forwarded requests
	RoundTrip         time.Duration // there and back
	Servers           int
	Running           int           // requests at its servers
	FreeSlots         int           // requests that could start there at once
	StallFraction     float64       // part of its servers' time that does not go into running answers
	ExpectedFirstByte time.Duration // to the first byte there, of an ordinary request
	ReportedAt        time.Time     // when the instance last spoke
}

// Remotes tells what is known of the other regions.
type Remotes interface {
	// Remotes returns one reachable instance of each other region.
	Remotes(service string) []Remote
	// MarkUnreachable takes in that an instance could not be reached.
	MarkUnreachable(instance string)
	// InstanceCounts returns how many instances of the fleet and of the own region live.
	InstanceCounts() (fleet, region int)
}

// Front serves callers.
type Front struct {
	Region     string
	Codec      Codec
	Routes     *routes.Table
	Ledger     *quota.Ledger
	Quarantine *quarantine.List
	Retries    *retry.Window
	Remotes    Remotes
	Local      *LocalDispatcher
	Peers      *backendhttp.Client
	Log        *slog.Logger
	Metrics    *Metrics
	Features   features.Set
	// Stopping tells whether this instance is about to end and takes nothing more.
	Stopping func() bool
	// TimeToShutdown is how long this instance still runs, once it leaves; 0 before.
	TimeToShutdown func() time.Duration
	// Starting tells whether this instance has started just now and may lack what it needs.
	Starting func() bool
	// Leaving tells whether callers are to leave their connections.
	Leaving func() bool

	sent sentAway
}

// request is one request of a caller on its way.
type request struct {
	Call
	config    *routes.Config
	route     *routes.Route
	account   *routes.Account
	service   string
	header    http.Header // the caller's, end to end
	method    string
	target    string
	host      string
	body      []byte
	arrived   time.Time
	deadline  time.Time
	print     string // fingerprint
	work      placement.Request
	tried     []string // regions that were tried
	attempts  int      // sends to backend servers
	story     []decision
	server    string        // that answered last, here or in another region
	firstByte time.Duration // until the head of the answer
	pauses    pauses        // between the events of the answer
	tries     int           // attempts, sent or not
	paid      atomic.Bool   // the next repeat has been taken from the budget
	mayLeave  func() bool   // see Front.mayLeave
}

// accountName returns the name of the request's account, empty when it has none.
func (r *request) accountName() string {
	if r.account == nil {
		return ""
	}
	return r.account.Name
}

// ServeHTTP implements http.Handler.
func (f *Front) ServeHTTP(w http.ResponseWriter, hr *http.Request) {
	arrived := time.Now()
	if f.Leaving() {
		w.Header().Set("Connection", "close")
	}
	r, refused := f.accept(w, hr, arrived)
	if refused == nil && r == nil {
		panic(http.ErrAbortHandler) // the caller has gone; returning would write an empty success
	}
	if refused == nil {
		refused = f.serve(w, hr, r)
	}
	f.finish(w, hr, r, refused, arrived)
}

// finish writes the final answer of a request that was not served, and the lines that
// tell what became of it.
func (f *Front) finish(w http.ResponseWriter, hr *http.Request, r *request, refused *failure, arrived time.Time) {
	took := time.Since(arrived)
	begun := refused != nil && refused.begun
	if refused != nil && !begun && hr.Context().Err() == nil {
		refuse(w, refused)
	}
	f.Metrics.ended(r, refused, took)
	if r == nil {
		r = &request{Call: f.Codec.DecodeCall(hr.Header), arrived: arrived}
	}
	r.noteEnd(refused, hr.Context().Err() != nil, took)
	r.tell(f.Log, refused, took)
	if refused != nil && (begun || hr.Context().Err() != nil) {
		// The caller has to see that the answer is not whole: the connection ends
		// without the end of the body. Returning would write an empty success.
		panic(http.ErrAbortHandler)
	}
}

// accept reads a request and finds its route and account. Both results are nil when
// the caller has gone.
func (f *Front) accept(w http.ResponseWriter, hr *http.Request, arrived time.Time) (*request, *failure) {
	config := f.awaitConfig(hr.Context())
	if config == nil {
		return nil, &failure{run: notRun, reason: reasonNotReady, retryAfter: retryNotReady}
	}
	if limit := config.Limits.HeaderBytes; limit > 0 && headerBytes(hr) > limit {
		return nil, &failure{run: notRun, reason: reasonHeader}
	}
	route := config.Match(hr.Host, hr.URL.Path)
	if route == nil {
		return nil, &failure{run: notRun, reason: reasonNoRoute}
	}
	r := &request{
		Call: f.Codec.DecodeCall(hr.Header), config: config, route: route, header: EndToEnd(hr.Header),
		method: hr.Method, target: hr.RequestURI, host: hr.Host, arrived: arrived,
	}
	if f.Stopping() || f.outlasts(r) {
		return nil, &failure{run: notRun, reason: reasonStopping, retryAfter: leastRetryAfter}
	}
	r.service = route.PickService(r.RequestID)
	if len(config.Accounts) > 0 && !route.Public {
		if r.account = config.Authenticate(r.Key); r.account == nil {
			return r, &failure{run: notRun, reason: reasonKey}
		}
	}
	var refused *failure
	if r.body, refused = readBody(w, hr, config.Limits.BodyBytes); refused != nil {
		return r, refused
	}
	if hr.Context().Err() != nil {
		return nil, nil
	}
	f.prepare(r)
	r.noteAdmitted()
	return r, nil
}

// A stream's end is guessed from the tokens that its caller allows, so that a leaving
// instance takes none that would be cut by its end.
const (
	tokenTime = 15 * time.Millisecond // twice what an engine with a full batch takes
	readTime  = time.Second           // until the first token
	// leastStream is the shortest time in which a stream is taken at all: callers that
	// allow few tokens may be wrong.
	leastStream = 4500 * time.Millisecond
)

// outlasts tells whether a stream may last longer than this instance.
func (f *Front) outlasts(r *request) bool {
	left := f.TimeToShutdown()
	if left == 0 || r.route.Kind != routes.KindStreaming {
		return false
	}
	return left < max(leastStream, readTime+time.Duration(r.OutputTokens)*tokenTime)
}

// headerBytes returns the size of a request's header fields as they were sent. The
// server's own limit is fixed at its start and above what operators set.
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

// readBody reads the whole body. net/http tells that a caller has gone only when
// its request was read to the end.
func readBody(w http.ResponseWriter, hr *http.Request, limit int64) ([]byte, *failure) {
	if hr.ContentLength == 0 {
		return nil, nil
	}
	reader := hr.Body
	if limit > 0 {
		reader = http.MaxBytesReader(w, hr.Body, limit)
	}
	body, err := io.ReadAll(reader)
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return nil, &failure{run: notRun, reason: reasonBody}
	case err != nil:
		// The caller broke off, or its framing is wrong: there is nobody to answer.
		panic(http.ErrAbortHandler)
	}
	return body, nil
}

// retryNotReady is when to come back to an instance that has just started: it reads the
// configuration within two crossings between regions.
const retryNotReady = 200 * time.Millisecond

// defaultWait bounds a request whose caller and route name no limit.
const defaultWait = time.Minute

// prepare sets the limits of a request and what placement needs to know.
func (f *Front) prepare(r *request) {
	wait := defaultWait
	for _, limit := range []time.Duration{r.route.Timeout, r.Timeout} {
		if limit > 0 {
			wait = min(wait, limit)
		}
	}
	r.deadline = r.arrived.Add(wait)
	r.print = quarantine.Fingerprint(r.accountName(), r.service, r.method+" "+r.target+"\n"+string(r.body))
	urgency := r.route.Priority
	if r.account != nil && r.account.Priority >= 0 {
		urgency = r.account.Priority
	}
	r.work = placement.Request{
		Segments: r.Segments, Tokens: r.PromptTokens, Urgency: urgency, Objective: r.route.Objective, MaxEventGap: r.route.GapObjective,
		Arrived: r.arrived, Deadline: r.deadline, Probe: r.route.Repeatable(),
		AllowEjected: r.route.Kind != routes.KindNonIdempotent,
	}
}

// serve charges a request and runs it. The failure is nil when the caller got an
// answer.
func (f *Front) serve(w http.ResponseWriter, hr *http.Request, r *request) *failure {
	if until, bad := f.Quarantine.Quarantined(r.print, r.arrived); bad {
		return &failure{run: notRun, reason: reasonQuarantine, retryAfter: time.Until(until)}
	}
	ctx, cancel := context.WithDeadline(hr.Context(), r.deadline)
	defer cancel()
	charge, refused := f.charge(ctx, r)
	if refused != nil {
		return refused
	}
	f.Retries.RecordRequest(r.service, r.arrived)
	f.awaitPlace(ctx, r)
	refused = f.attemptAll(ctx, w, r)
	if refused != nil && refused.run == notRun && charge.Tokens > 0 {
		f.Ledger.Settle(charge, 0, time.Now())
	}
	return refused
}

const (
	// quotaWaitShare is the part of the objective that a request may wait for tokens
	// lent by another instance.
	quotaWaitShare = 0.5
	// quotaWait bounds that wait where a route has no objective, and in all cases:
	// a loan from another region takes two crossings.
	quotaWait = 400 * time.Millisecond
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
	limit := quotaWait
	if r.route.Objective > 0 {
		limit = min(limit, time.Duration(quotaWaitShare*float64(r.route.Objective)))
	}
	waiter := f.Ledger.Wait(r.account.Name, cost, limit, time.Now())
	select {
	case verdict := <-waiter.Done:
		if verdict.OK {
			return verdict.Charge, nil
		}
		return quota.Charge{}, &failure{run: notRun, reason: reasonQuota, retryAfter: verdict.RetryAfter}
	case <-ctx.Done():
		f.Ledger.Abandon(waiter, time.Now())
		return quota.Charge{}, &failure{run: notRun, reason: reasonDeadline}
	}
}

// cost returns what a request counts against its account's rate.
func (r *request) cost() float64 {
	switch {
	case !r.account.CountTokens:
		return 1
	case r.HasTokens:
		return float64(r.Tokens())
	}
	return max(r.account.PlainTokens, 1)
}
