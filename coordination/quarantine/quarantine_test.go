package quarantine

import (
	"testing"
	"time"
)

var start = time.Unix(1_000_000, 0)

// Guards against a crash that counts twice because two instances saw it. Two crashes of
// different servers count on every instance until one of them expires.
func TestCrashesAreCountedOnce(t *testing.T) {
	a, b, c := New(), New(), New()
	a.RecordCrash("f", "s1", "boot", start)
	b.RecordCrash("f", "s1", "boot", start.Add(time.Second))
	for _, r := range a.Records(start) {
		b.Merge(r)
	}
	if n := len(b.expiries("f", start)); n != 1 || !b.Suspected("f", start) {
		t.Error("one crash seen by two instances counts as two")
	}
	c.RecordCrash("f", "s2", "boot", start.Add(time.Minute))
	for _, r := range b.Records(start) {
		c.Merge(r)
	}
	both := c.expiries("f", start)
	if want := start.Add(time.Second + CrashTTL); len(both) != 2 || !both[0].Equal(want) {
		t.Fatalf("crashes that expire at %s, want two, the first at %s", both, want)
	}
	if n := len(c.expiries("f", both[0])); n != 1 || !c.Suspected("f", both[0]) {
		t.Errorf("%d crashes count when one of two has expired", n)
	}
}

// Guards against presumed crashes that the server's next report does not settle: the same
// boot id clears the request, and another one confirms the crash.
func TestNextReportDecides(t *testing.T) {
	for _, c := range []struct {
		boot string
		want bool
	}{{"boot", false}, {"another", true}} {
		l := New()
		l.PresumeCrash("f", "s1", "boot", start, func() {})
		if !l.Suspected("f", start) {
			t.Error("a presumed crash does not count against the request")
		}
		l.RecordBootID("s1", "boot", start.Add(-time.Millisecond), start.Add(time.Millisecond))
		if !l.Suspected("f", start.Add(time.Millisecond)) {
			t.Error("a report requested before the crash clears the request")
		}
		l.RecordBootID("s1", c.boot, start.Add(time.Second), start.Add(time.Second))
		if got := l.Suspected("f", start.Add(time.Minute)); got != c.want {
			t.Errorf("reported as %q: suspected %t", c.boot, got)
		}
	}
	l := New()
	l.PresumeCrash("f", "s1", "boot", start, func() {})
	if l.Suspected("f", start.Add(presumptionTTL)) {
		t.Error("the presumption about a server that is cut off does not expire")
	}
}

// Guards against two suspects, or two copies of one, that run at the same time and are
// both blamed for a crash.
func TestSuspectsAreIsolated(t *testing.T) {
	a := NewIsolation()
	first, ok := a.Begin("f", "s1", true, false)
	if !ok {
		t.Fatal("the first suspect was rejected")
	}
	if _, ok := a.Begin("g", "s1", true, false); ok {
		t.Error("two suspects on one server")
	}
	if _, ok := a.Begin("f", "s2", true, false); ok {
		t.Error("two copies of a suspect")
	}
	if _, ok := a.Begin("h", "s1", false, false); !ok {
		t.Error("a request that is not suspected was rejected")
	}
	if _, ok := a.Begin("h", "s2", false, false); ok {
		t.Error("two copies of one request went to two servers")
	}
	if _, ok := a.Begin("h", "s2", false, true); !ok {
		t.Error("a copy was rejected although the other's server cannot take it")
	}
	busy, alone, changed := a.Busy("g")
	if !busy["s1"] || !alone {
		t.Errorf("busy %v, alone %t", busy, alone)
	}
	a.End(first)
	<-changed
	if _, ok := a.Begin("g", "s1", true, false); !ok {
		t.Error("the server is not free after its suspect ended")
	}
}
