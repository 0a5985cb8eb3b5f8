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

// Guards against a resuming server that begins with an event that does not follow the last one.
func TestFirstEventOfResumingServer(t *testing.T) {
	for _, tc := range []struct {
		before []string
		first  string
		want   bool
	}{
		{[]string{"3", "4"}, "5", true},
		{[]string{"3", "4"}, "4", false},
		{[]string{"3", "4"}, "6", false},
		{[]string{"3", "4"}, "", false},
		{[]string{"3", "4"}, "x", false},
		{[]string{"4"}, "4", false},
		{[]string{"4"}, "3", false},
		{[]string{"4"}, "6", true}, // the step is not known
		{[]string{"4"}, "", false},
		{[]string{"5", "10", "15"}, "20", true},
		{[]string{"5", "10", "15"}, "25", false},
		{[]string{"5", "10", "15"}, "16", false},
		{[]string{"1", "2", "7"}, "8", true},
		{[]string{"1", "2", "7"}, "7", false},
		{[]string{"1", "2", "7"}, "6", false},
		{[]string{"-9223372036854775808", "9223372036854775807"}, "9223372036854775807", false},
		{[]string{"y"}, "x", true}, // their order is not known
		{[]string{"y"}, "y", false},
	} {
		var o eventOrder
		for _, id := range tc.before {
			if !o.accept(id) {
				t.Fatalf("%q of %q is out of order", id, tc.before)
			}
		}
		o.resume()
		if got := o.accept(tc.first); got != tc.want {
			t.Errorf("%q after %q: %t", tc.first, tc.before, got)
		}
	}
}

// Guards against an event that comes twice within a response, and against one that is cut though
// its id increases or has no known order.
func TestEventsWithinResponse(t *testing.T) {
	for _, tc := range []struct {
		last, id string
		want     bool
	}{
		{"4", "5", true},
		{"4", "9", true},
		{"4", "4", false},
		{"4", "3", false},
		{"9", "10", true},
		{"4", "end", true},
		{"y", "x", true},
		{"y", "y", false},
		{"", "0", true},
	} {
		o := eventOrder{last: tc.last}
		if got := o.accept(tc.id); got != tc.want {
			t.Errorf("%q after %q: %t", tc.id, tc.last, got)
		}
	}
}
