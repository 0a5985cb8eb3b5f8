package httproute

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/basilroute/basilroute/state/routes"
)

// player is what a fake server does with a request.
type player func(c net.Conn, r *http.Request) bool

// startPlayers starts a front whose requests meet the players in this order, each at another server. Its routes allow as
// many attempts as there are players.
func startPlayers(t *testing.T, players ...player) func(path string) (status int, body string, err error) {
	t.Helper()
	var next atomic.Int32
	servers := make([]*fakeServer, len(players))
	for i := range servers {
		servers[i] = startFakeServer(t, func(c net.Conn, r *http.Request) bool {
			return players[int(next.Add(1)-1)%len(players)](c, r)
		})
	}
	f, front := newTestFront(t, servers...)
	configure(f)
	config := *f.Routes.Current()
	config.Version++
	config.Routes = []routes.Route{
		route("read", routes.KindIdempotent, len(players), false), route("draft", routes.KindStreaming, len(players), true),
	}
	f.Routes.Offer(&config)
	return func(path string) (int, string, error) {
		resp, body, err := call(t, t.Context(), front, "POST", path, "x")
		if err != nil {
			return 0, body, err
		}
		return resp.StatusCode, body, nil
	}
}

// eventsUpTo returns a stream of the events up to an id.
func eventsUpTo(last int) string {
	var out strings.Builder
	for i := range last + 1 {
		fmt.Fprintf(&out, "id: %d\ndata: token%d\n\n", i, i)
	}
	return out.String()
}

// resumeUpTo goes on with a stream after the last event that the caller got.
func resumeUpTo(c net.Conn, r *http.Request, last int) bool {
	after, err := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	if err != nil {
		after = -1
	}
	writeEvents(c, r, after+1, last, true)
	return true
}

// Guards against a stream with a gap: a server that goes on at a wrong event is left, and the next one is asked to go on
// after an event that the caller never got.
func TestStreamGoesOnAfterAWrongEvent(t *testing.T) {
	const last = 6
	send := startPlayers(t,
		func(c net.Conn, r *http.Request) bool { writeEvents(c, r, 0, 1, false); return false },
		func(c net.Conn, r *http.Request) bool { writeEvents(c, r, 4, 4, false); return false },
		func(c net.Conn, r *http.Request) bool { return resumeUpTo(c, r, last) })
	if _, body, err := send("/draft/1"); err != nil || body != eventsUpTo(last) {
		t.Errorf("%q, %v", body, err)
	}
}

// Guards against a server that is about to respond and is given up because the silent one before it failed.
func TestErrorOfTheSilentServerKeepsTheTry(t *testing.T) {
	const tryTakes = 400 * time.Millisecond
	for path, want := range map[string]string{"/read/1": "ok", "/draft/1": eventsUpTo(3)} {
		t.Run(path, func(t *testing.T) {
			t.Parallel()
			tried := make(chan struct{})
			send := startPlayers(t, func(c net.Conn, r *http.Request) bool {
				<-tried
				return respond(c, r, http.StatusInternalServerError, "own")
			}, func(c net.Conn, r *http.Request) bool {
				close(tried)
				time.Sleep(tryTakes)
				if path == "/read/1" {
					return respond(c, r, http.StatusOK, "ok")
				}
				return resumeUpTo(c, r, 3)
			})
			if status, body, err := send(path); err != nil || status != http.StatusOK || body != want {
				t.Errorf("status %d, %q, %v", status, body, err)
			}
		})
	}
}

// Guards against the only server that has a request: it was tried in the place of one that has failed since, paused, and was
// given up for a third one that turns the request away.
func TestTryIsKeptOnceTheSilentServerHasFailed(t *testing.T) {
	for path, want := range map[string]string{"/read/1": "ok", "/draft/1": eventsUpTo(3)} {
		t.Run(path, func(t *testing.T) {
			t.Parallel()
			tried := make(chan struct{})
			send := startPlayers(t, func(c net.Conn, r *http.Request) bool {
				if path == "/draft/1" {
					writeHead(c, r)
					writeEvent(c, 0)
				}
				<-tried
				return false
			}, func(c net.Conn, r *http.Request) bool {
				close(tried)
				time.Sleep(silence)
				if path == "/read/1" {
					return respond(c, r, http.StatusOK, "ok")
				}
				return resumeUpTo(c, r, 3)
			}, refusals["turned away"])
			if status, body, err := send(path); err != nil || status != http.StatusOK || body != want {
				t.Errorf("status %d, %q, %v", status, body, err)
			}
		})
	}
}

// Guards against a server that has begun to go on with a stream and is left because part of an event of the silent one before
// it had arrived: with the error that its connection ends with, that part is no sign that it goes on.
func TestPartOfAnEventDoesNotKeepASilentServer(t *testing.T) {
	const tryTakes = 100 * time.Millisecond
	tried := make(chan struct{})
	for name, ends := range map[string]func(c net.Conn){
		"silent": func(c net.Conn) { hang(c) },
		"broken": func(net.Conn) { <-tried },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			send := startPlayers(t, func(c net.Conn, r *http.Request) bool {
				writeHead(c, r)
				writeEvent(c, 0)
				_, _ = io.WriteString(c, "20\r\nid: 1\n") // the chunk has more
				ends(c)
				return false
			}, func(c net.Conn, r *http.Request) bool {
				if name == "broken" {
					close(tried)
					time.Sleep(tryTakes)
				}
				return resumeUpTo(c, r, 3)
			})
			if _, body, err := send("/draft/1"); err != nil || body != eventsUpTo(3) {
				t.Errorf("%q, %v", body, err)
			}
		})
	}
}

// Guards against a second server that works beside one that goes on, and whose reply nobody takes: a try that begins after
// the data of the first one has arrived is cancelled by nothing.
func TestNoTryBeginsOnceTheServerGoesOn(t *testing.T) {
	h := &handover{ctx: t.Context()}
	if began, _ := h.begin(0, func() bool { return false }); began != nil {
		t.Error("a try has begun")
	}
	if began, _ := h.begin(0, func() bool { return true }); began == nil {
		t.Error("no try has begun at a silent server")
	}
}
