package loadgen

import (
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	histogramMax    = int64(time.Hour / time.Microsecond)
	histogramDigits = 3
)

// outcomeStats aggregates the outcomes of one arm, class or account.
type outcomeStats struct {
	sent, done, refused, failed   int64
	retries                       int64
	tokens                        int64
	offeredTokens                 float64                 // upper bound of the charge if all were admitted
	firstToken, gap, responseTime *hdrhistogram.Histogram // microseconds
}

func newOutcomeStats() *outcomeStats {
	return &outcomeStats{firstToken: newHistogram(), gap: newHistogram(), responseTime: newHistogram()}
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, histogramMax, histogramDigits)
}

func record(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(d.Microseconds(), 1), histogramMax)) // clamped to the histogram's range
}

func (s *outcomeStats) add(p *PlannedRequest, due time.Time, out *Outcome, end time.Time) {
	s.sent++
	s.retries += int64(out.Attempts - 1)
	s.tokens += int64(out.Tokens)
	s.offeredTokens += p.Cost()
	switch {
	case out.Code == CodeDone:
		s.done++
		record(s.responseTime, end.Sub(due))
	case out.refused():
		s.refused++
	default:
		s.failed++
	}
	if !out.First.IsZero() {
		record(s.firstToken, out.First.Sub(due))
	}
	for _, gap := range out.Gaps {
		record(s.gap, gap)
	}
}

// collector collects the outcomes of concurrent requests.
type collector struct {
	mix *Mix

	mu             sync.Mutex
	arms           map[string]*outcomeStats
	classes        map[string]*outcomeStats
	accounts       map[string]*outcomeStats
	codes          map[CodeCount]int64
	charges        map[string][]charge // by account
	warmupRequests int64               // requests planned within the warm-up
}

func newCollector(m *Mix) *collector {
	return &collector{
		mix: m, arms: make(map[string]*outcomeStats), classes: make(map[string]*outcomeStats),
		accounts: make(map[string]*outcomeStats), codes: make(map[CodeCount]int64), charges: make(map[string][]charge),
	}
}

func (c *collector) add(arm string, p *PlannedRequest, due time.Time, out *Outcome, end time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.charges[p.Account.Name] = append(c.charges[p.Account.Name], newCharge(p, out))
	if p.At < c.mix.Warmup {
		c.warmupRequests++
		return
	}
	for _, into := range []struct {
		group map[string]*outcomeStats
		name  string
	}{{c.arms, arm}, {c.classes, p.Kind.Class}, {c.accounts, p.Account.Name}} {
		s := into.group[into.name]
		if s == nil {
			s = newOutcomeStats()
			into.group[into.name] = s
		}
		s.add(p, due, out, end)
	}
	c.codes[CodeCount{Status: out.Status, Code: out.Code, Run: out.Run, Detail: out.Detail}]++
}

func (c *collector) report(took time.Duration) *Report {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := &Report{Seed: c.mix.Seed, Elapsed: took, Warmup: c.warmupRequests}
	r.Arms = rows(c.arms)
	r.Classes = rows(c.classes)
	for code, count := range c.codes {
		code.Count = count
		r.Codes = append(r.Codes, code)
	}
	slices.SortFunc(r.Codes, compareCodes)
	for i := range c.mix.Accounts {
		a := &c.mix.Accounts[i]
		if s := c.accounts[a.Name]; s != nil {
			r.Accounts = append(r.Accounts, accountRow(c.mix, a, s, c.charges[a.Name], took))
		}
	}
	return r
}
