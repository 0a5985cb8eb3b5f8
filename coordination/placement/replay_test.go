package placement

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/basilroute/basilroute/state/backends"
)

// The replay is one region at its peak: long prompts that share 6,300 of 9,190 tokens
// with others on 64 subjects and 4 templates, and short questions, at 2.3 times their
// mean and half as much again in a burst, on servers that read 40 tokens a millisecond, one prompt after the other in
// the order of urgency, and hold as many shared parts as memory allows. Three instances
// place the requests and hear each other every 60 ms.
const (
	replayServers   = 5
	replayInstances = 3
	replayRate      = 40_000.0 // prompt tokens per second of a server
	replayMemory    = 150_000  // tokens of shared parts that a server holds
	replayLength    = 20 * time.Second
	longPerSecond   = 30.0
	shortPerSecond  = 78.0
	longObjective   = time.Second
	shortObjective  = 600 * time.Millisecond
	castEvery       = 60 * time.Millisecond
)

type arrival struct {
	at       time.Time
	work     Request
	instance int
	long     bool
}

func arrivals(seed uint64) []arrival {
	rng := rand.New(rand.NewPCG(seed, 1))
	var out []arrival
	add := func(perSecond float64, make func(at time.Time) arrival) {
		for at := rng.ExpFloat64() / perSecond; at < replayLength.Seconds(); at += rng.ExpFloat64() / perSecond {
			a := make(replayStart.Add(seconds(at)))
			a.instance = rng.IntN(replayInstances)
			a.work.Arrived = a.at
			out = append(out, a)
		}
	}
	own := uint64(1 << 40)
	part := func(id uint64, tokens int) PromptSegment { return PromptSegment{ID: id, Tokens: tokens} }
	ownTokens := func(mean float64) int { return int(min(mean*rng.ExpFloat64(), 8*mean)) + 1 }
	add(longPerSecond, func(at time.Time) arrival {
		own++
		subject := uint64(math.Pow(rng.Float64(), 1.4) * 64)
		parts := []PromptSegment{part(1+subject%4, 2520), part(100+subject, 3780), part(own, ownTokens(2890))}
		return arrival{at: at, long: true, work: Request{
			Segments: parts, Tokens: total(parts), Urgency: 1, Objective: longObjective, Deadline: at.Add(5 * time.Second),
		}}
	})
	add(shortPerSecond, func(at time.Time) arrival {
		own++
		parts := []PromptSegment{part(1000+rng.Uint64N(20), 119), part(2000+rng.Uint64N(253), 79), part(own, ownTokens(628))}
		return arrival{at: at, work: Request{
			Segments: parts, Tokens: total(parts), Objective: shortObjective, Deadline: at.Add(15 * time.Second),
		}}
	})
	sortArrivals(out)
	return out
}

func sortArrivals(list []arrival) {
	for i := 1; i < len(list); i++ {
		for j := i; j > 0 && list[j].at.Before(list[j-1].at); j-- {
			list[j], list[j-1] = list[j-1], list[j]
		}
	}
}

func total(parts []PromptSegment) int {
	n := 0
	for _, p := range parts {
		n += p.Tokens
	}
	return n
}

var replayStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// engineModel reads one prompt after the other, short ones first.
type engineModel struct {
	busy  time.Time // until when the long ones are read
	short time.Time // until when the short ones are
	cache *cache
	read  int
	again int // of shared parts that some server had read
}

