package quarantine

import (
	"fmt"
	"testing"
	"time"
)

// Parts of the prompts of these tests.
const (
	partFirst PartKey = 1 // of all requests
	partOther PartKey = 2 // of some requests
	partBad   PartKey = 3 // crashes servers
)

// partFleet is the judgements of instances that all reach each other.
type partFleet struct {
	t       *testing.T
	now     time.Time
	all     []*Parts
	crashes int
}

func newPartFleet(t *testing.T, count int) *partFleet {
	f := &partFleet{t: t, now: start}
	for i := range count {
		f.all = append(f.all, NewParts(fmt.Sprint("front-", i), func(uint64) bool { return true }))
	}
	return f
}

// wait lets time pass, and the instances exchange what they know.
func (f *partFleet) wait(d time.Duration) {
	f.now = f.now.Add(d)
	for _, from := range f.all {
		records := from.Records(f.now)
		for _, to := range f.all {
			to.Merge(records, f.now)
		}
	}
}

// crash lets a server crash with a request at an instance that had the head of its response, and with others that had none.
func (f *partFleet) crash(at int, bad []PartKey, others ...[]PartKey) {
	f.crashes++
	server := fmt.Sprint("s", f.crashes)
	f.all[at].RecordCrash(bad, server, "boot", true, f.now)
	for i, parts := range others {
		f.all[(at+i)%len(f.all)].RecordCrash(parts, server, "boot", false, f.now)
	}
}

func (f *partFleet) answer(at int, parts ...PartKey) { f.all[at].RecordAnswer(parts, f.now) }

// wantRefused checks at which instances a request with parts is refused.
func (f *partFleet) wantRefused(want bool, when string, parts ...PartKey) {
	f.t.Helper()
	for i, p := range f.all {
		if got := p.Banned(parts, f.now); got != want {
			f.t.Errorf("%s: parts %v refused at instance %d: %v", when, parts, i, got)
		}
	}
}

// Guards against a part that crashes server after server through different instances, and against sound requests that
// are refused because they share the first part or another one with it.
func TestPartIsRefusedAndWhatSharesItsPromptsIsNot(t *testing.T) {
	f := newPartFleet(t, 4)
	for i := range partCrashLimit {
		f.wantRefused(false, fmt.Sprint("after crash ", i), partBad)
		f.crash(i, []PartKey{partFirst, partOther, partBad}, []PartKey{partFirst, partOther})
		f.wait(time.Second)
		f.answer(3, partFirst)
		f.wait(time.Second)
	}
	f.wantRefused(true, "after the limit", partFirst, partBad)
	f.wantRefused(false, "after the limit", partFirst)
	f.crash(1, []PartKey{partFirst, partBad}) // it was on its way
	f.wait(time.Second)
	f.wantRefused(false, "explained by the part with more crashes", partFirst, partOther)
}

// Guards against sound parts that are refused because several servers end at the same moment, as when a failure domain
// loses power, again and again.
func TestServersThatEndTogetherAreOneMoment(t *testing.T) {
	f := newPartFleet(t, 3)
	for range 2 {
		for range 8 {
			f.crash(0, nil, []PartKey{partFirst, partOther})
			f.now = f.now.Add(10 * time.Millisecond)
		}
		f.wait(time.Second)
	}
	f.wantRefused(false, "after two losses", partFirst, partOther)
	f.answer(1, partFirst)
	f.wait(time.Second)
	f.crash(0, nil, []PartKey{partFirst})
	f.wait(time.Second)
	f.wantRefused(false, "after an answer between them", partFirst)
}

// Guards against a request that only waited at a server and is blamed though the server had begun to answer another one.
func TestRequestWhoseAnswerHadBegunIsBlamed(t *testing.T) {
	f := newPartFleet(t, 2)
	for range partCrashLimit {
		f.crash(0, []PartKey{partBad}, []PartKey{partOther}, []PartKey{partOther})
		f.wait(time.Second)
	}
	f.wantRefused(true, "the part whose answer had begun", partBad)
	f.wantRefused(false, "the part that waited", partOther)
}

// Guards against an instance that has just started and lets requests through that all others refuse.
func TestStartedInstanceLearnsOfPartsAtOnce(t *testing.T) {
	f := newPartFleet(t, 2)
	for range partCrashLimit {
		f.crash(0, []PartKey{partBad})
		f.wait(time.Second)
	}
	started := NewParts("started", func(uint64) bool { return true })
	started.Merge(f.all[1].Records(f.now), f.now)
	if !started.Banned([]PartKey{partBad}, f.now) {
		t.Error("the instance admits the part")
	}
}

