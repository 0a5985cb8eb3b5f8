package httproute

import (
	"context"
	"flag"
	"fmt"
	"io"
	"log"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/basilroute/basilroute/coordination/placement"
	"github.com/basilroute/basilroute/state/backends"
	"github.com/basilroute/basilroute/state/routes"
)

var (
	soakSeed = flag.Uint64("peersoak.seed", 1, "seed of TestSoakOfRegions")
	soakTime = flag.Duration("peersoak.time", 2*time.Second, "duration of TestSoakOfRegions")
)

// dice is a source of random numbers for several goroutines.
type dice struct {
	mu     sync.Mutex
	source *rand.Rand
}

func (d *dice) roll(n int) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.source.IntN(n)
}

// soakRegions is a Front, two regions with three peers, and what the servers have run.
type soakRegions struct {
	*dice
	front   *Front
	callers *httptest.Server
	fars    []*Front
	peers   []*httptest.Server
	refuses []atomic.Bool // by peer: it shuts down

	mu   sync.Mutex
	runs map[string]int // by request
}

func (s *soakRegions) MarkUnreachable(string) {}

func (s *soakRegions) InstanceCounts() (fleet, region int) { return 4, 1 }

func (s *soakRegions) Remotes(string) []Remote {
	peer := s.roll(2)
	return []Remote{s.remote("far", peer), s.remote("farther", 2)}
}

func (s *soakRegions) remote(region string, peer int) Remote {
	return Remote{Region: region, Instance: fmt.Sprint(region, peer), Address: s.peers[peer].Listener.Addr().String(), Servers: 2, FreeSlots: 4, ReportedAt: time.Now()}
}

const soakSlots = 2 // of each server

func newSoakRegions(t *testing.T, seed uint64) *soakRegions {
	s := &soakRegions{dice: &dice{source: rand.New(rand.NewPCG(seed, 0))}, runs: make(map[string]int), refuses: make([]atomic.Bool, 3)}
	s.front = s.newRegion(t, 1)
	s.fars = []*Front{s.newRegion(t, 2), s.newRegion(t, 2)}
	for i, far := range []*Front{s.fars[0], s.fars[0], s.fars[1]} {
		peer := &Peer{Codec: testCodec{}, Local: far.Local, Routes: far.Routes, Stopping: s.refuses[i].Load, Memory: far.Memory}
		s.peers = append(s.peers, startWatched(t, peer))
	}
	for i, region := range []string{"far", "farther"} {
		s.front.Local.Backends.Put(backends.Server{ID: region, Service: "svc", Address: fmt.Sprint("10.0.0.", i), Domain: region, Region: region}, time.Now())
	}
	s.front.Remotes = s
	s.callers = startWatched(t, s.front)
	return s
}

func startWatched(t *testing.T, handler http.Handler) *httptest.Server {
	server := httptest.NewUnstartedServer(handler)
	server.Config.ErrorLog = log.New(panicWatch{t}, "", 0)
	server.Start()
	t.Cleanup(server.Close)
	return server
}

// newRegion returns an instance with servers of its own, at which requests wait for slots.
func (s *soakRegions) newRegion(t *testing.T, servers int) *Front {
	f, _ := newTestFront(t)
	f.Memory = NewBudget(1 << 20)
	f.Local.Waiting = &Waiting{Metrics: f.Metrics, MaxBytes: 1 << 20}
	soakConfig(f.Routes)
	var entries []backends.Entry
	for i := range servers {
		server := startFakeServer(t, s.serve)
		entries = append(entries, backends.Entry{Server: backends.Server{ID: fmt.Sprint("s", i), Service: "svc", Address: server.address, Slots: soakSlots}, Incarnation: 1})
	}
	f.Local.Pool("svc").Update(placement.Settings{Engine: true, Slots: soakSlots, Precedence: f.Routes.Current().Precedence("svc")}, entries)
	go f.Local.Waiting.Run(t.Context())
	return f
}

// soakConfig puts a configuration in force with routes of each kind, some of them urgent.
func soakConfig(table *routes.Table) {
	offerUrgentOverOrders(table)
	next := *table.Current()
	next.Version++
	next.Routes = append(slices.Clone(next.Routes), route("read", routes.KindIdempotent, 2, false), route("draft", routes.KindStreaming, 3, true))
	for i := range next.Routes {
		next.Routes[i].Timeout = 400 * time.Millisecond
	}
	table.Offer(&next)
}

// serve is what a server does with a request, drawn at random.
func (s *soakRegions) serve(c net.Conn, r *http.Request) bool {
	id, kind := r.Header.Get("Id"), s.roll(100)
	if kind < 10 {
		_, err := fmt.Fprintf(c, "HTTP/1.1 503 X\r\nId: %s\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n", id)
		return err == nil
	}
	s.mu.Lock()
	s.runs[id]++
	s.mu.Unlock()
	time.Sleep(time.Duration(s.roll(10)) * time.Millisecond)
	switch {
	case kind < 17:
		return false
	case kind < 24 && isStream(r):
		writeHead(c, r)
		return false
	case kind < 24:
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 X\r\nId: %s\r\nContent-Length: 100\r\n\r\nhalf", id)
		return false
	case kind < 34 && isStream(r):
		next := nextEvent(r)
		writeEvents(c, r, next, min(next+s.roll(2), 3), false)
		return false
	case kind < 40:
		time.Sleep(250 * time.Millisecond)
	case kind < 44:
		return respond(c, r, 500, "own")
	}
	if isStream(r) {
		writeEvents(c, r, nextEvent(r), 3, true)
		return true
	}
	return respond(c, r, 200, "ok "+id)
}

