// Package placement chooses the backend server of a request, or refuses the request.
//
// # Workload
//
// Most of a prompt is shared with other requests, and recomputing the shared segments costs
// an engine ten times what the request's own segment costs. The traffic spike of each region
// is more than twice its mean rate and more than its servers can prefill without their
// caches; with the shared segments in the right caches the same servers carry it. Rendezvous
// hashing therefore assigns a prompt's shared segments to one preferred server of the region.
// All instances agree on it without exchanging messages, and losing a server moves only the
// prompts of that server. Load overrides the preference: each server has an expected time to
// the first byte, and a prompt goes to another server when that one would respond sooner
// although it has to compute the whole prompt.
//
// # No queue in front of the engines
//
// An engine prefills prompts in the order of their urgency, so that queueing in front of it
// gains nothing: the expected time falls by at most one second per second, and so does the
// time left of the objective. A request that cannot be answered within its objective now
// cannot be later either, and its caller is told at once when to retry. Late requests are
// accepted while the backlog is short enough for them to end before their deadline.
//
// Where slots bind and not prefill, requests that can wait do so at their instance, see package
// waitqueue.
//
// # Late load reports
//
// Tens of instances place on the same servers and learn of each other's placements tens of
// milliseconds later, see spread.go.
//
// The package does no I/O. The current time and the seed of random choices are passed to it.
package placement

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/basilroute/basilroute/service/features"
	"github.com/basilroute/basilroute/state/backends"
	"github.com/basilroute/basilroute/state/routes"
)

// Settings configures a Pool.
type Settings struct {
	Engine               bool    // servers are model engines
	Slots                int     // requests that a server runs at once; used when its entry does not say
	CacheTokens          int     // prompt capacity of an engine's cache
	FetchSecondsPerToken float64 // time in which a server fetches one cached token from another; 0 when servers do not exchange them
	ColdRate             float64 // requests per second to a cold server from all instances together; 0 for no limit
	// ColdShare returns the share of ColdRate at which this instance may send to a server; nil for all of it.
	ColdShare  func(server string) float64
	Features   features.Set
	Precedence routes.Precedence // among the service's requests
	Instances  int               // of the region, this one included
	Seed       uint64            // of random choices; differs between instances
	// CurrentSince is from when on the servers' entries are up to date without a break; zero while they may not be.
	CurrentSince time.Time
}

const (
	// objectiveFraction is the fraction of the objective that the expected time may take
	// when a request is placed; the rest covers what the estimate leaves out.
	objectiveFraction = 0.8
	// lateBacklogFraction is the fraction of the objective that the backlog ahead of a late
	// request may take. Late requests added to a longer backlog make others late in turn: in a
	// traffic spike a region then keeps prefilling and answers little in time.
	lateBacklogFraction = 0.1
	// lateDeadlineFraction is the fraction of the time to its deadline that a late request may
	// need in all. A prompt that is late only because of its own length is served where servers
	// are free.
	lateDeadlineFraction = 0.5
	// defaultPrefillRate is in prompt tokens per second and engine, before the measured latency
	// factors correct it: that of the slower engines of the first deployments.
	defaultPrefillRate = 40_000.0
	// idleFirstByteSeconds is the time from a dispatch to the first byte at an idle engine:
	// one step and the connection.
	idleFirstByteSeconds = 0.015
	// defaultServiceSeconds is the time that a plain service takes for a request, until measured.
	defaultServiceSeconds = 0.05
	// prefillWeight multiplies the cost of prompt tokens that have to be computed: they delay
	// every other request, and segments cached at two servers evict others. With a small weight
	// prompts leave the server that has their segments cached for any that is a little emptier.
	prefillWeight = 6.0
	// preferredDiscount is the fraction of the cost of the shared tokens by which the preferred
	// server costs less than one that has as much cached, so that the next request with the same
	// segments goes to it too.
	preferredDiscount = 0.3
	// reportHalfWeightAge is the age in seconds at which a reported load counts half. After some
	// tenths of a second the load reports of the other instances are newer than a server's own
	// report; with a larger value a server counts as full after its batch has emptied.
	reportHalfWeightAge = 0.5
	// poolLatencyWeight is the weight of a new measurement in the pool's latency factor. What
	// slows down all servers, such as full batches, shows in it within a second, whereas a
	// single server is sampled too seldom.
	poolLatencyWeight    = 0.04
	maxPoolLatencyFactor = 4.0
	// uncachedWeight is the weight of a request in the mean number of uncached tokens, by which
	// the waiting requests of other instances are converted into tokens.
	uncachedWeight = 0.02
	// queueFactor times the slots is how many requests a plain server may have in all; it
	// queues four times its slots and sheds what is beyond.
	queueFactor = 3.0
	// promptCacheFraction of an engine's capacity is assumed to cache prompts; the rest is for
	// running requests.
	promptCacheFraction = 0.6
)

