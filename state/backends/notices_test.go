package backends

import (
	"testing"
	"time"
)

// Guards against a notice that is lost when the server's entry changes, disappears and comes back,
// and against one that is applied to the next incarnation under the same id.
func TestNoticesFollowTheIncarnation(t *testing.T) {
	table := New()
	s := server("s")
	table.Put(s, start)
	if !table.RecordLeaving(&s, start) || table.RecordLeaving(&s, start) {
		t.Error("a notice is new once")
	}
	table.Remove("s", start)
	table.Put(s, start.Add(time.Second))
	if !table.Notice(&s).Leaving {
		t.Error("the notice is lost with the entry")
	}
	next := s
	next.StartUnixMs++
	if table.Notice(&next).Leaving {
		t.Error("the notice applies to the next incarnation")
	}
}

// Guards against a shorter rest that ends a longer one, and against notices that pile up.
func TestRestIsNotShortened(t *testing.T) {
	table := New()
	s := server("s")
	table.RecordRest(&s, start.Add(3*time.Second), start)
	if table.RecordRest(&s, start.Add(time.Second), start) {
		t.Error("a rest within a rest is new")
	}
	if n := table.Notice(&s); !n.Resting(start.Add(2*time.Second)) || n.Resting(start.Add(3*time.Second)) {
		t.Errorf("it rests until %s", n.RestUntil)
	}
	table.Sweep(start.Add(2 * noticeTTL))
	if len(table.notices) != 0 {
		t.Errorf("%d notices are kept", len(table.notices))
	}
}
