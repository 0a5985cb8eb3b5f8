package httproute

import (
	"fmt"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// A stream is cut into pieces anywhere, and the server breaks off after any of them.
// What was handed on is always a run of whole events, and the last id names the last
// of them: a server that goes on behind it leaves nothing out and repeats nothing.
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
		var e events
		handed := ""
		for at := 0; at < stop; {
			n := min(rapid.IntRange(1, 20).Draw(t, "piece"), stop-at)
			out := e.take([]byte(whole[at : at+n]))
			handed += string(out)
			e.drop(out)
			at += n
		}
		n := strings.Count(handed, "data:")
		if handed != strings.Join(events_[:n], "") {
			t.Fatalf("handed on %q", handed)
		}
		if n > 0 && e.lastID != fmt.Sprint(n-1) {
			t.Fatalf("the last id is %q after %d events", e.lastID, n)
		}
		if n < count && stop == len(whole) {
			t.Fatalf("%d of %d events handed on", n, count)
		}
	})
}

func TestFollows(t *testing.T) {
	for _, tc := range []struct {
		id, last string
		want     bool
	}{{"5", "4", true}, {"4", "4", false}, {"6", "4", false}, {"", "4", false}, {"x", "y", true}} {
		if got := follows(tc.id, tc.last); got != tc.want {
			t.Errorf("%q after %q: %t", tc.id, tc.last, got)
		}
	}
}
