package quarantine

import (
	"cmp"
	"slices"
	"time"

	"github.com/basilroute/basilroute/coordination/rendezvous"
)

const (
	// TrialInterval is the time from the last crash to the first trial, and trialFactor how much longer each further one waits.
	TrialInterval    = 3 * time.Second
	trialFactor      = 4
	maxTrialInterval = 10 * time.Minute
	// requestTrialInterval is the time from the crash that had a request refused to its first trial.
	requestTrialInterval = time.Second
	// trialTimeout is how long another trial waits for the outcome of one.
	trialTimeout = 10 * time.Second

	// trialsInRow is how many trials in a row have to be answered until a request is refused no more. One that crashes a server
	// one time in three gets there once in a hundred times.
	trialsInRow = 12
	// rareTrialsInRow is the same once a trial has crashed a server, as each trial waits longer from then on.
	rareTrialsInRow = 3
)

// ban is a part whose requests are refused.
type ban struct {
	lastCrash time.Time
	moments   int
	limit     int // moments after which it is refused
	reporters []uint64
}

// trials are the trials of a refused part at this instance since its last crash.
type trials struct {
	last     time.Time // when the last one was admitted
	admitted int
	passed   int
}

// running returns how many trials have no outcome yet.
func (t trials) running(now time.Time) int {
	if now.Sub(t.last) >= trialTimeout {
		return 0
	}
	return t.admitted - t.passed
}

// failed reports whether a trial has crashed a server.
func (b *ban) failed() bool { return b.moments > b.limit }

// requiredTrials returns how many trials of a request have to be answered.
func (b *ban) requiredTrials() int {
	if b.failed() {
		return rareTrialsInRow
	}
	return trialsInRow
}

// Verdict says what to do with a request.
type Verdict int

// Verdicts on a request.
const (
	Admitted Verdict = iota
	Trial            // admitted, to find out whether its parts still crash servers; it is sent once
	Refused
)

// Admit returns what to do with a new request with parts and, if it is refused, after what time that may change.
func (p *Parts) Admit(parts []PartKey, now time.Time) (Verdict, time.Duration) {
	if p == nil || !p.anyBanned.Load() {
		return Admitted, 0
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.judge(now)
	verdict, wait := Admitted, time.Duration(0)
	for _, part := range parts {
		b, banned := p.banned[part]
		if !banned {
			continue
		}
		verdict = Trial
		if due := p.nextTrial(part, b); now.Before(due) {
			wait = max(wait, due.Sub(now))
		} else if !p.runsTrial(part, b, now) {
			wait = max(wait, TrialInterval)
		}
	}
	if wait > 0 {
		return Refused, wait
	}
	if verdict == Trial {
		for _, part := range parts {
			if _, banned := p.banned[part]; banned {
				t := p.trials[part]
				t.admitted = t.passed + t.running(now) + 1
				t.last = now
				p.trials[part] = t
			}
		}
	}
	return verdict, 0
}

// AbandonTrial records that a trial of a request with parts did not run.
func (p *Parts) AbandonTrial(parts []PartKey) {
	if p == nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, part := range parts {
		if t, ok := p.trials[part]; ok && t.admitted > t.passed {
			t.admitted--
			p.trials[part] = t
		}
	}
}

// Banned reports whether requests with one of the parts are refused.
func (p *Parts) Banned(parts []PartKey, now time.Time) bool {
	if p == nil || !p.anyBanned.Load() {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.judge(now)
	return slices.ContainsFunc(parts, func(part PartKey) bool { _, banned := p.banned[part]; return banned })
}

// nextTrial returns when a part may be tried next. The trials of a request follow each other until one has crashed a server. From
// then on each waits longer, also after an answer: a request that crashes servers now and then is answered as well. The caller holds
// the lock.
func (p *Parts) nextTrial(part PartKey, b ban) time.Time {
	if !part.request() {
		return b.lastCrash.Add(trialInterval(b.moments - b.limit))
	}
	if !b.failed() {
		return b.lastCrash.Add(requestTrialInterval)
	}
	t := p.trials[part]
	last := b.lastCrash
	if t.last.After(last) {
		last = t.last
	}
	return last.Add(trialInterval(b.moments - b.limit + t.passed))
}

// trialInterval returns how long a trial waits that follows a number of others.
func trialInterval(others int) time.Duration {
	out := TrialInterval
	for range others {
		out = min(trialFactor*out, maxTrialInterval)
	}
	return out
}

// runsTrial reports whether this instance may let a request try a part now. The caller holds the lock.
func (p *Parts) runsTrial(part PartKey, b ban, now time.Time) bool {
	allowed := 1
	if part.request() && !b.failed() {
		allowed += p.trials[part].passed
	}
	if p.trials[part].running(now) >= allowed {
		return false
	}
	return p.owns(part, b) || p.inherits(part, b)
}

// owns reports whether this instance is the one, of those that reported the part's crashes and can be reached, that speaks for its
// ban. The caller holds the lock.
func (p *Parts) owns(part PartKey, b ban) bool {
	if !slices.Contains(b.reporters, p.self) {
		return false
	}
	own := rendezvous.Score(p.self, uint64(part))
	return !slices.ContainsFunc(b.reporters, func(reporter uint64) bool {
		return reporter != p.self && rendezvous.Score(reporter, uint64(part)) > own && p.alive(reporter)
	})
}

// inherits reports whether this instance speaks for a ban because none of those that reported its crashes can be reached. The
// caller holds the lock.
func (p *Parts) inherits(part PartKey, b ban) bool {
	return p.heir != nil && p.heir(part) && !slices.ContainsFunc(b.reporters, p.alive)
}

// OwnBans returns what the refused parts are blamed for that this instance speaks for, by part, at most maxPartRecords.
func (p *Parts) OwnBans(now time.Time) []PartRecord {
	if !p.anyBanned.Load() {
		return nil
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.judge(now)
	var out []PartRecord
	for part, b := range p.banned {
		if len(out) == maxPartRecords || !p.owns(part, b) {
			continue
		}
		r := PartRecord{Part: part}
		for key, c := range p.blamed[part] {
			if !c.cleared() {
				r.Crashes = append(r.Crashes, c.message(key, now))
			}
		}
		slices.SortFunc(r.Crashes, func(a, b PartCrash) int { return cmp.Compare(a.Age, b.Age) })
		out = append(out, r)
	}
	return out
}

// BannedCount returns how many parts are refused.
func (p *Parts) BannedCount(now time.Time) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.judge(now)
	return len(p.banned)
}
