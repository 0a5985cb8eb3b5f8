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

// series gathers the outcomes of one arm, class or account.
type series struct {
	sent, done, refused, bad int64
	retries                  int64
	tokens                   int64
	offered                  float64                 // tokens charged at the most if all were admitted
	first, gap, whole        *hdrhistogram.Histogram // microseconds
}

func newSeries() *series {
	return &series{first: newHistogram(), gap: newHistogram(), whole: newHistogram()}
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, histogramMax, histogramDigits)
}

func record(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(d.Microseconds(), 1), histogramMax)) // in range by the clamp
}

func (s *series) add(p *PlannedRequest, due time.Time, out *Outcome, end time.Time) {
	s.sent++
	s.retries += int64(out.Attempts - 1)
	s.tokens += int64(out.Tokens)
	s.offered += p.Cost()
	switch {
	case out.Code == CodeDone:
		s.done++
		record(s.whole, end.Sub(due))
	case out.refused():
		s.refused++
	default:
		s.bad++
	}
	if !out.First.IsZero() {
		record(s.first, out.First.Sub(due))
	}
	for _, gap := range out.Gaps {
		record(s.gap, gap)
	}
}

// collector takes outcomes from all requests in flight.
type collector struct {
	mix *Mix

	mu       sync.Mutex
	arms     map[string]*series
	classes  map[string]*series
	accounts map[string]*series
	codes    map[CodeCount]int64
	charges  map[string][]charge // by account
	hidden   int64               // started in the warm-up
}

func newCollector(m *Mix) *collector {
	return &collector{
		mix: m, arms: make(map[string]*series), classes: make(map[string]*series),
		accounts: make(map[string]*series), codes: make(map[CodeCount]int64), charges: make(map[string][]charge),
	}
}

func (c *collector) add(arm string, p *PlannedRequest, due time.Time, out *Outcome, end time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.charges[p.Account.Name] = append(c.charges[p.Account.Name], chargeOf(p, out))
	if p.At < c.mix.Warmup {
		c.hidden++
		return
	}
	for _, into := range []struct {
		group map[string]*series
		name  string
	}{{c.arms, arm}, {c.classes, p.Kind.Class}, {c.accounts, p.Account.Name}} {
		s := into.group[into.name]
		if s == nil {
			s = newSeries()
			into.group[into.name] = s
		}
		s.add(p, due, out, end)
	}
	c.codes[CodeCount{Status: out.Status, Code: out.Code, Run: out.Run, Detail: out.Detail}]++
}

func (c *collector) report(took time.Duration) *Report {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := &Report{Seed: c.mix.Seed, Elapsed: took, Warmup: c.hidden}
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
