package quarantine

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

const (
	newsDelay    = 6 * time.Second // after which all instances know of a crash
	lateAllowed  = 3
	lookup       = "lookup"
	lookupServer = 8
)

// earlyFleet runs a request again and again that crashes servers before its first event.
type earlyFleet struct {
	*partFleet
	rng   *rand.Rand
	third time.Time // when it crashed the third server
	own   int       // crashes of the request
	late  int       // times that it reached a server later than newsDelay after the third
}

func newEarlyFleet(t *testing.T, seed uint64) *earlyFleet {
	f := &earlyFleet{partFleet: newPartFleet(t, 3), rng: rand.New(rand.NewPCG(seed, 4))}
	f.drawBy(seed)
	return f
}

// send sends the request to an instance, whose server it crashes one time in oneIn.
func (f *earlyFleet) send(at, oneIn int) {
	if verdict, _ := f.all[at].Admit([]PartKey{RequestKey(crashingRequest)}, f.now); verdict == Refused {
		return
	}
	if !f.third.IsZero() && f.now.Sub(f.third) > newsDelay {
		f.late++
	}
	if f.rng.IntN(oneIn) > 0 {
		f.answerRequest(at, crashingRequest)
		return
	}
	f.crashes++
	f.own++
	if f.own == 3 {
		f.third = f.now
	}
	f.all[at].RecordEarlyRequestCrash(crashingRequest, fmt.Sprint("s", f.crashes), "boot", f.now)
}

// Guards against a request that crashes servers before its first event, always or now and then, and is let through again because
// answers between cleared it.
func TestRequestThatCrashesBeforeItsFirstEventIsRefused(t *testing.T) {
	const seeds = 50
	for _, tc := range []struct{ oneIn, allowed int }{{1, 0}, {2, seeds / 10}, {3, seeds / 10}} {
		for _, spacing := range []time.Duration{500 * time.Millisecond, 2 * time.Second, 5 * time.Second} {
			broken := 0
			for seed := range uint64(seeds) {
				f := newEarlyFleet(t, seed)
				for began := f.now; f.now.Sub(began) < 4*time.Minute; {
					f.wait(spacing)
					f.send(f.rng.IntN(3), tc.oneIn)
				}
				if f.late > lateAllowed {
					broken++
				}
			}
			t.Logf("one in %d, every %s: too many with %d of %d seeds", tc.oneIn, spacing, broken, seeds)
			if broken > tc.allowed {
				t.Errorf("one in %d, every %s: too many with %d of %d seeds", tc.oneIn, spacing, broken, seeds)
			}
		}
	}
}

// Guards against copies of a request that crash several servers at once, count as one crash, and are sent again together.
func TestCopiesThatCrashServersAtOnceAreRefused(t *testing.T) {
	f := newEarlyFleet(t, 1)
	for at := range 3 {
		f.send(at, 1)
	}
	late := 0
	for began := f.now; f.now.Sub(began) < 4*time.Minute; {
		f.wait(7 * time.Second)
		before := f.late
		for n := range 6 { // copies, before instances tell each other
			f.send(n%3, 1)
		}
		late = max(late, f.late-before)
	}
	if late > 1 || f.late > lateAllowed {
		t.Errorf("%d copies at once, %d altogether reached servers late", late, f.late)
	}
}

// crashPattern is how servers crash that run a sound request of many callers.
type crashPattern struct {
	perSecond int
	took      time.Duration
	together  int // servers that crash at one moment
	times     int
	spacing   time.Duration
}

