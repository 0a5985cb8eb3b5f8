// Package placement chooses the backend server of a request, or refuses it.
//
// # The load that it answers
//
// Most of a prompt is shared with other requests, and reading it again costs an
// engine ten times what the request's own part costs. Each region's peak is more
// than twice its mean and more than its servers can read cold; with shared parts
// in the right caches the same servers carry it. So a prompt's shared parts belong
// to one server of the region, chosen by rendezvous hashing, which all instances
// agree on without a word between them and which moves only the prompts of a
// server that is lost. Load breaks the tie: each server has an expected time to the
// first byte, and a prompt leaves its server when another would answer sooner
// although it has to read everything.
//
// # Why nothing waits here
//
// An engine reads prompts in the order of their urgency. Waiting in front of it
// gains nothing: the expected time falls by at most a second a second, and so
// does what is left of the objective. A request that cannot be answered within
// its objective now cannot be so later either, and the caller is told at once
// when a request like it would be. Late ones are taken while the backlog is
// short enough that they still end before their deadline.
//
// The package does no I/O. All times come in with each call.
package placement

import (
	"math"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/basilroute/basilroute/service/features"
	"github.com/basilroute/basilroute/state/backends"
)

// Settings of a pool.
type Settings struct {
	Engine               bool    // servers are model engines
	Slots                int     // requests that a server runs at once; used when an entry does not say
	CacheTokens          int     // prompt capacity of an engine
	FetchSecondsPerToken float64 // seconds for which a server fetches one cached token from another; 0 when they move none
	ColdRate             float64 // requests per second of a cold server over all instances; 0 for no limit
	OwnsColdServer       func(server string) bool
	Features             features.Set
}

const (
	// objectiveShare is the part of the objective that the expected time may take
	// when a request is placed; the rest is for what the estimate does not see.
	objectiveShare = 0.8
	// lateAhead is the part of the objective that a request which misses it may find ahead
	// of it. Late requests that add to a backlog make others late in turn: at a peak a
	// region then reads on, and answers little in time.
	lateAhead = 0.1
	// lateShare is the part of the time to its deadline that it may need in all. A prompt that is late
	// only for its own length is served where servers are free.
	lateShare = 0.5
	// defaultReadRate is the prompt tokens per second of an engine, before the measured
	// paces correct it: that of the slower engines of the first deployments.
	defaultReadRate = 40_000.0
	// baseTime is from a dispatch to the first byte at an idle engine, in seconds:
	// one step and the connection.
	baseTime = 0.015
	// defaultServiceTime of a plain service's request, in seconds, until measured.
	defaultServiceTime = 0.05
	// readWeight multiplies prompt tokens that have to be read: they hold up every
	// other request, and what is then held twice pushes out other parts. With a small one
	// prompts leave the server that holds their parts for any that is a little emptier.
	readWeight = 6.0
	// homeShare is the part of the shared tokens by which the server that the hash
	// names costs less than one that holds as little: the next request with the same
	// parts goes there too.
	homeShare = 0.3
	// reportFade is the age at which a reported load counts half, in seconds. What the
	// other instances say of their own load is newer than a report after some tenths of a
	// second; a longer fade keeps a server full after its batch has emptied.
	reportFade = 0.5
	// poolPaceWeight is the weight of a new measurement in the pool's pace. What slows
	// all servers down, such as full batches, shows in a second where one server is
	// seen too seldom.
	poolPaceWeight = 0.04
	maxPoolPace    = 4.0
	// unreadWeight is the weight of a request in the mean of what requests leave to be
	// read, by which waiting requests of others are counted.
	unreadWeight = 0.02
	// queueFactor times the slots is what a plain server may be sent in all; it
	// queues four times its slots and sheds what is beyond.
	queueFactor = 3.0
	// cacheShare of an engine's capacity is taken to hold prompts; the rest is for
	// what runs.
	cacheShare = 0.6
)

// PromptSegment is one part of a prompt, in order.
type PromptSegment struct {
	ID     uint64
	Tokens int
}

// Request is what a choice needs to know of a request.
type Request struct {
	Segments     []PromptSegment // the last one is the request's own
	Tokens       int             // of the whole prompt
	Urgency      int             // 0 is the most urgent
	Objective    time.Duration
	MaxEventGap  time.Duration // longest pause within an answer that is on time; 0 for none
	Arrived      time.Time
	Deadline     time.Time
	Exclude      []string    // servers that were tried
	RemoteSource FetchSource // another region's server that may hold shared parts
	RejectIfLate bool        // refuse when the objective would be missed
	AllowEjected bool        // may go to a server that fails a part of its requests rather than be refused
	Probe        bool        // may run on a server that is set aside, to see whether it has recovered
}