// PromptSegment is one segment of a prompt. Segments are in the order of the prompt.
type PromptSegment struct {
	ID     uint64
	Tokens int
}

// Request holds what placement needs to know of a request.
type Request struct {
	Segments     []PromptSegment // the last one is the request's own
	Tokens       int             // of the whole prompt
	Urgency      int             // 0 is the most urgent
	Objective    time.Duration
	MaxEventGap  time.Duration // longest gap between events of a response that is on time; 0 for no limit
	Arrived      time.Time
	Deadline     time.Time
	Exclude      []string    // IDs of servers that were tried
	RemoteSource FetchSource // server of another region that may have the shared segments cached
	RejectIfLate bool        // refuse the request when it would miss its objective
	AllowEjected bool        // may go to an ejected server that fails part of its requests rather than be refused
	Probe        bool        // may run on an ejected server, to find out whether it has recovered
	Waits        bool        // waits when it is refused, and is told later when to return
	Build        Build       // only servers of this build may be used; the zero value allows all
}

// prefixHash returns the hash of the shared segments, or 0 when there are none.
func (r *Request) prefixHash() uint64 {
	if len(r.Segments) < 2 {
		return 0
	}
	var digest xxhash.Digest
	digest.Reset()
	for _, segment := range r.Segments[:len(r.Segments)-1] {
		var b [8]byte
		for i := range b {
			b[i] = byte(segment.ID >> (8 * i))
		}
		_, _ = digest.Write(b[:]) // writing to a hash does not fail
	}
	return digest.Sum64()
}

func (r *Request) sharedTokens() int {
	total := 0
	for _, segment := range r.Segments[:max(len(r.Segments)-1, 0)] {
		total += segment.Tokens
	}
	return total
}

// Reason says why no server was chosen.
type Reason string

// Reasons for a refusal.
const (
	ReasonNone     Reason = ""
	ReasonNoServer Reason = "no_server" // no usable server
	ReasonFull     Reason = "full"      // every server is at its limit or too late
	ReasonCold     Reason = "cold"      // only cold servers are left, which accept few requests
	ReasonResting  Reason = "resting"   // every server wants no requests for now
)

// Choice is the result of a placement.
type Choice struct {
	Placement         *Placement // nil when refused
	Reason            Reason
	RetryAfter        time.Duration // when a request like this may be placed
	ExpectedFirstByte time.Duration // at the best server
	Late              bool          // the request will miss its objective
	CachedTokens      int           // prompt tokens that the server is expected to have cached
	Running           int           // requests that the server is expected to have
	BacklogTokens     int           // prompt tokens of other requests that the server computes before
	ExpectedEventGap  time.Duration // longest gap that the prefill is expected to cause in running generations; 0 when not known
	FetchFrom         string        // address of a server to fetch cached tokens from; may be empty
}

// Placement is a request at a server. It ends with Done.
type Placement struct {
	Server          backends.Entry
	Sent            time.Time
	server          *server
	prefillTokens   float64 // prompt tokens to be computed
	tokensAhead     float64 // these and those of other requests that are computed before
	urgency         int
	urgent          bool // counted among the server's urgent requests
	expectedSeconds float64
	gotFirstByte    bool // the response has begun
	done            bool
}

// Pool places the requests of one service on the servers of one region. It is
// safe for concurrent use.
type Pool struct {
	mu             sync.Mutex
	settings       Settings
	servers        []*server     // ordered by id
	prefillRate    float64       // prompt tokens per second; the latency factors correct it
	serviceSeconds float64       // measured time of a plain request
	holdSeconds    float64       // measured time for which a less urgent request holds its slot; 0 while not known
	latencyFactor  float64       // measured over expected time, of all servers
	meanUncached   float64       // mean prompt tokens of a request that are not cached
	minEventGap    time.Duration // shortest gap limit of any route; 0 while none is known
	gapFit         fittedLine    // longest event gap of a running generation, in seconds, over the prompt that was prefilled meanwhile, in tokens
	pace           fittedLine    // time to the first byte, in seconds, over the prompt tokens computed before it
	minMeanGap     float64       // smallest mean gap between response events of any server, in seconds
	byHash         map[uint32]*server
	dispatches     []Dispatch             // since the last load report
	hasPlaced      bool                   // a request was placed since then
	peerReports    map[string]*peerReport // by instance
	retries        retryScheduler
	spreadCount    decayingCount // placed spreadable requests
	spreadTokens   float64       // mean prompt tokens of these that are not cached
	candidates     []candidate   // of the last search; reused
	order          []*server     // servers in a random order, from which samples are drawn
	urgentLoad     urgentLoad
	sharedMachines bool // servers have reported how long work takes on their machines
	rng            *rand.Rand
	remote         map[string]map[string]remoteServer // by region and id
}

