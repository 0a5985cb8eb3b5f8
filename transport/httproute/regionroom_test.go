package httproute

import (
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/basilroute/basilroute/service/features"
	"github.com/basilroute/basilroute/state/routes"
)

const farRoundTrip = 160 * time.Millisecond

// farRemote is a region as the member list tells of it.
func farRemote(free int, reportedAt time.Time) Remote {
	return Remote{Region: "far", RoundTrip: farRoundTrip, Servers: 2, Running: 16 - free, FreeSlots: free, ReportedAt: reportedAt}
}

func roomHeader(value string) http.Header { return http.Header{headerRoom: {value}, "Kept": {"x"}} }

// Guards against a region's room by the member list although a response has told of it since.
func TestResponseReplacesTheMemberListsReport(t *testing.T) {
	var rooms regionRooms
	start := time.Unix(1000, 0)
	roomAt := func(at, listed time.Duration, free int) (Remote, bool) {
		remote := farRemote(free, start.Add(listed))
		known := rooms.update(&remote, "svc", 1, start.Add(at))
		return remote, known
	}
	if got, known := roomAt(0, 0, 9); !known || got.FreeSlots != 9 {
		t.Fatalf("%d free slots by the member list, known: %t", got.FreeSlots, known)
	}
	header := roomHeader(`{"servers":3,"running":22,"free":2,"stall":25,"expected_ms":40}`)
	rooms.recordResponse(&Remote{Region: "far"}, "svc", header, start.Add(500*time.Millisecond))
	want := Remote{
		Region: "far", RoundTrip: farRoundTrip, Servers: 3, Running: 22, FreeSlots: 2, StallFraction: 0.25,
		ExpectedFirstByte: 40 * time.Millisecond, ReportedAt: start.Add(500 * time.Millisecond),
	}
	if got, known := roomAt(600*time.Millisecond, 0, 9); !known || got != want {
		t.Errorf("known: %t, %+v by a response, want %+v", known, got, want)
	}
	if got, _ := roomAt(time.Second, time.Second, 9); got.FreeSlots != 2 {
		t.Errorf("%d free slots by a member list from before the response", got.FreeSlots)
	}
	if got, _ := roomAt(2*time.Second, 2*time.Second, 9); got.FreeSlots != 9 {
		t.Errorf("%d free slots by a member list from after the response", got.FreeSlots)
	}
	if _, known := roomAt(6*time.Second, 2*time.Second, 9); known {
		t.Error("room in a region that is cut off")
	}
	if _, known := roomAt(6*time.Second, 5*time.Second, 9); !known {
		t.Error("no room although the region reports again")
	}
}

// Guards against a report that cannot be read and takes away or changes what is known of a region.
func TestUnreadableRoomIsPassedOver(t *testing.T) {
	start := time.Unix(1000, 0)
	for _, value := range []string{"", "{", "x", "[]", `{"free":"2"}`, `{"free":1e30}`, `{"servers":3.5}`} {
		var rooms regionRooms
		remote, header := farRemote(9, start), roomHeader(value)
		rooms.update(&remote, "svc", 1, start)
		rooms.recordResponse(&remote, "svc", header, start.Add(time.Second))
		if known := rooms.update(&remote, "svc", 1, start.Add(time.Second)); !known || remote.FreeSlots != 9 || remote.Servers != 2 {
			t.Errorf("%q: known: %t, %+v", value, known, remote)
		}
		if _, left := header[headerRoom]; left || header.Get("Kept") == "" {
			t.Errorf("%q: header %v", value, header)
		}
	}
}

// Guards against requests to a full region that its report does not cover yet.
func TestSentRequestsCountInARegionsRoom(t *testing.T) {
	var rooms regionRooms
	start := time.Unix(1000, 0)
	remote := farRemote(9, start)
	rooms.recordSend(&remote, "svc", 0, start.Add(100*time.Millisecond))
	rooms.recordSend(&remote, "other", 0, start.Add(100*time.Millisecond))
	if rooms.update(&remote, "svc", 4, start.Add(200*time.Millisecond)); remote.FreeSlots != 5 || remote.Running != 11 {
		t.Errorf("%d free slots, %d running after a request of each of four instances", remote.FreeSlots, remote.Running)
	}
}