// subject is the hash of the shared parts; 0 when there are none.
func (w *Request) subject() uint64 {
	if len(w.Segments) < 2 {
		return 0
	}
	var digest xxhash.Digest
	digest.Reset()
	for _, p := range w.Segments[:len(w.Segments)-1] {
		var b [8]byte
		for i := range b {
			b[i] = byte(p.ID >> (8 * i))
		}
		_, _ = digest.Write(b[:]) // writing to a hash does not fail
	}
	return digest.Sum64()
}

func (w *Request) shared() int {
	total := 0
	for _, p := range w.Segments[:max(len(w.Segments)-1, 0)] {
		total += p.Tokens
	}
	return total
}

// Reason says why nothing was chosen.
type Reason string

// Reasons.
const (
	ReasonNone     Reason = ""
	ReasonNoServer Reason = "no_server" // none that may be used
	ReasonFull     Reason = "full"      // every server is at its limit or too late
	ReasonCold     Reason = "cold"      // only cold servers, which take few requests
)

// Choice is the outcome of a placement.
type Choice struct {
	Placement         *Placement // nil when refused
	Reason            Reason
	RetryAfter        time.Duration // when a request like this may be placed
	ExpectedFirstByte time.Duration // to the first byte, at the best server
	Late              bool          // it will miss its objective
	CachedTokens      int           // prompt tokens that the server is taken to hold
	Running           int           // requests that it is taken to have
	BacklogTokens     int           // prompt tokens that it has to read for others before
	ExpectedEventGap  time.Duration // the longest that reading the prompt should cause its running answers; 0 when not known
	FetchFrom         string        // address of a server from which it should fetch more of them; may be empty
}

// Placement is a request on a server. It ends with Done.
type Placement struct {
	Server   backends.Entry
	Sent     time.Time
	server   *server
	tokens   float64 // prompt tokens to be read
	urgency  int
	expected float64
	first    bool // the first byte came
	done     bool
}

// Pool places the requests of one service on the servers of one region. It is
// safe for concurrent use.
type Pool struct {
	mu       sync.Mutex
	settings Settings
	servers  []*server
	readRate float64       // prompt tokens per second; the paces correct it
	work     float64       // seconds, of a plain request, as measured
	pace     float64       // measured over expected time, of all servers
	unread   float64       // mean prompt tokens that a request leaves to be read
	gap      time.Duration // the shortest pause that a route allows; 0 while none is known
	pauses   pauseFit
	fastest  float64 // least mean pause between the events of a server's answers, in seconds
	byHash   map[uint32]*server
	sent     []Dispatch           // since the last digest
	peers    map[string]*peerWord // by instance
	comeback comeback
	far      map[string][]farServer // by region
}

// New returns a pool without servers.
func New() *Pool {
	return &Pool{readRate: defaultReadRate, work: defaultServiceTime, pace: 1, peers: make(map[string]*peerWord)}
}

// Update takes in the settings and the servers that may be used.
func (p *Pool) Update(settings Settings, entries []backends.Entry) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.settings = settings
	known := make(map[string]*server, len(p.servers))
	for _, s := range p.servers {
		known[s.ID] = s
	}
	next := make([]*server, 0, len(entries))
	p.byHash = make(map[uint32]*server, len(entries))
	for _, e := range entries {
		s := known[e.ID]
		if s == nil || s.Incarnation != e.Incarnation {
			s = newServer()
			s.hash = xxhash.Sum64String(e.ID)
		}
		s.Entry = e
		p.byHash[uint32(s.hash)] = s
		next = append(next, s)
	}
	p.servers = next
}

// Place chooses a server. The caller sends the request there at once.
func (p *Pool) Place(w *Request, now time.Time) Choice {
	p.mu.Lock()
	defer p.mu.Unlock()
	best, found := p.choose(w, now)
	choice := p.weighUp(best, w, found, now)
	if choice.Reason == ReasonNone {
		choice.Placement = p.start(best, w, now)
		return choice
	}
	if w.RejectIfLate {
		return choice
	}
	if risky := p.lastResort(w, now); risky != nil {
		choice = p.weighUp(risky, w, found, now)
		choice.Placement = p.start(risky, w, now)
		return choice
	}
	if choice.Reason == ReasonFull && p.on(features.RetryAfterPacing) {
		choice.RetryAfter = p.comeback.after(max(choice.RetryAfter, retryFull), now)
	}
	return choice
}

func (p *Pool) on(name features.Name) bool { return p.settings.Features.On(name) }

