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
	linkDelay    = 80 * time.Millisecond // one way, between regions
	dayLength    = 300 * time.Second     // a day's peaks, compressed
	warmUp       = 20 * time.Second      // not measured
	peakSwing    = 0.6                   // of the mean load
	gatewaysEach = 2                     // in a region
	maxAttempts  = 3
	dossiers     = 6 // shared prompt prefixes of an account
	prefixBlocks = 16
)

// job is one request in the model.
type job struct {
	account            *simAccount
	class              service.Class
	prompt, output     int
	blocks             []tokens.Block
	arrived            time.Duration
	origin, at         *simGateway
	attempt            int
	exclude            map[string]bool
	engine             *simEngine
	entry              *servers.Entry
	prefill, generated int
	uncached           int
	sent               time.Time
	alone, expected    time.Duration
	latency            time.Duration
	answered           bool
}

type simAccount struct {
	name   string
	share  float64 // of the load
	rate   float64 // weight in the queue
	number int
	times  float64 // what it sends, against its rate

	offered, started int // interactive requests
	refused          int
}

type simRegion struct {
	name     string
	engines  []*simEngine
	gateways []*simGateway
}

// simEvent is something due at a time; events of one time go in order.
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

// policySim runs the product's decisions over modelled engines in virtual time.
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
	seen       map[tokens.Block]bool
	unique     uint64

	interactive, bulk []time.Duration // times to the first token
	submitted, away   int
}

func newPolicySim(d simDeployment, sc simScenario, p simPolicy, seed uint64) *policySim {
	s := &policySim{
		deployment: d, scenario: sc, policy: p, service: d.service(),
		rng: rand.New(rand.NewPCG(seed, 1)), seen: make(map[tokens.Block]bool),
	}
	for i, share := range []float64{0.4, 0.3, 0.15, 0.1, 0.05} {
		s.accounts = append(s.accounts, &simAccount{name: fmt.Sprint("account-", i), share: share, rate: share, number: i, times: 1})
	}
	s.accounts[offenderAccount].times = sc.offender
	for i, n := range d.engines {
		r := &simRegion{name: d.regions[i]}
		for k := range n {
			r.engines = append(r.engines, newSimEngine(s, fmt.Sprintf("%s-engine-%d", r.name, k)))
		}
		for k := range gatewaysEach {
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
			s.arrivals(i, a, service.ClassInteractive, s.deployment.interactive*a.times)
			s.arrivals(i, a, service.ClassBulk, s.deployment.bulk*s.scenario.bulk*a.times)
		}
	}
	if s.scenario.lostRegion {
		s.after(dayLength/3, func() {
			for _, e := range s.regions[0].engines {
				e.lose()
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

// arrivals is a Poisson process whose rate follows the region's day.
func (s *policySim) arrivals(region int, a *simAccount, class service.Class, perEngine float64) {
	mean := perEngine * float64(len(s.regions[region].engines)) * a.share
	if mean <= 0 {
		return
	}
	peak := mean * (1 + peakSwing)
	var next func()
	next = func() {
		phase := 2 * math.Pi * (float64(s.now)/float64(dayLength) + float64(region)/float64(len(s.regions)))
		if s.rng.Float64()*(1+peakSwing) < 1+peakSwing*math.Sin(phase) {
			s.arrive(region, a, class)
		}
		s.after(time.Duration(s.rng.ExpFloat64()/peak*float64(time.Second)), next)
	}
	s.after(time.Duration(s.rng.ExpFloat64()/peak*float64(time.Second)), next)
}

func (s *policySim) arrive(region int, a *simAccount, class service.Class) {
	j := &job{account: a, class: class, arrived: s.now, output: 40, exclude: make(map[string]bool)}
	own := 2 // blocks of its own
	if class == service.ClassBulk {
		own, j.output = 48, 200
	}
	dossier := uint64(a.number*dossiers + s.rng.IntN(dossiers))
	for i := range prefixBlocks {
		j.blocks = append(j.blocks, tokens.Block(dossier<<32|uint64(i)|1<<60))
	}
	for range own {
		s.unique++
		j.blocks = append(j.blocks, tokens.Block(s.unique))
	}
	j.prompt = len(j.blocks) * tokens.BlockTokens
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

// submit chooses the failure domain, as the instance that the caller talks to does.
func (s *policySim) submit(j *job) {
	j.attempt++
	own := j.origin.domain()
	var others []routing.Domain
	for _, r := range s.regions {
		for _, g := range r.gateways {
			if r != j.origin.region {
				others = append(others, g.reported)
			}
		}
	}
	chosen := s.chooseDomain(j, &own, others)
	if chosen == nil {
		s.giveUp(j)
		return
	}
	target, delay := j.origin, time.Duration(0)
	if chosen != &own {
		target, delay = s.gateway(chosen.PeerID), linkDelay
	}
	j.at, j.generated = target, 0
	s.after(delay, func() { target.line.submit(j) })
}

func (s *policySim) chooseDomain(j *job, own *routing.Domain, others []routing.Domain) *routing.Domain {
	r := &routing.Request{Service: s.service, Account: uint64(j.account.number), Bulk: j.bulk(), PromptTokens: j.prompt, Exclude: j.exclude}
	if s.policy.route == routeScore {
		return j.origin.router.ChooseDomain(r, own, others)
	}
	if own.Servers > 0 {
		return own
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

// link is the delay between the job's origin and where it runs.
func (j *job) link() time.Duration {
	if j.at.region == j.origin.region {
		return 0
	}
	return linkDelay
}

func (s *policySim) settled(j *job, granted bool) {
	if granted {
		j.at.place(j)
		return
	}
	s.refused(j)
}

// refused lets the job try another domain once what refused it is excluded.
func (s *policySim) refused(j *job) {
	j.exclude[j.at.region.name] = true
	if s.policy.route != routeScore || j.attempt >= maxAttempts {
		s.giveUp(j)
		return
	}
	s.after(j.link(), func() { s.submit(j) })
}

func (s *policySim) giveUp(j *job) {
	if j.arrived >= warmUp && j.class == service.ClassInteractive {
		j.account.refused++
	}
}

// lost is called when the engine went away with the job.
func (s *policySim) lost(j *job) {
	j.at.leave(j, false)
	if j.answered || j.attempt >= maxAttempts { // the caller has part of the answer
		s.giveUp(j)
		return
	}
	s.after(j.link(), func() { s.submit(j) })
}

func (s *policySim) firstToken(j *job) {
	j.entry.EndPrefill(j.uncached)
	j.latency = s.time().Sub(j.sent)
	j.answered = true
	j.at.began(j)
	if j.arrived < warmUp {
		return
	}
	if j.at.region != j.origin.region {
		s.away++
	}
	first := s.now - j.arrived + j.link()
	if j.class == service.ClassBulk {
		s.bulk = append(s.bulk, first)
		return
	}
	j.account.started++
	if j.account.times > 1 {
		return
	}
	s.interactive = append(s.interactive, first)
}

func (s *policySim) finished(j *job) { j.at.leave(j, true) }

// countAgain counts prompt tokens that have to be computed although an engine
// has computed them before.
func (s *policySim) countAgain(e *simEngine, j *job) {
	for _, block := range j.blocks[(j.prompt-j.prefill)/tokens.BlockTokens:] {
		if s.seen[block] {
			e.again += tokens.BlockTokens
		}
		s.seen[block] = true
	}
}
