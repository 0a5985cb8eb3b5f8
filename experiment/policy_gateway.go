package experiment

import (
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/basilroute/basilroute/coordination/admission"
	"github.com/basilroute/basilroute/coordination/prefix"
	"github.com/basilroute/basilroute/coordination/routing"
	"github.com/basilroute/basilroute/state/servers"
)

// simGateway models one entry instance: it runs the product's decisions on the modelled
// engines of its region.
type simGateway struct {
	sim            *policySim
	id             string
	region         *simRegion
	queue          jobQueue
	table          *servers.Table
	limiters       map[*servers.Entry]*admission.Limiter
	index          *prefix.Index
	router         *routing.Router
	roundRobinNext int // of round robin
	lastReport     routing.Domain
	reportSeq      uint64
}

func newSimGateway(sim *policySim, region *simRegion, n int) *simGateway {
	g := &simGateway{
		sim: sim, id: fmt.Sprintf("%s-%d", region.name, n), region: region, table: servers.New(),
		limiters: make(map[*servers.Entry]*admission.Limiter), index: prefix.New(region.name),
		router: routing.NewRouter(region.name, region.name),
	}
	g.queue = newAdmissionQueue(sim, sim.service)
	if sim.policy.fifo {
		g.queue = &fifoQueue{sim: sim, service: sim.service}
	}
	var list []servers.Identity
	for _, e := range region.engines {
		list = append(list, servers.Identity{ID: e.id, Service: sim.service.Name, Region: region.name, Domain: region.name})
	}
	g.table.Replace(list, sim.time().Add(-time.Hour))
	return g
}

// poll applies the engines' load reports, as an instance does every second.
func (g *simGateway) poll() {
	now := g.sim.time()
	for _, e := range g.region.engines {
		if !e.up {
			g.table.RecordCallFailure(g.sim.service.Name, e.id, 1)
			continue
		}
		g.table.Report(g.sim.service.Name, e.id, e.load(now))
		entry := g.table.Entry(g.sim.service.Name, e.id)
		g.index.SetBootID(entry.Slot(), entry.View().Load.BootID)
		after := g.index.LastSeq(entry.Slot())
		first := len(e.events)
		for first > 0 && e.events[first-1].Seq > after {
			first--
		}
		g.index.Apply(entry.Slot(), e.events[first:])
		l := g.limiter(entry)
		load := entry.View().Load
		l.ApplyReport(admission.LoadReport{BootID: load.BootID, Running: load.Running, Waiting: load.Waiting, BulkInFlight: entry.Bulk()}, now)
		entry.SetLimit(l.Limit(int(g.sim.service.Limits.Concurrency)))
	}
	routing.EjectSlow(g.table, g.sim.service.Name, now)
	g.refresh()
	g.queue.shed()
	g.publish()
}

func (g *simGateway) limiter(e *servers.Entry) *admission.Limiter {
	if g.limiters[e] == nil {
		g.limiters[e] = admission.NewLimiter()
	}
	return g.limiters[e]
}

func (g *simGateway) refresh() {
	capacity, forBulk := 0, 0
	for _, e := range g.table.Entries(g.sim.service.Name) {
		if v := e.View(); v.Usable() && !v.Ejected(g.sim.time()) {
			capacity += e.Limit()
			forBulk += e.BulkLimit()
		}
	}
	g.queue.configure(capacity, forBulk)
}

// publish updates the report that other gateways see until the next poll.
func (g *simGateway) publish() {
	g.reportSeq++
	g.lastReport = g.domain()
	g.lastReport.ReportSeq, g.lastReport.PeerAddress = g.reportSeq, g.id
}

func (g *simGateway) domain() routing.Domain {
	d := routing.Domain{
		Name: g.region.name, Region: g.region.name, PeerID: g.id, PeerHash: xxhash.Sum64String(g.id),
		LinkDelay: linkDelay,
	}
	for _, e := range g.table.Entries(g.sim.service.Name) {
		if e.View().Usable() {
			d.Servers++
		}
	}
	stats := g.queue.stats()
	d.Interactive, d.Bulk = simQueue(stats.Interactive), simQueue(stats.Bulk)
	return d
}

func simQueue(s admission.ClassStats) routing.Queue {
	return routing.Queue{ExpectedWait: s.ExpectedWait, AcceptsRemote: s.AcceptsRemote, FreeSlots: s.FreeSlots}
}

// dispatch sends a job that was granted a slot to an engine.
func (g *simGateway) dispatch(j *job) {
	list := g.table.Entries(g.sim.service.Name)
	r := &routing.Request{Service: g.sim.service, Bulk: j.bulk(), PromptTokens: j.promptTokens, CachedBlocks: &prefix.Matches{}}
	g.index.Match(j.blocks, "", r.CachedBlocks)
	i := g.choose(r, list)
	if i < 0 {
		g.queue.release(j)
		g.sim.handleRefusal(j)
		return
	}
	j.entry = list[i]
	now := g.sim.time()
	j.unloadedFirstToken = max(routing.UnloadedFirstToken(r, j.entry), minSimExpected)
	j.expectedFirstToken = max(routing.ExpectedFirstToken(r, j.entry, now), minSimExpected)
	j.uncachedTokens = r.UncachedTokens(j.entry)
	j.sent = now
	j.entry.Begin(j.uncachedTokens, j.bulk())
	g.index.RecordDispatch(j.entry.Slot(), "", j.blocks)
	j.engine = g.region.engines[i]
	j.engine.enqueue(j)
}

const minSimExpected = 20 * time.Millisecond

func (g *simGateway) choose(r *routing.Request, list []*servers.Entry) int {
	now := g.sim.time()
	if g.sim.policy.route == routeScore {
		return routing.ChooseServer(r, list, now, g.sim.rng)
	}
	var usable []int
	for i, e := range list {
		if e.View().Usable() {
			usable = append(usable, i)
		}
	}
	if len(usable) == 0 {
		return -1
	}
	switch g.sim.policy.route {
	case routeRandom:
		return usable[g.sim.rng.IntN(len(usable))]
	case routeRoundRobin:
		g.roundRobinNext++
		return usable[g.roundRobinNext%len(usable)]
	}
	best := usable[0]
	for _, i := range usable {
		if list[i].InFlight() < list[best].InFlight() {
			best = i
		}
	}
	return best
}

// releaseJob records the end of the job on its engine and releases its slot.
func (g *simGateway) releaseJob(j *job, answered bool) {
	now := g.sim.time()
	if j.generated == 0 {
		j.entry.EndPrefill(j.uncachedTokens)
	}
	j.entry.End(j.bulk())
	if answered {
		routing.RecordResponse(j.entry, j.firstTokenLatency, j.expectedFirstToken, now.Sub(j.sent))
	} else {
		g.addSample(j, admission.Sample{Failed: true})
		routing.RecordFailure(g.table, j.entry, now)
	}
	g.refresh()
	g.queue.release(j)
}

// recordFirstToken passes the latency of the first token to the limiter, as package
// dispatch does.
func (g *simGateway) recordFirstToken(j *job) {
	g.addSample(j, admission.Sample{
		Bulk: j.bulk(), Latency: j.firstTokenLatency, Expected: j.unloadedFirstToken, InFlight: j.entry.InFlight(), BulkInFlight: j.entry.Bulk(),
	})
	g.refresh()
}

func (g *simGateway) addSample(j *job, a admission.Sample) {
	l := g.limiter(j.entry)
	ceiling := int(g.sim.service.Limits.Concurrency)
	l.AddSample(a, ceiling, g.sim.time())
	j.entry.SetLimit(l.Limit(ceiling))
}