// weighUp tells whether a request should go to the cheapest server, and if not, why.
func (p *Pool) weighUp(best *candidate, w *Request, found census, now time.Time) Choice {
	if best == nil {
		return p.refuse(found, now)
	}
	expected := seconds(best.expected)
	choice := Choice{
		ExpectedFirstByte: expected, CachedTokens: best.cached, FetchFrom: best.fetchFrom,
		Running: int(p.running(best.server, now)), BacklogTokens: int(best.ahead), ExpectedEventGap: seconds(best.pause),
	}
	if best.onTime(w, now) {
		return choice
	}
	choice.Late = true
	if w.RejectIfLate || best.tooLate(w, now) {
		choice.Reason = ReasonFull
		choice.RetryAfter = expected - share(w.Objective, objectiveShare)
	}
	return choice
}

// ExpectedFirstByte returns the expected time to the first byte, and false when no server
// can be used.
func (p *Pool) ExpectedFirstByte(w *Request, now time.Time) (time.Duration, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	best, _ := p.choose(w, now)
	if best == nil {
		return 0, false
	}
	return seconds(best.expected), true
}

// census says why servers were passed over.
type census struct {
	usable, full, cold int
	coldNext           time.Time
}

// choose returns the cheapest server that may be used, nil when there is none.
func (p *Pool) choose(w *Request, now time.Time) (*candidate, census) {
	p.forgetSilent(now)
	aside := p.setAside(now)
	return p.cheapest(w, aside, now, func(s *server) bool {
		return !aside[s] || w.Probe && s.probeDue(now)
	})
}

func (p *Pool) cheapest(w *Request, aside map[*server]bool, now time.Time, allowed func(*server) bool) (*candidate, census) {
	var c census
	subject := w.subject()
	home := p.home(subject)
	holder, held := p.holder(w, aside)
	longest := p.longestPause(w)
	var best *candidate
	var next candidate // of each server in turn
	for _, s := range p.servers {
		if slices.Contains(w.Exclude, s.ID) || !s.Usable(now) || !allowed(s) {
			continue
		}
		c.usable++
		if now.Before(s.ColdUntil) && p.settings.ColdRate > 0 {
			if next, ok := p.coldSlot(s, now); !ok {
				c.cold++
				if c.coldNext.IsZero() || next.Before(c.coldNext) {
					c.coldNext = next
				}
				continue
			}
		}
		if p.full(s, now) {
			c.full++
			continue
		}
		p.weigh(&next, s, w, home, longest, now)
		if holder != s {
			p.fetch(&next, holder, held)
		}
		p.fetchFar(&next, w)
		if best == nil {
			best = new(candidate)
			*best = next
		} else if next.cost < best.cost {
			*best = next
		}
	}
	return best, c
}

func (p *Pool) coldSlot(s *server, now time.Time) (time.Time, bool) {
	if p.settings.OwnsColdServer != nil && !p.settings.OwnsColdServer(s.ID) {
		return s.ColdUntil, false
	}
	return s.coldNext, !now.Before(s.coldNext)
}

func (p *Pool) start(c *candidate, w *Request, now time.Time) *Placement {
	s := c.server
	p.comeback.took(now)
	s.inFlight++
	s.addPending(w.Urgency, c.unread)
	p.unread += (c.unread - p.unread) * unreadWeight
	p.note(s, w.Segments)
	if now.Before(s.ColdUntil) && p.settings.ColdRate > 0 {
		s.coldNext = now.Add(seconds(1 / p.settings.ColdRate))
	}
	if now.Before(s.asideUntil) {
		s.probedAt = now
	}
	s.cache.touch(w.Segments, p.cacheCapacity())
	if w.MaxEventGap > 0 && (p.gap == 0 || w.MaxEventGap < p.gap) {
		p.gap = w.MaxEventGap
	}
	pl := &Placement{Server: s.Entry, server: s, tokens: c.unread, urgency: w.Urgency, Sent: now, expected: c.expected}
	s.reading[pl] = &reading{tokens: float64(w.Tokens), since: now}
	return pl
}

// refuse says when to come back.
func (p *Pool) refuse(c census, now time.Time) Choice {
	switch {
	case c.usable == 0:
		return Choice{Reason: ReasonNoServer, RetryAfter: retryNoServer}
	case c.cold > 0 && c.full == 0:
		return Choice{Reason: ReasonCold, RetryAfter: max(c.coldNext.Sub(now), retryFull)}
	}
	return Choice{Reason: ReasonFull, RetryAfter: retryFull}
}

const (
	// retryNoServer is when to come back to a service without servers: a crashed one
	// starts again within seconds.
	retryNoServer = time.Second
	// retryFull is when to come back to a service whose servers all have their fill:
	// about the time that a request runs.
	retryFull = 300 * time.Millisecond
)

func seconds(s float64) time.Duration {
	return time.Duration(min(s, float64(math.MaxInt32)) * float64(time.Second))
}

func share(d time.Duration, part float64) time.Duration {
	return time.Duration(float64(d) * part)
}

func fade(age time.Duration) float64 {
	return reportFade / (reportFade + max(age.Seconds(), 0))
}