// New returns a pool without servers.
func New() *Pool {
	return &Pool{
		prefillRate: defaultPrefillRate, serviceSeconds: defaultServiceSeconds, latencyFactor: 1, peerReports: make(map[string]*peerReport),
		byHash: make(map[uint32]*server),
		rng:    rand.New(rand.NewPCG(0, 0)),
	}
}

// Configure replaces the settings.
func (p *Pool) Configure(settings Settings) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.configure(settings)
}

func (p *Pool) configure(settings Settings) {
	if settings.Seed != p.settings.Seed {
		p.rng = rand.New(rand.NewPCG(settings.Seed, 0))
	}
	p.settings = settings
}

// Place chooses a server. The caller has to send the request to it at once.
func (p *Pool) Place(r *Request, now time.Time) Choice {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.choose(r, now)
	chosen := s.draw()
	choice := p.evaluate(chosen, r, s.counts, now)
	if choice.Reason == ReasonNone {
		choice.Placement = p.start(chosen, r, now)
		return choice
	}
	if r.RejectIfLate {
		return choice
	}
	if fallback := p.ejectedFallback(r, now); fallback != nil {
		choice = p.evaluate(fallback, r, s.counts, now)
		choice.Placement = p.start(fallback, r, now)
		return choice
	}
	if (choice.Reason == ReasonFull || choice.Reason == ReasonResting) && !r.Waits && p.enabled(features.RetryAfterPacing) {
		choice.RetryAfter = p.retries.retryAfter(max(choice.RetryAfter, retryAfterFull), now)
	}
	return choice
}

// SharedMachines reports whether the servers share their machines with other work: they report how
// long work takes there at the moment.
func (p *Pool) SharedMachines() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.sharedMachines
}

func (p *Pool) enabled(name features.Name) bool { return p.settings.Features.On(name) }

// evaluate decides whether the request goes to the best server, and if not, why.
func (p *Pool) evaluate(best *candidate, r *Request, counts serverCounts, now time.Time) Choice {
	if best == nil {
		return p.refuse(counts, now)
	}
	expected := seconds(best.firstByteSeconds)
	choice := Choice{
		ExpectedFirstByte: expected, CachedTokens: best.cached, FetchFrom: best.fetchFrom,
		Running: int(p.running(best.server, now)), BacklogTokens: int(best.backlog), ExpectedEventGap: seconds(best.gapSeconds),
	}
	if best.onTime(r, now) {
		return choice
	}
	choice.Late = true
	if r.RejectIfLate || best.tooLate(r, now) {
		choice.Reason = ReasonFull
		choice.RetryAfter = expected - scaleDuration(r.Objective, objectiveFraction)
	}
	return choice
}

// ExpectedFirstByte returns the expected time to the first byte, and false when no
// server can be used.
func (p *Pool) ExpectedFirstByte(r *Request, now time.Time) (time.Duration, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	best := p.choose(r, now).best
	if best == nil {
		return 0, false
	}
	return seconds(best.firstByteSeconds), true
}

// RetryAfter returns after what time a request that a server has turned away may be placed; 0 when
// another server would take it now.
func (p *Pool) RetryAfter(r *Request, now time.Time) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	again := *r
	again.Exclude = nil // the server that turned it away takes part unless it rests
	found := p.choose(&again, now)
	if found.best != nil {
		return 0
	}
	wait := p.refuse(found.counts, now).RetryAfter
	if p.enabled(features.RetryAfterPacing) {
		wait = p.retries.retryAfter(wait, now)
	}
	return wait
}

// serverCounts counts the usable servers and those that were passed over, by reason.
type serverCounts struct {
	usable, full, cold, resting int
	nextAvailable               time.Time // when the first of the cold and resting ones takes a request
}

