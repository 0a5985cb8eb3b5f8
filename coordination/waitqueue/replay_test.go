package waitqueue

import (
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"
	"time"
)

// The replayed load: callers of a patient route, whose streams hold their slots for seconds.
const (
	replaySlots     = 120
	replayHold      = 2 * time.Second // of a slot, on average
	replayObjective = 2500 * time.Millisecond
	replayOnTime    = replayObjective * 8 / 10 // latest start for a response that is on time
	replayTimeout   = 15 * time.Second
	replayLoad      = 0.8 // of what the servers can run, outside of the burst
	replayBurst     = 2.4 // times that load
	burstBegin      = 5 * time.Second
	burstEnd        = 12 * time.Second
	replayEnd       = 30 * time.Second
	replayStep      = 5 * time.Millisecond
	expireInterval  = 20 * time.Millisecond
	replaySeeds     = 6
	replayJitter    = 0.5
	replayAccounts  = 8
	replayBytes     = 100
)

var replayStart = time.Unix(1_000_000, 0)

// replayCaller is a caller that returns once after it was refused.
type replayCaller struct {
	account      string
	firstArrived time.Time
	arrived      time.Time // last attempt
	left         time.Duration
	returned     bool
	told         bool // it returns at the time that it was told
}

// request returns the request as an instance sees it, which does not know the caller from before.
func (c *replayCaller) request() Request {
	first := c.left >= replayTimeout*8/10
	r := Request{
		Account: c.account, Weight: 100, Cost: 500, Bytes: replayBytes,
		OnTime: c.arrived.Add(replayOnTime), Latest: c.arrived.Add(min(c.left/2, 3*replayObjective)),
		ReturnFrom:  c.arrived.Add(c.left - replayTimeout*8/10),
		ReturnUntil: c.arrived.Add(c.left - replayTimeout*2/3),
	}
	if !first {
		r.OnTime = r.OnTime.Add(c.left - replayTimeout)
		r.Returned = c.arrived.Before(r.ReturnUntil)
	}
	return r
}

// outcomes counts callers.
type outcomes struct {
	callers, onTime, late  int
	returned, refusedTwice int
	told, kept             int // callers that were told a time which they keep, and of these those that were started
}

func (o *outcomes) add(other *outcomes) {
	o.callers += other.callers
	o.onTime += other.onTime
	o.late += other.late
	o.returned += other.returned
	o.refusedTwice += other.refusedTwice
	o.told += other.told
	o.kept += other.kept
}

func fraction(part, of int) float64 { return float64(part) / float64(max(of, 1)) }

// replay plays the load in virtual time on one instance.
type replay struct {
	waits     bool
	burst     float64 // times the usual load
	hot       float64 // times the usual load of account 0 during the burst
	queue     *Queue[*replayCaller]
	arrivals  []*rand.Rand // by account
	other     *rand.Rand
	now       time.Time
	running   []time.Time // ends
	returning []*replayCaller
	hotOwn    outcomes // of account 0
	others    outcomes
}

// play plays one seed of the load.
func play(seed uint64, waits bool, burst, hot float64) *replay {
	p := &replay{
		waits: waits, burst: burst, hot: hot, now: replayStart,
		other: rand.New(rand.NewPCG(seed, 0)),
		queue: New[*replayCaller](Settings{MaxWaiting: 512, MaxBytes: 512 * replayBytes, RetryJitter: replayJitter}),
	}
	for i := range replayAccounts {
		p.arrivals = append(p.arrivals, rand.New(rand.NewPCG(seed, uint64(1+i))))
	}
	for p.now.Before(replayStart.Add(replayEnd)) {
		p.now = p.now.Add(replayStep)
		p.endRequests()
		p.arrive()
		p.comeBack()
		if p.now.Sub(replayStart)%expireInterval == 0 {
			for _, refused := range p.queue.Expire(p.now) {
				p.refuse(refused.Value, refused.RetryAfter)
			}
		}
	}
	return p
}

// playAll sums up some seeds.
func playAll(waits bool, burst, hot float64) (hotOwn, others outcomes) {
	for seed := range uint64(replaySeeds) {
		p := play(seed, waits, burst, hot)
		hotOwn.add(&p.hotOwn)
		others.add(&p.others)
	}
	return hotOwn, others
}

func (p *replay) of(c *replayCaller) *outcomes {
	if c.account == "0" {
		return &p.hotOwn
	}
	return &p.others
}

func (p *replay) endRequests() {
	p.running = slices.DeleteFunc(p.running, func(end time.Time) bool { return !end.After(p.now) })
	for len(p.running) < replaySlots && p.queue.Len() > 0 {
		for t := range p.queue.Heads(1) {
			p.queue.Start(t, p.now)
			p.start(t.Value)
		}
	}
}