func nextEvent(r *http.Request) int {
	last, err := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	if err != nil {
		return 0
	}
	return last + 1
}

// disturb changes configurations, kills and refuses until ctx ends.
func (s *soakRegions) disturb(ctx context.Context) {
	names := make([]string, 0, len(changes))
	for name := range changes {
		names = append(names, name)
	}
	slices.Sort(names)
	base := *s.front.Routes.Current()
	tables := []*routes.Table{s.front.Routes, s.fars[0].Routes, s.fars[1].Routes}
	for version := base.Version + 1; ctx.Err() == nil; version++ {
		time.Sleep(time.Duration(1+s.roll(5)) * time.Millisecond)
		switch s.roll(8) {
		case 0:
			s.peers[s.roll(len(s.peers))].CloseClientConnections()
		case 1:
			s.refuses[s.roll(len(s.refuses))].Store(s.roll(2) == 0)
		default:
			var table routes.Table
			next := base
			table.Offer(&next)
			change := "nothing"
			if s.roll(2) == 0 {
				change = names[s.roll(len(names))]
			}
			apply(&table, changes[change])
			changed := *table.Current()
			changed.Version = version
			tables[s.roll(len(tables))].Offer(&changed)
		}
	}
}

// ended is how a request ended for its caller.
type ended struct {
	id, path string
	status   int
	body     string
	cut      bool
}

func (s *soakRegions) request(t *testing.T, id string) ended {
	out := ended{id: id, path: []string{"/read/1", "/order/1", "/draft/1", "/ask/1", "/advise/1"}[s.roll(5)]}
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, s.callers.URL+out.path, strings.NewReader(strings.Repeat("b", s.roll(20<<10))))
	if err != nil {
		t.Error(err)
		return out
	}
	request.Host = testHost
	request.Header.Set("Id", id)
	request.Header.Set("Key", testKey)
	resp, err := http.DefaultTransport.RoundTrip(request)
	if err != nil {
		t.Errorf("%s %s: no answer: %v", id, out.path, err)
		return out
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	out.status, out.body, out.cut = resp.StatusCode, string(body), err != nil
	return out
}

// check reports what is wrong with the end of a request.
func (s *soakRegions) check(t *testing.T, e ended) {
	s.mu.Lock()
	runs := s.runs[e.id]
	s.mu.Unlock()
	whole := e.body == "ok "+e.id || e.body == "id: 0\ndata: token0\n\nid: 1\ndata: token1\n\nid: 2\ndata: token2\n\nid: 3\ndata: token3\n\n"
	refused := e.status == http.StatusServiceUnavailable || e.status == http.StatusTooManyRequests
	switch {
	case e.status == http.StatusOK && !e.cut && !whole:
		t.Errorf("not whole: %+v", e)
	case refused && runs > 0:
		t.Errorf("refused, and ran %d times: %+v", runs, e)
	case e.path == "/order/1" && runs > 1:
		t.Errorf("ran %d times: %+v", runs, e)
	case e.cut && e.body == "" && runs == 0:
		t.Errorf("cut before any server had it: %+v", e)
	}
}

// Guards against a request without one counted end, an operation that runs twice or after its refusal, and a stream with a
// gap, while versions, kills, refusals and failing servers come in any order in three regions.
func TestSoakOfRegions(t *testing.T) {
	s := newSoakRegions(t, *soakSeed)
	ctx, stop := context.WithTimeout(t.Context(), *soakTime)
	defer stop()
	var all sync.WaitGroup
	all.Go(func() { s.disturb(ctx) })
	const callers = 12
	var sent atomic.Int64
	results := make([][]ended, callers)
	for i := range callers {
		all.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				sent.Add(1)
				results[i] = append(results[i], s.request(t, fmt.Sprintf("%d-%d", i, n)))
			}
		})
	}
	all.Wait()
	s.callers.Close() // waits until the requests have been counted
	for _, peer := range s.peers {
		peer.Close()
	}
	counts := make(map[string]int)
	for _, list := range results {
		for _, e := range list {
			s.check(t, e)
			counts[fmt.Sprint(e.path, " ", e.status, " cut: ", e.cut)]++
		}
	}
	t.Logf("seed %d: %d requests: %v", *soakSeed, sent.Load(), counts)
	s.checkRest(t, sent.Load())
}

// checkRest checks that nothing is left of the requests.
func (s *soakRegions) checkRest(t *testing.T, sent int64) {
	if n := endsOf(t, s.front.Metrics); int64(n) != sent {
		t.Errorf("%d ends of %d requests", n, sent)
	}
	for _, f := range append(s.fars, s.front) {
		if n := f.Memory.Used(); n != 0 {
			t.Errorf("%d bytes of bodies are left", n)
		}
		if n := f.Local.Waiting.Len("svc"); n != 0 {
			t.Errorf("%d requests wait", n)
		}
		for _, state := range f.Local.Pool("svc").States(time.Now()) {
			if state.InFlight != 0 {
				t.Errorf("%s: %d in flight", state.ID, state.InFlight)
			}
		}
	}
}
