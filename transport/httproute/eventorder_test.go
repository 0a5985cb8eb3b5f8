package httproute

import (
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
)

// streamIn returns a server's script that sends first, and incompletely, to a request from the
// start, and resumed, completely, to one that resumes.
func streamIn(first, resumed []int) func(net.Conn, *http.Request) bool {
	return func(c net.Conn, r *http.Request) bool {
		ids, resumes := first, r.Header.Get("Last-Event-Id") != ""
		if resumes {
			ids = resumed
		}
		writeHead(c, r)
		for _, id := range ids {
			writeEvent(c, id)
		}
		if resumes {
			writeEnd(c)
		}
		return resumes
	}
}

// idsIn returns the ids of the events in a body.
func idsIn(body string) string {
	var ids []string
	for line := range strings.Lines(body) {
		if id, ok := strings.CutPrefix(line, "id: "); ok {
			ids = append(ids, strings.TrimSpace(id))
		}
	}
	return strings.Join(ids, " ")
}

// Guards against a stream that is cut off when another server goes on, because its ids do not rise by one.
func TestStreamWithLargerStepsGoesOn(t *testing.T) {
	for _, tc := range []struct {
		name           string
		first, resumed []int
		want           string
	}{
		{"even steps", []int{5, 10, 15}, []int{20, 25}, "5 10 15 20 25"},
		{"uneven steps", []int{1, 2, 7}, []int{9, 20}, "1 2 7 9 20"},
		{"step not known", []int{5}, []int{10, 15}, "5 10 15"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			script := streamIn(tc.first, tc.resumed)
			f, front := newTestFront(t, startFakeServer(t, script), startFakeServer(t, script))
			configure(f)
			if _, body, err := call(t, t.Context(), front, "POST", "/draft/1", "x"); err != nil || idsIn(body) != tc.want {
				t.Errorf("%q, want %q: %v", idsIn(body), tc.want, err)
			}
		})
	}
}

// Guards against a resumed stream that looks complete, or repeats an event, though a later event is
// repeated, smaller or missing.
func TestResumedStreamOutOfOrderIsBrokenOff(t *testing.T) {
	for _, tc := range []struct {
		name           string
		first, resumed []int
	}{
		{"repeats its own event", []int{0, 1, 2}, []int{3, 4, 4, 5}},
		{"falls back", []int{0, 1, 2}, []int{3, 4, 1, 5}},
		{"resumes too early", []int{5, 10, 15}, []int{10, 15, 20}},
		{"leaves one out", []int{5, 10, 15}, []int{25, 30}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			script := streamIn(tc.first, tc.resumed)
			f, front := newTestFront(t, startFakeServer(t, script), startFakeServer(t, script))
			configure(f)
			_, body, err := call(t, t.Context(), front, "POST", "/draft/1", "x")
			if err == nil {
				t.Errorf("looks complete: %q", idsIn(body))
			}
			last := -1
			for id := range strings.FieldsSeq(idsIn(body)) {
				next, err := strconv.Atoi(id)
				if err != nil || next <= last {
					t.Fatalf("not in order: %q", idsIn(body))
				}
				last = next
			}
		})
	}
}

// Guards against an event that is passed on twice within the response of the server that began the
// stream: another one goes on after the last event that was in order.
func TestStreamOutOfOrderGoesOnAtAnotherServer(t *testing.T) {
	script := streamIn([]int{0, 1, 2, 1, 2, 3}, []int{3, 4})
	f, front := newTestFront(t, startFakeServer(t, script), startFakeServer(t, script))
	configure(f)
	if _, body, err := call(t, t.Context(), front, "POST", "/draft/1", "x"); err != nil || idsIn(body) != "0 1 2 3 4" {
		t.Errorf("%q, %v", idsIn(body), err)
	}
}
