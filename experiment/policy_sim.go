package experiment

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/basilroute/basilroute/coordination/routing"
	"github.com/basilroute/basilroute/protocol/tokens"
	"github.com/basilroute/basilroute/service"
	"github.com/basilroute/basilroute/state/servers"
)

const (
	linkDelay          = 80 * time.Millisecond // one way, between regions
	dayLength          = 300 * time.Second     // a day's load curve, compressed
	warmUp             = 20 * time.Second      // not measured
	peakAmplitude      = 0.6                   // fraction of the mean load
	gatewaysPerRegion  = 2
	maxAttempts        = 3
	prefixesPerAccount = 6 // shared prompt prefixes of an account
	prefixBlocks       = 16
)

// job is one request of the simulation.
type job struct {
	account                                *simAccount
	class                                  service.Class
	promptTokens, outputTokens             int
	blocks                                 []tokens.Block
	arrived                                time.Duration
	origin, servingGateway                 *simGateway
	attempt                                int
	exclude                                map[string]bool
	engine                                 *simEngine
	entry                                  *servers.Entry
	prefillTokens, generated               int
	uncachedTokens                         int
	sent                                   time.Time
	unloadedFirstToken, expectedFirstToken time.Duration
	firstTokenLatency                      time.Duration
	firstTokenSent                         bool
}

type simAccount struct {
	name           string
	loadShare      float64 // fraction of the total load
	weight         float64 // in the admission queue
	number         int
	loadMultiplier float64 // load as a multiple of its usual load

	offered, started int // interactive requests
	refused          int
}

type simRegion struct {
	name     string
	engines  []*simEngine
	gateways []*simGateway
}

// simEvent is an event of the simulation. Events with the same time run in the order in
// which they were scheduled.
type simEvent struct {
	at  time.Duration
	seq int
	run func()
}

type simEvents []simEvent

func (e simEvents) Len() int { return len(e) }
func (e simEvents) Less(i, j int) bool {
	return e[i].at < e[j].at || (e[i].at == e[j].at && e[i].seq < e[j].seq)
}
func (e simEvents) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *simEvents) Push(x any)   { *e = append(*e, x.(simEvent)) }
func (e *simEvents) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// policySim runs the product's decisions on modelled engines in virtual time.
type policySim struct {
	deployment simDeployment
	scenario   simScenario
	policy     simPolicy
	service    *service.Service
	rng        *rand.Rand
	now        time.Duration
	events     simEvents
	seq        int
	regions    []*simRegion
	accounts   []*simAccount
	seenBlocks map[tokens.Block]bool
	unique     uint64

	interactive, bulk  []time.Duration // times to the first token
	submitted, spilled int
}

func newPolicySim(d simDeployment, sc simScenario, p simPolicy, seed uint64) *policySim {
	s := &policySim{
		deployment: d, scenario: sc, policy: p, service: d.service(),
		rng: rand.New(rand.NewPCG(seed, 1)), seenBlocks: make(map[tokens.Block]bool),
	}
	for i, share := range []float64{0.4, 0.3, 0.15, 0.1, 0.05} {
		s.accounts = append(s.accounts, &simAccount{name: fmt.Sprint("account-", i), loadShare: share, weight: share, number: i, loadMultiplier: 1})
	}
	s.accounts[offenderAccount].loadMultiplier = sc.offender
	for i, n := range d.engines {
		r := &simRegion{name: d.regions[i]}
		for k := range n {
			r.engines = append(r.engines, newSimEngine(s, fmt.Sprintf("%s-engine-%d", r.name, k)))
		}
		for k := range gatewaysPerRegion {
			r.gateways = append(r.gateways, newSimGateway(s, r, k))
		}
		s.regions = append(s.regions, r)
	}
	return s
}

func (s *policySim) time() time.Time { return time.Unix(1_000_000, 0).Add(s.now) }

func (s *policySim) after(d time.Duration, run func()) {
	s.seq++
	heap.Push(&s.events, simEvent{s.now + max(d, 0), s.seq, run})
}

func (s *policySim) run() {
	for i, r := range s.regions {
		for k, g := range r.gateways {
			g.poll()
			s.after(time.Duration(k)*100*time.Millisecond, func() { s.pollLoop(g) })
		}
		for _, a := range s.accounts {
			s.arrivals(i, a, service.ClassInteractive, s.deployment.interactive*a.loadMultiplier)
			s.arrivals(i, a, service.ClassBulk, s.deployment.bulk*s.scenario.bulk*a.loadMultiplier)
		}
	}
	if s.scenario.lostRegion {
		s.after(dayLength/3, func() {
			for _, e := range s.regions[0].engines {
				e.crash()
			}
		})
		s.after(2*dayLength/3, func() {
			for _, e := range s.regions[0].engines {
				e.up = true
			}
		})
	}
	for len(s.events) > 0 && s.events[0].at <= dayLength {
		e := heap.Pop(&s.events).(simEvent)
		s.now = e.at
		e.run()
	}
}

func (s *policySim) pollLoop(g *simGateway) {
	g.poll()
	s.after(time.Second, func() { s.pollLoop(g) })
}