// available records when a cold or resting server takes a request.
func (c *serverCounts) available(at time.Time) {
	if c.nextAvailable.IsZero() || at.Before(c.nextAvailable) {
		c.nextAvailable = at
	}
}

// choose looks for the cheapest server that may be used.
func (p *Pool) choose(r *Request, now time.Time) *search {
	p.dropExpiredReports(now)
	p.sampleUrgentLoad(now)
	ejected := p.ejectedServers(now)
	return p.cheapest(r, ejected, now, func(s *server) bool {
		return !ejected[s] || r.Probe && s.probeDue(now)
	})
}

// cheapest looks for the cheapest of the allowed servers: in a sample if that holds one that
// responds in time, else among all.
func (p *Pool) cheapest(r *Request, ejected map[*server]bool, now time.Time, allowed func(*server) bool) *search {
	s := p.newSearch(r, ejected, now, allowed)
	if !p.searchSample(s) {
		s.reset()
		for _, server := range p.servers {
			s.consider(server)
		}
	}
	p.candidates = s.candidates // keeps its memory for the next search
	return s
}

// coldSlot returns when a cold server takes the next request of this instance, and whether it does now.
func (p *Pool) coldSlot(s *server, now time.Time) (time.Time, bool) {
	share := 1.0
	if p.settings.ColdShare != nil {
		share = p.settings.ColdShare(s.ID)
	}
	if share <= 0 {
		s.coldSentAt = now // by the instance that has the share, perhaps
		return s.ColdUntil, false
	}
	next := s.coldSentAt.Add(seconds(1 / (p.settings.ColdRate * share)))
	return next, !now.Before(next)
}

func (p *Pool) start(c *candidate, r *Request, now time.Time) *Placement {
	s := c.server
	p.retries.recordPlacement(now)
	if r.spreadable() {
		p.recordSpread(c.uncached, now)
	}
	p.hasPlaced = true
	s.inFlight++
	if p.urgent(r.Urgency) {
		s.urgentInFlight++
	}
	s.addPending(r.Urgency, c.uncached)
	p.meanUncached += (c.uncached - p.meanUncached) * uncachedWeight
	p.recordDispatch(s, r.Segments)
	if now.Before(s.ColdUntil) && p.settings.ColdRate > 0 {
		s.coldSentAt = now
	}
	if now.Before(s.ejectedUntil) {
		s.probedAt = now
	}
	s.touchCache(r.Segments, p.cacheCapacity())
	if r.MaxEventGap > 0 && (p.minEventGap == 0 || r.MaxEventGap < p.minEventGap) {
		p.minEventGap = r.MaxEventGap
	}
	pl := &Placement{Server: s.Entry, server: s, prefillTokens: c.uncached, tokensAhead: c.backlog + c.uncached, urgency: r.Urgency, urgent: p.urgent(r.Urgency), Sent: now, expectedSeconds: c.firstByteSeconds}
	s.prefills[pl] = &prefill{tokens: float64(r.Tokens), since: now}
	return pl
}

// refuse returns the refusal, with the time after which the caller may retry.
func (p *Pool) refuse(c serverCounts, now time.Time) Choice {
	switch {
	case c.usable == 0:
		return Choice{Reason: ReasonNoServer, RetryAfter: retryAfterNoServer}
	case c.cold > 0 && c.full == 0:
		return Choice{Reason: ReasonCold, RetryAfter: max(c.nextAvailable.Sub(now), retryAfterFull)}
	case c.resting > 0 && c.full == 0:
		return Choice{Reason: ReasonResting, RetryAfter: max(c.nextAvailable.Sub(now), retryAfterFull)}
	}
	return Choice{Reason: ReasonFull, RetryAfter: retryAfterFull}
}

const (
	// retryAfterNoServer is the Retry-After of a service without servers: a crashed server
	// restarts within seconds.
	retryAfterNoServer = time.Second
	// retryAfterFull is the Retry-After of a service whose servers are all full: about the
	// time that a request runs.
	retryAfterFull = 300 * time.Millisecond
)

func seconds(s float64) time.Duration {
	return time.Duration(min(s, float64(math.MaxInt32)) * float64(time.Second))
}

func scaleDuration(d time.Duration, fraction float64) time.Duration {
	return time.Duration(float64(d) * fraction)
}

func ageWeight(age time.Duration) float64 {
	return reportHalfWeightAge / (reportHalfWeightAge + max(age.Seconds(), 0))
}