func (p *replay) arrive() {
	elapsed := p.now.Sub(replayStart)
	inBurst := elapsed >= burstBegin && elapsed < burstEnd
	for i := range replayAccounts {
		rate := replayLoad * replaySlots / replayHold.Seconds() / replayAccounts
		if inBurst {
			rate *= p.burst
		}
		if inBurst && i == 0 {
			rate *= p.hot
		}
		for at := p.arrivals[i].ExpFloat64() / rate; at < replayStep.Seconds(); at += p.arrivals[i].ExpFloat64() / rate {
			left := 0.85 + 0.15*p.arrivals[i].Float64()
			c := &replayCaller{account: strconv.Itoa(i), firstArrived: p.now, left: time.Duration(left * float64(replayTimeout))}
			p.of(c).callers++
			p.submit(c)
		}
	}
}

func (p *replay) comeBack() {
	due := slices.Clone(p.returning)
	due = slices.DeleteFunc(due, func(c *replayCaller) bool { return c.arrived.After(p.now) })
	p.returning = slices.DeleteFunc(p.returning, func(c *replayCaller) bool { return !c.arrived.After(p.now) })
	for _, c := range due {
		p.submit(c)
	}
}

func (p *replay) submit(c *replayCaller) {
	c.arrived = p.now
	switch {
	case len(p.running) < replaySlots:
		p.queue.RecordStart(p.now)
		p.start(c)
	case !p.waits:
		p.refuse(c, maxRetryAfter)
	default:
		_, displaced, refusal := p.queue.Join(c.request(), c, p.now)
		for _, other := range displaced {
			p.refuse(other.Value, other.RetryAfter)
		}
		if refusal != nil {
			p.refuse(c, refusal.RetryAfter)
		}
	}
}

func (p *replay) start(c *replayCaller) {
	p.running = append(p.running, p.now.Add(time.Duration(p.other.ExpFloat64()*float64(replayHold))))
	o := p.of(c)
	if p.now.After(c.firstArrived.Add(replayOnTime)) {
		o.late++
	} else {
		o.onTime++
	}
	if c.told {
		o.kept++
	}
}

// refuse lets a caller return as told, but at the latest after a third of the time that it has left.
func (p *replay) refuse(c *replayCaller, retryAfter time.Duration) {
	o := p.of(c)
	if c.returned {
		o.refusedTwice++
		return
	}
	o.returned++
	c.returned = true
	c.left -= p.now.Sub(c.arrived)
	told := time.Duration(float64(retryAfter) * (1 + replayJitter*p.other.Float64()))
	if c.told = told <= c.left/3; c.told {
		o.told++
	}
	wait := min(told, c.left/3)
	c.left -= wait
	c.arrived = p.now.Add(wait)
	p.returning = append(p.returning, c)
}

// Guards against refusals of requests that would start in time if they waited.
func TestMoreAreOnTimeIfTheyWait(t *testing.T) {
	hot, without := playAll(false, replayBurst, 1)
	without.add(&hot)
	hot, with := playAll(true, replayBurst, 1)
	with.add(&hot)
	t.Logf("on time %.3f, without waiting %.3f; refused twice %.3f, without %.3f", fraction(with.onTime, with.callers),
		fraction(without.onTime, without.callers), fraction(with.refusedTwice, with.callers), fraction(without.refusedTwice, without.callers))
	if with.onTime <= without.onTime {
		t.Errorf("%d on time, %d without waiting", with.onTime, without.onTime)
	}
	if with.refusedTwice >= without.refusedTwice {
		t.Errorf("%d refused twice, %d without waiting", with.refusedTwice, without.refusedTwice)
	}
}

// Guards against a Retry-After after which the request is refused again.
func TestCallersThatReturnAsToldAreStarted(t *testing.T) {
	const minKept = 0.95
	hot, all := playAll(true, replayBurst, 1)
	all.add(&hot)
	t.Logf("%d told of %d refused, kept %.3f; started of all that returned %.3f", all.told, all.returned, fraction(all.kept, all.told),
		1-fraction(all.refusedTwice, all.returned))
	if all.told == 0 || fraction(all.kept, all.told) < minKept {
		t.Errorf("%d of %d were started, want %.2f", all.kept, all.told, minKept)
	}
}

// Guards against an account whose burst delays the requests of the others.
func TestHotAccountDelaysOnlyItself(t *testing.T) {
	const hot, rounding = 6, 0.0005
	_, before := playAll(true, 1, 1)
	own, others := playAll(true, 1, hot)
	was, is := fraction(before.onTime, before.callers), fraction(others.onTime, others.callers)
	t.Logf("others on time %.4f, without the hot account's burst %.4f; the hot account %.3f", is, was, fraction(own.onTime, own.callers))
	if is < was-rounding {
		t.Errorf("%.4f of the other accounts' requests on time, %.4f without the hot account's burst", is, was)
	}
}