// freshRemotes is a set of other regions that have just reported.
type freshRemotes struct{ fakeRemotes }

func (r freshRemotes) Remotes(service string) []Remote {
	out := slices.Clone(r.fakeRemotes.Remotes(service))
	for i := range out {
		out[i].ReportedAt = time.Now()
	}
	return out
}

// offerUrgentRoute puts a configuration in force in which the requests to /ask/ are urgent.
func offerUrgentRoute(table *routes.Table) {
	ask, advise := route("ask", routes.KindStreaming, 2, true), route("advise", routes.KindStreaming, 1, false)
	ask.Objective, advise.Objective, advise.Priority = 500*time.Millisecond, 2500*time.Millisecond, 2
	ask.Public, advise.Public = true, true
	table.Offer(&routes.Config{
		Version: 1, Services: map[string]*routes.Service{"svc": {Name: "svc", Engine: &routes.Engine{Slots: 8}}},
		Routes: []routes.Route{ask, advise},
	})
}

// Guards against a region's report that reaches a caller, or is lost with a refusal.
func TestRoomTravelsBetweenInstancesOnly(t *testing.T) {
	off := features.NewSet(map[features.Name]bool{features.UrgentFirst: false})
	for name, c := range map[string]struct {
		front, peer features.Set
		refused     bool
		reported    bool
	}{
		"served":            {reported: true},
		"refused":           {refused: true, reported: true},
		"off at the sender": {front: off, reported: true},
		"off at the peer":   {peer: off},
		"off":               {front: off, peer: off, refused: true},
	} {
		server := startFakeServer(t, func(conn net.Conn, r *http.Request) bool {
			writeEvents(conn, r, 0, 1, true)
			return true
		})
		far, _ := newTestFront(t, server)
		far.Local.Waiting = &Waiting{Metrics: far.Metrics}
		near, callers := newTestFront(t)
		near.Features = c.front
		offerUrgentRoute(far.Routes)
		offerUrgentRoute(near.Routes)
		var forwards atomic.Int32
		peer := &Peer{Codec: testCodec{}, Local: far.Local, Routes: far.Routes, Features: c.peer, Stopping: func() bool { return c.refused }}
		inbound := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			forwards.Add(1)
			peer.ServeHTTP(w, r)
		}))
		remote, started := farRemote(9, time.Time{}), time.Now()
		remote.Address = inbound.Listener.Addr().String()
		near.Remotes = freshRemotes{fakeRemotes{remote}}
		resp, _, err := call(t, t.Context(), callers, http.MethodGet, "/ask/1", "")
		inbound.Close()
		if err != nil || forwards.Load() == 0 {
			t.Fatalf("%s: %v, %d forwards", name, err, forwards.Load())
		}
		if got := resp.StatusCode == http.StatusOK; got == c.refused {
			t.Errorf("%s: status %d", name, resp.StatusCode)
		}
		if values, ok := resp.Header[headerRoom]; ok {
			t.Errorf("%s: the caller got %q", name, values)
		}
		near.rooms.update(&remote, "svc", 1, started)
		if reported := remote.Servers == 1; reported != c.reported {
			t.Errorf("%s: %d servers known, reported: %t", name, remote.Servers, reported)
		}
	}
}

// Guards against a priority that an earlier build forwards and that is taken for the rank of an urgent request.
func TestForwardedPriorityIsNoRank(t *testing.T) {
	far, _ := newTestFront(t)
	offerUrgentRoute(far.Routes)
	p := &Peer{Codec: testCodec{}, Local: far.Local, Routes: far.Routes}
	for isRank, want := range map[bool]int{true: 2, false: 5} {
		info := &forwardInfo{Service: "svc", Urgency: 2, Ranked: isRank}
		o := p.outbound(httptest.NewRequest(http.MethodPost, "/advise/1", nil), info, &Call{}, nil, time.Now())
		if o.work.Urgency != want || !o.ranked {
			t.Errorf("rank sent: %t: rank %d", isRank, o.work.Urgency)
		}
	}
}
