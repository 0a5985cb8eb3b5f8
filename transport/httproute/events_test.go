package httproute

import (
	"fmt"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// A stream is split into reads at arbitrary points, and the server aborts after any of
// them. The output is always a sequence of complete events, and the last id is that of the
// last one, so that a server that resumes after it omits and repeats nothing.
func TestEventsAreHandedOnWhole(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		newline := rapid.SampledFrom([]string{"\n", "\r\n"}).Draw(t, "newline")
		count := rapid.IntRange(1, 8).Draw(t, "events")
		var events_ []string
		for i := range count {
			events_ = append(events_, fmt.Sprintf("id: %d%sdata: token%s%s", i, newline, newline, newline))
		}
		whole := strings.Join(events_, "")
		stop := rapid.IntRange(0, len(whole)).Draw(t, "stop")
		var e eventBuffer
		handed := ""
		for at := 0; at < stop; {
			n := min(rapid.IntRange(1, 20).Draw(t, "piece"), stop-at)
			out := e.push([]byte(whole[at : at+n]))
			handed += string(out)
			e.consume(out)
			at += n
		}
		n := strings.Count(handed, "data:")
		if handed != strings.Join(events_[:n], "") {
			t.Fatalf("output %q", handed)
		}
		if n > 0 && e.lastID != fmt.Sprint(n-1) {
			t.Fatalf("the last id is %q after %d events", e.lastID, n)
		}
		if n < count && stop == len(whole) {
			t.Fatalf("%d of %d events in the output", n, count)
		}
	})
}

func TestIsNextID(t *testing.T) {
	for _, tc := range []struct {
		id, last string
		want     bool
	}{{"5", "4", true}, {"4", "4", false}, {"6", "4", false}, {"", "4", false}, {"x", "y", true}} {
		if got := isNextID(tc.id, tc.last); got != tc.want {
			t.Errorf("%q after %q: %t", tc.id, tc.last, got)
		}
	}
}