// run returns when the first byte comes.
func (e *engineModel) run(a *arrival, seen map[uint64]bool) time.Time {
	unread := a.work.Tokens - e.cache.match(a.work.Segments)
	for i, p := range a.work.Segments[:len(a.work.Segments)-1] {
		if e.cache.match(a.work.Segments[:i+1]) < total(a.work.Segments[:i+1]) && seen[p.ID] {
			e.again += p.Tokens
		}
		seen[p.ID] = true
	}
	e.read += unread
	e.cache.touch(a.work.Segments[:len(a.work.Segments)-1], replayMemory)
	took := seconds(float64(unread) / replayRate)
	if !a.long {
		e.short = later(e.short, a.at).Add(took)
		e.busy = later(e.busy, a.at).Add(took)
		return e.short.Add(seconds(baseTime))
	}
	e.busy = later(later(e.busy, e.short), a.at).Add(took)
	return e.busy.Add(seconds(baseTime))
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// outcome of a replay.
type outcome struct {
	onTime, all float64
	read, again int
}

func (o outcome) share() float64 { return o.onTime / o.all }

// policy chooses the server of an arrival, -1 for a refusal.
type policy interface {
	choose(a *arrival) int
	answered(a *arrival, server int, at time.Time)
}

func replay(list []arrival, p policy) outcome {
	engines := make([]*engineModel, replayServers)
	for i := range engines {
		engines[i] = &engineModel{cache: newCache()}
	}
	seen := make(map[uint64]bool)
	var o outcome
	for i := range list {
		a := &list[i]
		o.all++
		s := p.choose(a)
		if s < 0 {
			continue
		}
		first := engines[s].run(a, seen)
		p.answered(a, s, first)
		if first.Sub(a.at) <= a.work.Objective {
			o.onTime++
		}
	}
	for _, e := range engines {
		o.read += e.read
		o.again += e.again
	}
	return o
}

// pools is the product's choice: one pool an instance, which hear each other.
type pools struct {
	pools  []*Pool
	cast   time.Time
	open   []openPlacement
	placed *Placement
}

type openPlacement struct {
	pool  *Pool
	p     *Placement
	first time.Time
}

func newPools() *pools {
	out := &pools{cast: replayStart}
	var entries []backends.Entry
	for i := range replayServers {
		entries = append(entries, backends.Entry{Server: backends.Server{ID: fmt.Sprint("s", i), Slots: 64}, Incarnation: 1})
	}
	for range replayInstances {
		p := New()
		p.Update(Settings{Engine: true, Slots: 64, CacheTokens: int(replayMemory / cacheShare)}, entries)
		out.pools = append(out.pools, p)
	}
	return out
}

func (p *pools) choose(a *arrival) int {
	for ; !p.cast.After(a.at); p.cast = p.cast.Add(castEvery) {
		p.settle(p.cast)
		for i, from := range p.pools {
			d := from.LoadReport()
			for j, to := range p.pools {
				if i != j {
					to.ApplyReport(fmt.Sprint(i), &d, p.cast)
				}
			}
		}
	}
	p.settle(a.at)
	choice := p.pools[a.instance].Place(&a.work, a.at)
	if choice.Placement == nil {
		return -1
	}
	p.placed = choice.Placement
	var n int
	_, _ = fmt.Sscanf(choice.Placement.Server.ID, "s%d", &n)
	return n
}

// settle tells the pools of first bytes that have come.
func (p *pools) settle(now time.Time) {
	kept := p.open[:0]
	for _, o := range p.open {
		if o.first.After(now) {
			kept = append(kept, o)
			continue
		}
		o.pool.RecordFirstByte(o.p, o.first)
		o.pool.Done(o.p, OutcomeServed, o.first)
	}
	p.open = kept
}

func (p *pools) answered(a *arrival, _ int, at time.Time) {
	p.open = append(p.open, openPlacement{p.pools[a.instance], p.placed, at})
}

// Baselines: what a gateway does that knows nothing of prompts.

type byHash struct{}

func (byHash) choose(a *arrival) int             { return int(a.work.subject() % replayServers) }
func (byHash) answered(*arrival, int, time.Time) {}

type leastInFlight struct {
	open [replayServers][]time.Time
	rng  *rand.Rand
	two  bool // of two drawn at random
}

func (l *leastInFlight) inFlight(s int, now time.Time) int {
	kept := l.open[s][:0]
	for _, end := range l.open[s] {
		if end.After(now) {
			kept = append(kept, end)
		}
	}
	l.open[s] = kept
	return len(kept)
}

func (l *leastInFlight) choose(a *arrival) int {
	candidates := l.rng.Perm(replayServers)
	if l.two {
		candidates = candidates[:2]
	}
	best, least := 0, math.MaxInt
	for _, s := range candidates {
		if n := l.inFlight(s, a.at); n < least {
			best, least = s, n
		}
	}
	return best
}

func (l *leastInFlight) answered(_ *arrival, s int, at time.Time) { l.open[s] = append(l.open[s], at) }

// At a region's peak the servers cannot read every prompt whole: what is shared has to
// be found where it was read before, and no server may be kept waiting for it. The
// pool answers more in time than each baseline on every seed, and reads less than
// those that do not look at prompts.
func TestReplayOfAPeak(t *testing.T) {
	for seed := range uint64(4) {
		list := arrivals(seed)
		ours := replay(list, newPools())
		t.Logf("seed %d: pool in time %.3f, read %d, shared again %d", seed, ours.share(), ours.read, ours.again)
		for name, p := range map[string]policy{
			"hash only":       byHash{},
			"least in flight": &leastInFlight{rng: rand.New(rand.NewPCG(seed, 2))},
			"random of two":   &leastInFlight{rng: rand.New(rand.NewPCG(seed, 3)), two: true},
		} {
			theirs := replay(list, p)
			t.Logf("seed %d: %s in time %.3f, read %d, shared again %d", seed, name, theirs.share(), theirs.read, theirs.again)
			if ours.share() < theirs.share() {
				t.Errorf("seed %d: in time %.3f, %s %.3f", seed, ours.share(), name, theirs.share())
			}
			if name != "hash only" && ours.read >= theirs.read {
				t.Errorf("seed %d: read %d tokens, %s %d", seed, ours.read, name, theirs.read)
			}
		}
		if ours.share() < 0.99 {
			t.Errorf("seed %d: in time %.3f, want 0.99", seed, ours.share())
		}
	}
}
