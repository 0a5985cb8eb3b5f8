package placement

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/basilroute/basilroute/state/backends"
)

// The replay is one region in a traffic spike: long prompts that share 6,300 of 9,190 tokens
// with others on 64 subjects and 4 templates, and short questions, at 2.3 times their mean
// rate and half as much again in a burst. The servers prefill 40 tokens a millisecond, one
// prompt after the other in the order of urgency, and cache as many shared segments as memory
// allows. Three instances place the requests and report to each other every 60 ms.
const (
	replayServers   = 5
	replayInstances = 3
	replayRate      = 40_000.0 // prompt tokens per second of a server
	replayMemory    = 150_000  // tokens of shared segments that a server caches
	replayLength    = 20 * time.Second
	longPerSecond   = 30.0
	shortPerSecond  = 78.0
	longObjective   = time.Second
	shortObjective  = 600 * time.Millisecond
	reportInterval  = 60 * time.Millisecond
)

type arrival struct {
	at       time.Time
	request  Request
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
			a.request.Arrived = a.at
			out = append(out, a)
		}
	}
	own := uint64(1 << 40)
	segment := func(id uint64, tokens int) PromptSegment { return PromptSegment{ID: id, Tokens: tokens} }
	ownTokens := func(mean float64) int { return int(min(mean*rng.ExpFloat64(), 8*mean)) + 1 }
	add(longPerSecond, func(at time.Time) arrival {
		own++
		subject := uint64(math.Pow(rng.Float64(), 1.4) * 64)
		segments := []PromptSegment{segment(1+subject%4, 2520), segment(100+subject, 3780), segment(own, ownTokens(2890))}
		return arrival{at: at, long: true, request: Request{
			Segments: segments, Tokens: total(segments), Urgency: 1, Objective: longObjective, Deadline: at.Add(5 * time.Second),
		}}
	})
	add(shortPerSecond, func(at time.Time) arrival {
		own++
		parts := []PromptSegment{segment(1000+rng.Uint64N(20), 119), segment(2000+rng.Uint64N(253), 79), segment(own, ownTokens(628))}
		return arrival{at: at, request: Request{
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

func total(segments []PromptSegment) int {
	n := 0
	for _, p := range segments {
		n += p.Tokens
	}
	return n
}

var replayStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// engineModel prefills one prompt after the other, short ones first.
type engineModel struct {
	prefillUntil time.Time // until when long prompts are prefilled
	urgentUntil  time.Time // until when short prompts are prefilled
	cache        *cache
	prefilled    int
	recomputed   int // tokens of shared segments that some server had computed before
}

// run returns when the first byte arrives.
func (e *engineModel) run(a *arrival, seen map[uint64]bool) time.Time {
	uncached := a.request.Tokens - e.cache.match(a.request.Segments)
	for i, p := range a.request.Segments[:len(a.request.Segments)-1] {
		if e.cache.match(a.request.Segments[:i+1]) < total(a.request.Segments[:i+1]) && seen[p.ID] {
			e.recomputed += p.Tokens
		}
		seen[p.ID] = true
	}
	e.prefilled += uncached
	e.cache.touch(a.request.Segments[:len(a.request.Segments)-1], replayMemory)
	took := seconds(float64(uncached) / replayRate)
	if !a.long {
		e.urgentUntil = later(e.urgentUntil, a.at).Add(took)
		e.prefillUntil = later(e.prefillUntil, a.at).Add(took)
		return e.urgentUntil.Add(seconds(idleFirstByteSeconds))
	}
	e.prefillUntil = later(later(e.prefillUntil, e.urgentUntil), a.at).Add(took)
	return e.prefillUntil.Add(seconds(idleFirstByteSeconds))
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// replayOutcome is the result of a replay.
type replayOutcome struct {
	onTime, all           float64
	prefilled, recomputed int
}

func (o replayOutcome) onTimeFraction() float64 { return o.onTime / o.all }

// replayPolicy chooses the server of an arrival, -1 for a refusal.
type replayPolicy interface {
	choose(a *arrival) int
	recordFirstByte(a *arrival, server int, at time.Time)
}

func replay(list []arrival, p replayPolicy) replayOutcome {
	engines := make([]*engineModel, replayServers)
	for i := range engines {
		engines[i] = &engineModel{cache: newCache()}
	}
	seen := make(map[uint64]bool)
	var o replayOutcome
	for i := range list {
		a := &list[i]
		o.all++
		s := p.choose(a)
		if s < 0 {
			continue
		}
		first := engines[s].run(a, seen)
		p.recordFirstByte(a, s, first)
		if first.Sub(a.at) <= a.request.Objective {
			o.onTime++
		}
	}
	for _, e := range engines {
		o.prefilled += e.prefilled
		o.recomputed += e.recomputed
	}
	return o
}

// poolPolicy is the policy of the product: one pool for each instance; the pools exchange load reports.
type poolPolicy struct {
	pools      []*Pool
	nextReport time.Time
	open       []openPlacement
	placed     *Placement
}

type openPlacement struct {
	pool  *Pool
	p     *Placement
	first time.Time
}

func newPoolPolicy() *poolPolicy {
	out := &poolPolicy{nextReport: replayStart}
	var entries []backends.Entry
	for i := range replayServers {
		entries = append(entries, backends.Entry{Server: backends.Server{ID: fmt.Sprint("s", i), Slots: 64}, Incarnation: 1})
	}
	for range replayInstances {
		p := New()
		p.Update(Settings{Engine: true, Slots: 64, CacheTokens: int(replayMemory / promptCacheFraction)}, entries)
		out.pools = append(out.pools, p)
	}
	return out
}

func (p *poolPolicy) choose(a *arrival) int {
	for ; !p.nextReport.After(a.at); p.nextReport = p.nextReport.Add(reportInterval) {
		p.settle(p.nextReport)
		for i, from := range p.pools {
			d := from.LoadReport()
			for j, to := range p.pools {
				if i != j {
					to.ApplyReport(fmt.Sprint(i), &d, p.nextReport)
				}
			}
		}
	}
	p.settle(a.at)
	choice := p.pools[a.instance].Place(&a.request, a.at)
	if choice.Placement == nil {
		return -1
	}
	p.placed = choice.Placement
	var n int
	_, _ = fmt.Sscanf(choice.Placement.Server.ID, "s%d", &n)
	return n
}

// settle records the first bytes that have arrived.
func (p *poolPolicy) settle(now time.Time) {
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

func (p *poolPolicy) recordFirstByte(a *arrival, _ int, at time.Time) {
	p.open = append(p.open, openPlacement{p.pools[a.instance], p.placed, at})
}

// Baselines: policies of a gateway that ignores prompts, except for their hash.

type byHash struct{}

func (byHash) choose(a *arrival) int                    { return int(a.request.prefixHash() % replayServers) }
func (byHash) recordFirstByte(*arrival, int, time.Time) {}

type leastInFlight struct {
	open       [replayServers][]time.Time
	rng        *rand.Rand
	powerOfTwo bool // the better of two drawn at random
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
	if l.powerOfTwo {
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

func (l *leastInFlight) recordFirstByte(_ *arrival, s int, at time.Time) {
	l.open[s] = append(l.open[s], at)
}

// In a traffic spike the servers cannot compute every prompt in full: shared segments have to
// be found where they were computed before, and no request may wait long for them. On every
// seed the pool answers at least as many requests in time as each baseline, and computes fewer
// tokens than those that ignore prompts.
func TestReplayOfATrafficSpike(t *testing.T) {
	for seed := range uint64(4) {
		list := arrivals(seed)
		ours := replay(list, newPoolPolicy())
		t.Logf("seed %d: pool in time %.3f, computed %d, shared recomputed %d", seed, ours.onTimeFraction(), ours.prefilled, ours.recomputed)
		for name, p := range map[string]replayPolicy{
			"hash only":       byHash{},
			"least in flight": &leastInFlight{rng: rand.New(rand.NewPCG(seed, 2))},
			"random of two":   &leastInFlight{rng: rand.New(rand.NewPCG(seed, 3)), powerOfTwo: true},
		} {
			theirs := replay(list, p)
			t.Logf("seed %d: %s in time %.3f, computed %d, shared recomputed %d", seed, name, theirs.onTimeFraction(), theirs.prefilled, theirs.recomputed)
			if ours.onTimeFraction() < theirs.onTimeFraction() {
				t.Errorf("seed %d: in time %.3f, %s %.3f", seed, ours.onTimeFraction(), name, theirs.onTimeFraction())
			}
			if name != "hash only" && ours.prefilled >= theirs.prefilled {
				t.Errorf("seed %d: computed %d tokens, %s %d", seed, ours.prefilled, name, theirs.prefilled)
			}
		}
		if ours.onTimeFraction() < 0.99 {
			t.Errorf("seed %d: in time %.3f, want 0.99", seed, ours.onTimeFraction())
		}
	}
}