// Guards against a part that is refused for ever after it has stopped crashing servers or was blamed wrongly, and against
// trials that crash more servers than one at a time, ever less often.
func TestOneInstanceTriesAPartAgain(t *testing.T) {
	f := newPartFleet(t, 5)
	parts := []PartKey{partFirst, partBad}
	for i := range partCrashLimit {
		f.crash(i%2, parts)
		f.wait(time.Second)
	}
	trials := 0
	try := func(d time.Duration) (at int) {
		at = -1
		for range int(d / (100 * time.Millisecond)) {
			f.wait(100 * time.Millisecond)
			for i, p := range f.all {
				switch verdict, wait := p.Admit(parts, f.now); verdict {
				case Trial:
					at = i
					trials++
					if at > 1 {
						t.Errorf("instance %d tries a part that it never had", i)
					}
				case Admitted:
					t.Fatalf("admitted at instance %d", i)
				case Refused:
					if wait <= 0 {
						t.Errorf("refused for %s", wait)
					}
				}
			}
			if at >= 0 {
				return at
			}
		}
		return at
	}
	for range 3 {
		at := try(time.Hour)
		f.crash(at, parts)
		f.wait(time.Second)
	}
	if took := f.now.Sub(start); trials != 3 || took < time.Minute {
		t.Errorf("%d trials in %s", trials, took)
	}
	at := try(time.Hour)
	f.answer(at, parts...)
	f.wait(time.Second)
	f.wantRefused(false, "after a trial that was answered", parts...)
}

// Guards against parts that cannot be told apart, of which the wrong one alone is refused.
func TestPartsThatAlwaysCameTogetherAreRefusedUntilOneIsAnswered(t *testing.T) {
	f := newPartFleet(t, 2)
	for range partCrashLimit {
		f.crash(0, []PartKey{partOther, partBad})
		f.wait(time.Second)
	}
	f.wantRefused(true, "together", partOther)
	f.wantRefused(true, "together", partBad)
	f.answer(1, partOther) // a request that was running elsewhere
	f.wait(time.Second)
	f.wantRefused(false, "answered", partOther)
	f.wantRefused(true, "not answered", partBad)
}

// Guards against a part that a late report blames although it has been answered since.
func TestLateReportOfACrashDoesNotBlameAnAnsweredPart(t *testing.T) {
	f := newPartFleet(t, 1)
	for i := range partCrashLimit {
		f.answer(0, partOther)
		f.all[0].Merge([]PartRecord{{partOther, []PartCrash{{Key: uint64(i), Age: time.Second}}}}, f.now)
		f.now = f.now.Add(time.Second)
	}
	f.wantRefused(false, "late reports", partOther)
}

// Guards against memory and messages that grow with the parts that are blamed.
func TestBlamedPartsAreBounded(t *testing.T) {
	p := NewParts("i", func(uint64) bool { return false })
	now := start
	for i := range 4 * maxParts {
		p.RecordCrash([]PartKey{PartKey(i), partBad}, fmt.Sprint("s", i), "boot", true, now)
		p.RecordAnswer([]PartKey{PartKey(1_000_000 + i)}, now)
		now = now.Add(100 * time.Millisecond)
	}
	if n := len(p.blamed); n > maxParts {
		t.Errorf("%d parts", n)
	}
	if n := len(p.blamed[partBad]); n > maxCrashesPerPart {
		t.Errorf("%d crashes of a part", n)
	}
	if n := len(p.recent) + len(p.previous); n > 2*maxRecentParts {
		t.Errorf("%d answered parts", n)
	}
	if n := len(p.Records(now)); n > maxPartRecords {
		t.Errorf("%d records", n)
	}
	if !p.Banned([]PartKey{partBad}, now) {
		t.Error("the part with most crashes was dropped")
	}
	if p.Records(now.Add(CrashTTL)); len(p.blamed) != 0 {
		t.Errorf("%d parts are left after %s", len(p.blamed), CrashTTL)
	}
}

// The cost of a request's check while a part is refused, by the number of parts that are blamed.
func BenchmarkSizeAdmit(b *testing.B) {
	for _, n := range []int{4, 30, 100, maxParts} {
		b.Run(fmt.Sprint("n=", n), func(b *testing.B) {
			p := NewParts("i", func(uint64) bool { return false })
			now := start
			for crash := range 2 * partCrashLimit {
				parts := []PartKey{partBad}
				for i := range n {
					parts = append(parts, PartKey(100+i+crash*n))
				}
				p.RecordCrash(parts, fmt.Sprint("s", crash), "boot", true, now)
				now = now.Add(time.Second)
			}
			for b.Loop() {
				p.Admit([]PartKey{partFirst, partOther}, now)
			}
		})
	}
}