// arrivals schedules a Poisson process whose rate follows the region's daily load curve.
func (s *policySim) arrivals(region int, a *simAccount, class service.Class, perEngine float64) {
	mean := perEngine * float64(len(s.regions[region].engines)) * a.loadShare
	if mean <= 0 {
		return
	}
	maxRate := mean * (1 + peakAmplitude)
	var next func()
	next = func() {
		phase := 2 * math.Pi * (float64(s.now)/float64(dayLength) + float64(region)/float64(len(s.regions)))
		if s.rng.Float64()*(1+peakAmplitude) < 1+peakAmplitude*math.Sin(phase) {
			s.arrive(region, a, class)
		}
		s.after(time.Duration(s.rng.ExpFloat64()/maxRate*float64(time.Second)), next)
	}
	s.after(time.Duration(s.rng.ExpFloat64()/maxRate*float64(time.Second)), next)
}

func (s *policySim) arrive(region int, a *simAccount, class service.Class) {
	j := &job{account: a, class: class, arrived: s.now, outputTokens: 40, exclude: make(map[string]bool)}
	uniqueBlocks := 2 // blocks not shared with other prompts
	if class == service.ClassBulk {
		uniqueBlocks, j.outputTokens = 48, 200
	}
	dossier := uint64(a.number*prefixesPerAccount + s.rng.IntN(prefixesPerAccount))
	for i := range prefixBlocks {
		j.blocks = append(j.blocks, tokens.Block(dossier<<32|uint64(i)|1<<60))
	}
	for range uniqueBlocks {
		s.unique++
		j.blocks = append(j.blocks, tokens.Block(s.unique))
	}
	j.promptTokens = len(j.blocks) * tokens.BlockTokens
	gateways := s.regions[region].gateways
	j.origin = gateways[a.number%len(gateways)]
	if s.now >= warmUp {
		s.submitted++
		if class == service.ClassInteractive {
			a.offered++
		}
	}
	s.submit(j)
}

// submit chooses the failure domain, as the instance that received the request does.
func (s *policySim) submit(j *job) {
	j.attempt++
	local := j.origin.domain()
	var others []routing.Domain
	for _, r := range s.regions {
		for _, g := range r.gateways {
			if r != j.origin.region {
				others = append(others, g.lastReport)
			}
		}
	}
	chosen := s.chooseDomain(j, &local, others)
	if chosen == nil {
		s.reject(j)
		return
	}
	target, delay := j.origin, time.Duration(0)
	if chosen != &local {
		target, delay = s.gateway(chosen.PeerID), linkDelay
	}
	j.servingGateway, j.generated = target, 0
	s.after(delay, func() { target.queue.submit(j) })
}

func (s *policySim) chooseDomain(j *job, local *routing.Domain, others []routing.Domain) *routing.Domain {
	r := &routing.Request{Service: s.service, Account: uint64(j.account.number), Bulk: j.bulk(), PromptTokens: j.promptTokens, Exclude: j.exclude}
	if s.policy.route == routeScore {
		return j.origin.router.ChooseDomain(r, local, others)
	}
	if local.Servers > 0 {
		return local
	}
	others = slices.DeleteFunc(others, func(d routing.Domain) bool { return d.Servers == 0 })
	if len(others) == 0 {
		return nil
	}
	return &others[s.rng.IntN(len(others))]
}

func (s *policySim) gateway(id string) *simGateway {
	for _, r := range s.regions {
		for _, g := range r.gateways {
			if g.id == id {
				return g
			}
		}
	}
	return nil
}

func (j *job) bulk() bool { return j.class == service.ClassBulk }

// link returns the one-way delay between the job's origin and the gateway that runs it.
func (j *job) link() time.Duration {
	if j.servingGateway.region == j.origin.region {
		return 0
	}
	return linkDelay
}

func (s *policySim) handleSettled(j *job, granted bool) {
	if granted {
		j.servingGateway.dispatch(j)
		return
	}
	s.handleRefusal(j)
}

// handleRefusal excludes the domain that refused the job and retries it on another one.
func (s *policySim) handleRefusal(j *job) {
	j.exclude[j.servingGateway.region.name] = true
	if s.policy.route != routeScore || j.attempt >= maxAttempts {
		s.reject(j)
		return
	}
	s.after(j.link(), func() { s.submit(j) })
}

func (s *policySim) reject(j *job) {
	if j.arrived >= warmUp && j.class == service.ClassInteractive {
		j.account.refused++
	}
}

// handleEngineLost handles a job whose engine crashed.
func (s *policySim) handleEngineLost(j *job) {
	j.servingGateway.releaseJob(j, false)
	if j.firstTokenSent || j.attempt >= maxAttempts { // the caller has received part of the response
		s.reject(j)
		return
	}
	s.after(j.link(), func() { s.submit(j) })
}

func (s *policySim) firstToken(j *job) {
	j.entry.EndPrefill(j.uncachedTokens)
	j.firstTokenLatency = s.time().Sub(j.sent)
	j.firstTokenSent = true
	j.servingGateway.recordFirstToken(j)
	if j.arrived < warmUp {
		return
	}
	if j.servingGateway.region != j.origin.region {
		s.spilled++
	}
	first := s.now - j.arrived + j.link()
	if j.class == service.ClassBulk {
		s.bulk = append(s.bulk, first)
		return
	}
	j.account.started++
	if j.account.loadMultiplier > 1 {
		return
	}
	s.interactive = append(s.interactive, first)
}

func (s *policySim) finished(j *job) { j.servingGateway.releaseJob(j, true) }

// countRecomputed counts the prompt tokens that have to be computed although some engine
// has computed them before.
func (s *policySim) countRecomputed(e *simEngine, j *job) {
	for _, block := range j.blocks[(j.promptTokens-j.prefillTokens)/tokens.BlockTokens:] {
		if s.seenBlocks[block] {
			e.recomputed += tokens.BlockTokens
		}
		s.seenBlocks[block] = true
	}
}