// lookups runs a sound request of many callers while servers crash, and returns the time from the last crash to the last refusal,
// and the share that was admitted.
func lookups(t *testing.T, p crashPattern, seed uint64) (refusedFor time.Duration, admitted float64) {
	const (
		tick   = 10 * time.Millisecond
		before = 2 * time.Second
		after  = 20 * time.Second
	)
	type run struct {
		at, server int
		ends       time.Time
	}
	f := newEarlyFleet(t, seed)
	var running []run
	next := f.now.Add(before)
	var lastCrash, lastRefused time.Time
	end := next.Add(time.Duration(p.times-1)*p.spacing + after)
	total, refused, crashes := 0, 0, 0
	for n := 0; f.now.Before(end); n++ {
		f.now = f.now.Add(tick)
		if n%50 == 0 {
			f.wait(0)
		}
		crashed := make(map[int]bool)
		if crashes < p.times && !f.now.Before(next) {
			crashes, next, lastCrash = crashes+1, f.now.Add(p.spacing), f.now
			for _, s := range f.rng.Perm(lookupServer)[:p.together] {
				crashed[s] = true
			}
		}
		var left []run
		for _, r := range running {
			switch {
			case crashed[r.server]:
				f.all[r.at].RecordEarlyRequestCrash(lookup, fmt.Sprint("s", r.server), fmt.Sprint(crashes), f.now)
			case f.now.Before(r.ends):
				left = append(left, r)
			default:
				f.answerRequest(r.at, lookup)
			}
		}
		running = left
		if f.rng.IntN(int(time.Second/tick)) >= p.perSecond {
			continue
		}
		total++
		at := f.rng.IntN(3)
		if verdict, _ := f.all[at].Admit([]PartKey{RequestKey(lookup)}, f.now); verdict == Refused {
			refused++
			lastRefused = f.now
			continue
		}
		running = append(running, run{at, f.rng.IntN(lookupServer), f.now.Add(p.took)})
	}
	if lastRefused.After(lastCrash) {
		refusedFor = lastRefused.Sub(lastCrash)
	}
	return refusedFor, float64(total-refused) / float64(total)
}

// Guards against a sound request that many callers send alike and that stays refused because servers crashed while they ran it.
func TestSoundRequestOfManyCallersIsServedAfterCrashes(t *testing.T) {
	const (
		seeds    = 100
		moments  = 8 * time.Second
		admitted = 0.75
	)
	for _, p := range []crashPattern{
		{perSecond: 99, took: 100 * time.Millisecond, together: 2, times: 3, spacing: 6 * time.Second},
		{perSecond: 70, took: 240 * time.Millisecond, together: 1, times: 5, spacing: 3 * time.Second},
		{perSecond: 60, took: time.Second, together: 1, times: 5, spacing: 3 * time.Second},
		{perSecond: 99, took: 240 * time.Millisecond, together: 2, times: 10, spacing: time.Second},
		{perSecond: 20, took: 240 * time.Millisecond, together: 1, times: 5, spacing: 3 * time.Second},
		{perSecond: 20, took: 240 * time.Millisecond, together: 2, times: 5, spacing: 3 * time.Second},
		{perSecond: 20, took: time.Second, together: 2, times: 3, spacing: 6 * time.Second},
		{perSecond: 60, took: 100 * time.Millisecond, together: 8, times: 1, spacing: time.Second},
	} {
		longest, least := time.Duration(0), 1.0
		for seed := range uint64(seeds) {
			refusedFor, share := lookups(t, p, seed)
			longest, least = max(longest, refusedFor), min(least, share)
		}
		t.Logf("%+v: refused for %s after the last crash, %.3f admitted", p, longest, least)
		if longest > moments || least < admitted {
			t.Errorf("%+v: refused for %s after the last crash, %.3f admitted", p, longest, least)
		}
	}
}

// Guards against a sound request that some instances go on refusing, as they do not hear that it was cleared among the many others
// that were at crashes.
func TestAllInstancesHearThatARequestIsCleared(t *testing.T) {
	const (
		others  = 30 // requests at each crash
		crashes = earlyMomentLimit
	)
	f := newEarlyFleet(t, 1)
	for range crashes {
		f.crashes++
		server := fmt.Sprint("s", f.crashes)
		f.all[f.crashes%3].RecordEarlyRequestCrash(lookup, server, "boot", f.now)
		for n := range others {
			f.all[n%3].RecordEarlyRequestCrash(fmt.Sprint(f.crashes, "-", n), server, "boot", f.now)
		}
		f.wait(time.Second)
	}
	f.wantRequestRefused(true, "after the crashes", lookup)
	key := []PartKey{RequestKey(lookup)}
	freed := func() bool {
		return slices.ContainsFunc(f.all, func(p *Parts) bool { return !p.Banned(key, f.now) })
	}
	for began := f.now; !freed() && f.now.Sub(began) < 15*time.Minute; {
		f.now = f.now.Add(100 * time.Millisecond)
		for at, p := range f.all {
			if verdict, _ := p.Admit(key, f.now); verdict == Trial {
				f.answerRequest(at, lookup)
			}
		}
	}
	for range 3 {
		f.wait(time.Second)
	}
	f.wantRequestRefused(false, "once one instance has cleared it", lookup)
}
