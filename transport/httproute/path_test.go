package httproute

import (
	"bufio"
	"context"
	"crypto/sha256"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	dto "github.com/prometheus/client_model/go"

	"github.com/basilroute/basilroute/coordination/placement"
	"github.com/basilroute/basilroute/coordination/quarantine"
	"github.com/basilroute/basilroute/coordination/quota"
	"github.com/basilroute/basilroute/coordination/retry"
	"github.com/basilroute/basilroute/coordination/streambuild"
	"github.com/basilroute/basilroute/state/backends"
	"github.com/basilroute/basilroute/state/routes"
	"github.com/basilroute/basilroute/transport/backendhttp"
)

// testCodec is the codec of a deployment with short header names.
type testCodec struct{}

func (testCodec) DecodeCall(h http.Header) Call {
	c := Call{RequestID: h.Get("Id"), Key: h.Get("Key"), LastEventID: h.Get("Last-Event-Id")}
	if ms, err := strconv.Atoi(h.Get("Wait-Ms")); err == nil {
		c.CallerTimeout = time.Duration(ms) * time.Millisecond
	}
	return c
}

func (testCodec) Outbound(h http.Header, o Outbound) http.Header {
	out := EndToEnd(h)
	delete(out, "Key")
	out.Set("Server-Id", o.Server)
	out.Set("Account", o.Account)
	out.Set("Wait-Ms", strconv.FormatInt(o.Timeout.Milliseconds(), 10))
	if o.LastEventID != "" {
		out.Set("Last-Event-Id", o.LastEventID)
	}
	return out
}

func (testCodec) DecodeResponse(_ int, h http.Header) ResponseMeta {
	meta := ResponseMeta{RequestID: h.Get("Id"), NotRun: h.Get("Not-Run") != "", Leaving: h.Get("Leaving") != ""}
	if ms, err := strconv.Atoi(h.Get("Rest-Ms")); err == nil {
		meta.Rest = time.Duration(ms) * time.Millisecond
	}
	return meta
}

// fakeServer is a backend server that responds by a script.
type fakeServer struct {
	address string
	script  func(c net.Conn, r *http.Request) (keep bool)
	mu      sync.Mutex
	seen    []*http.Request
}

func (s *fakeServer) requests() []*http.Request {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.seen
}

func startFakeServer(t *testing.T, script func(c net.Conn, r *http.Request) bool) *fakeServer {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	s := &fakeServer{address: l.Addr().String(), script: script}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go s.connection(c)
		}
	}()
	return s
}

func (s *fakeServer) connection(c net.Conn) {
	defer func() { _ = c.Close() }()
	r := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		body, _ := io.ReadAll(req.Body)
		req.Body = io.NopCloser(strings.NewReader(string(body)))
		s.mu.Lock()
		s.seen = append(s.seen, req)
		s.mu.Unlock()
		if !s.script(c, req) {
			return
		}
	}
}

func respond(c net.Conn, r *http.Request, status int, body string) bool {
	_, err := fmt.Fprintf(c, "HTTP/1.1 %d X\r\nId: %s\r\nContent-Length: %d\r\n\r\n%s", status, r.Header.Get("Id"), len(body), body)
	return err == nil
}

// writeEvents writes the events of a range of ids, complete or cut off within the next
// event.
func writeEvents(c net.Conn, r *http.Request, from, to int, whole bool) {
	writeHead(c, r)
	for i := from; i <= to; i++ {
		writeEvent(c, i)
	}
	if whole {
		writeEnd(c)
		return
	}
	_, _ = fmt.Fprintf(c, "4\r\nid: \r\n")
}

func writeHead(c net.Conn, r *http.Request) {
	_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", r.Header.Get("Id"))
}

func writeEvent(c net.Conn, id int) {
	event := fmt.Sprintf("id: %d\ndata: token%d\n\n", id, id)
	_, _ = fmt.Fprintf(c, "%x\r\n%s\r\n", len(event), event)
}

func writeEnd(c net.Conn) { _, _ = io.WriteString(c, "0\r\n\r\n") }

type noRemotes struct{}

func (noRemotes) MarkUnreachable(string) {}

func (noRemotes) Remotes(string) []Remote             { return nil }
func (noRemotes) InstanceCounts() (fleet, region int) { return 1, 1 }

// anyBuild lets streams that callers take up go on anywhere.
type anyBuild struct{}

func (anyBuild) Begin(string, streambuild.Origin) {}
func (anyBuild) End(string)                       {}

func (anyBuild) Find(_ context.Context, _, service string) (streambuild.Origin, error) {
	return streambuild.Origin{Service: service}, nil
}

const (
	testHost = "desk.example"
	testKey  = "key-of-the-grocers"
)

// newTestFront returns a Front for fake servers.
func newTestFront(t *testing.T, servers ...*fakeServer) (*Front, *httptest.Server) {
	t.Helper()
	table := backends.New()
	for i, s := range servers {
		table.Put(backends.Server{ID: fmt.Sprint("s", i), Service: "svc", Address: s.address, Domain: "d", Region: "r", Slots: 8}, time.Now())
	}
	log := slog.New(slog.DiscardHandler)
	metrics := NewMetrics(prometheus.NewRegistry())
	local := &LocalDispatcher{Codec: testCodec{}, Backends: table, Log: log, Metrics: metrics,
		Parts:  quarantine.NewParts("i", func(uint64) bool { return false }),
		Client: backendhttp.New(backendhttp.Settings{DialTimeout: time.Second, UserTimeout: time.Second, MaxIdle: 8})}
	local.Pool("svc").Update(placement.Settings{Slots: 8}, table.InRegion("r", time.Now()))
	never := func() bool { return false }
	f := &Front{
		Region: "r", Codec: testCodec{}, Routes: &routes.Table{}, Ledger: quota.New("i"),
		Retries: retry.NewWindow(retry.WindowSettings{Ratio: 0.2, Slack: 1000, Window: 10 * time.Second}),
		Remotes: noRemotes{}, Builds: anyBuild{}, Local: local, Peers: local.Client, Log: log, Metrics: metrics,
		Starting: never, Stopping: never, Leaving: never, TimeToShutdown: func() time.Duration { return 0 },
	}
	front := httptest.NewUnstartedServer(f)
	front.Config.ConnContext = WithConn
	front.Start()
	t.Cleanup(front.Close)
	return f, front
}

func route(name string, kind routes.Kind, attempts int, resumable bool) routes.Route {
	return routes.Route{
		Name: name, Host: testHost, PathPrefix: "/" + name + "/", Kind: kind, Timeout: 5 * time.Second, MaxAttempts: attempts,
		Resumable: resumable, Targets: []routes.Target{{Service: "svc", Weight: 1}},
	}
}

func configure(f *Front) {
	slow := route("slow", routes.KindIdempotent, 1, false)
	slow.Timeout = 150 * time.Millisecond
	f.Routes.Offer(&routes.Config{
		Version:  1,
		Services: map[string]*routes.Service{"svc": {Name: "svc"}},
		Accounts: map[string]*routes.Account{"grocers": {Name: "grocers", Priority: -1}},
		Keys:     map[routes.KeyHash]string{sha256.Sum256([]byte(testKey)): "grocers"},
		Limits:   routes.Limits{BodyBytes: 1000, HeaderBytes: 4000},
		Routes: []routes.Route{
			route("read", routes.KindIdempotent, 2, false), route("order", routes.KindNonIdempotent, 1, false),
			route("draft", routes.KindStreaming, 2, true), route("chat", routes.KindStreaming, 1, false), slow,
		},
	})
}

func call(t *testing.T, ctx context.Context, front *httptest.Server, method, path, body string, header ...string) (*http.Response, string, error) {
	t.Helper()
	req, err := http.NewRequestWithContext(ctx, method, front.URL+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	req.Host = testHost
	req.Header.Set("Id", "id-1")
	req.Header.Set("Key", testKey)
	for i := 0; i+1 < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	resp, err := http.DefaultTransport.RoundTrip(req)
	if err != nil {
		return nil, "", err
	}
	defer func() { _ = resp.Body.Close() }()
	got, err := io.ReadAll(resp.Body)
	return resp, string(got), err
}

// Without a configuration an instance cannot tell whether a request is valid: it refuses
// it as not run, and not with a 4xx that the caller would take for final. With a
// configuration, invalid requests get the status that names their fault.
func TestStatusOfRejectedRequests(t *testing.T) {
	s := startFakeServer(t, func(c net.Conn, r *http.Request) bool { return respond(c, r, 200, "ok") })
	f, front := newTestFront(t, s)
	if resp, _, err := call(t, t.Context(), front, "GET", "/read/1", ""); err != nil || resp.StatusCode != 503 || resp.Header.Get("Retry-After") == "" {
		t.Errorf("without a configuration: %v, %v", resp, err)
	}
	configure(f)
	for _, tc := range []struct {
		path, body string
		header     []string
		want       int
	}{
		{"/read/1", "", nil, 200},
		{"/elsewhere/1", "", nil, 404},
		{"/read/1", "", []string{"Key", "another"}, 401},
		{"/order/1", strings.Repeat("b", 1001), nil, 413},
		{"/read/1", "", []string{"Mine", strings.Repeat("h", 4000)}, 431},
	} {
		if resp, _, err := call(t, t.Context(), front, "POST", tc.path, tc.body, tc.header...); err != nil || resp.StatusCode != tc.want {
			t.Errorf("%s: %v, %v, want %d", tc.path, resp, err, tc.want)
		}
	}
	if n := len(s.requests()); n != 1 {
		t.Errorf("%d requests reached the server, want 1", n)
	}
}

// Every request counts in the steps, not only the sample that is logged.
func TestStepsOfEveryRequestAreMeasured(t *testing.T) {
	s := startFakeServer(t, func(c net.Conn, r *http.Request) bool { return respond(c, r, 200, "ok") })
	f, front := newTestFront(t, s)
	configure(f)
	const requests = 5
	for range requests {
		if _, _, err := call(t, t.Context(), front, "GET", "/read/1", ""); err != nil {
			t.Fatal(err)
		}
	}
	for _, step := range []string{stepAdmission, stepLocal, stepRest} {
		if n := samples(t, f.Metrics.steps, step); n != requests {
			t.Errorf("%s: %d samples, want %d", step, n, requests)
		}
	}
	if n := samples(t, f.Metrics.deviation, stepLocal); n != requests {
		t.Errorf("deviations from the expected time: %d samples, want %d", n, requests)
	}
}

// samples returns the number of a histogram's samples of the service of fake servers.
func samples(t *testing.T, h *prometheus.HistogramVec, step string) int {
	t.Helper()
	metric, ok := h.WithLabelValues("svc", step).(prometheus.Metric)
	if !ok {
		t.Fatal("not a metric")
	}
	var out dto.Metric
	if err := metric.Write(&out); err != nil {
		t.Fatal(err)
	}
	return int(out.GetHistogram().GetSampleCount())
}

// Guards against a request that no region may run, because the homes of its route and of its
// account have none in common, and that is told to come back at once, for ever.
func TestExcludedRequestIsToldToStayAway(t *testing.T) {
	s := startFakeServer(t, func(c net.Conn, r *http.Request) bool { return respond(c, r, 200, "ok") })
	f, front := newTestFront(t, s)
	read := route("read", routes.KindIdempotent, 2, false)
	read.HomeRegions = []string{"elsewhere"}
	f.Routes.Offer(&routes.Config{
		Version: 1, Services: map[string]*routes.Service{"svc": {Name: "svc"}}, Routes: []routes.Route{read},
		Accounts: map[string]*routes.Account{"grocers": {Name: "grocers", Priority: -1, HomeRegions: []string{"r"}}},
		Keys:     map[routes.KeyHash]string{sha256.Sum256([]byte(testKey)): "grocers"},
	})
	resp, body, err := call(t, t.Context(), front, "GET", "/read/1", "")
	if err != nil || resp.StatusCode != http.StatusServiceUnavailable || body != "residency\n" {
		t.Fatalf("%v, %q, %v", resp, body, err)
	}
	if after, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); err != nil || after < residencyRetryAfter.Seconds() {
		t.Errorf("Retry-After %v, %v", after, err)
	}
	if n := len(s.requests()); n != 0 {
		t.Errorf("%d requests reached the server", n)
	}
}

// The server gets method, path, query, body and the caller's headers unchanged, the
// account's name and the remaining time. It never gets the key or hop-by-hop headers.
func TestWhatTheServerGets(t *testing.T) {
	s := startFakeServer(t, func(c net.Conn, r *http.Request) bool { return respond(c, r, 200, "ok") })
	f, front := newTestFront(t, s)
	configure(f)
	if _, _, err := call(t, t.Context(), front, "POST", "/order/a%2Fb?q=1&q=2", "body", "Mine", "x", "Wait-Ms", "3000",
		"Connection", "Other", "Other", "y", "Account", "forged"); err != nil {
		t.Fatal(err)
	}
	r := s.requests()[0]
	body, _ := io.ReadAll(r.Body)
	left, _ := strconv.Atoi(r.Header.Get("Wait-Ms"))
	switch {
	case r.Method != "POST" || r.RequestURI != "/order/a%2Fb?q=1&q=2" || string(body) != "body" || r.Host != testHost:
		t.Errorf("changed: %s %s %q", r.Method, r.RequestURI, body)
	case r.Header.Get("Key") != "" || r.Header.Get("Other") != "" || r.Header.Get("Mine") != "x":
		t.Errorf("headers: %v", r.Header)
	case r.Header.Get("Account") != "grocers" || left <= 0 || left > 3000:
		t.Errorf("account %q, %d ms left", r.Header.Get("Account"), left)
	}
}

// A server closes the connection with a request in flight. An idempotent request is
// retried at another server. A non-idempotent one may have run, so it is sent once and the
// caller learns that its outcome is unknown. If the server says that it did not run, it is
// reported as not run.
func TestRepeatsByKind(t *testing.T) {
	breaks := startFakeServer(t, func(net.Conn, *http.Request) bool { return false })
	good := startFakeServer(t, func(c net.Conn, r *http.Request) bool { return respond(c, r, 200, "ok") })
	f, front := newTestFront(t, breaks, good)
	configure(f)
	for range 4 {
		if resp, body, err := call(t, t.Context(), front, "GET", "/read/1", ""); err != nil || resp.StatusCode != 200 || body != "ok" {
			t.Errorf("an idempotent request: %v, %v", resp, err)
		}
	}
	only, frontOnly := newTestFront(t, breaks)
	configure(only)
	before := len(breaks.requests())
	if resp, _, err := call(t, t.Context(), frontOnly, "POST", "/order/1", "x"); err != nil || resp.StatusCode != 502 || resp.Header.Get("Retry-After") != "" {
		t.Errorf("a non-idempotent request whose outcome is unknown: %v, %v", resp, err)
	}
	if n := len(breaks.requests()) - before; n != 1 {
		t.Errorf("the non-idempotent request was sent %d times", n)
	}
	sheds := startFakeServer(t, func(c net.Conn, r *http.Request) bool {
		_, err := fmt.Fprintf(c, "HTTP/1.1 503 X\r\nId: %s\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n", r.Header.Get("Id"))
		return err == nil
	})
	shed, frontShed := newTestFront(t, sheds)
	configure(shed)
	if resp, _, err := call(t, t.Context(), frontShed, "POST", "/order/1", "x"); err != nil || resp.StatusCode != 503 || resp.Header.Get("Retry-After") == "" {
		t.Errorf("a non-idempotent request that did not run: %v, %v", resp, err)
	}
}

// One of two servers refuses connections. Nothing was sent, so even a non-idempotent
// request is retried at the other one, and the caller does not notice.
func TestUnsentOrderGoesOn(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	dead := &fakeServer{address: l.Addr().String()}
	_ = l.Close()
	good := startFakeServer(t, func(c net.Conn, r *http.Request) bool { return respond(c, r, 200, "ok") })
	f, front := newTestFront(t, dead, good)
	configure(f)
	for range 6 {
		if resp, _, err := call(t, t.Context(), front, "POST", "/order/1", "x"); err != nil || resp.StatusCode != 200 {
			t.Errorf("%v, %v", resp, err)
		}
	}
}

// A server crashes within an event of a resumable stream. The caller gets one complete
// stream: every event once and in order, nothing of the incomplete event, from the first
// server up to the crash and from the second one after it.
func TestStreamGoesOnAtAnotherServer(t *testing.T) {
	script := func(c net.Conn, r *http.Request) bool {
		last, err := strconv.Atoi(r.Header.Get("Last-Event-Id"))
		if err != nil {
			writeEvents(c, r, 0, 3, false)
			return false
		}
		writeEvents(c, r, last+1, 6, true)
		return true
	}
	f, front := newTestFront(t, startFakeServer(t, script), startFakeServer(t, script))
	configure(f)
	want := ""
	for i := range 7 {
		want += fmt.Sprintf("id: %d\ndata: token%d\n\n", i, i)
	}
	if resp, body, err := call(t, t.Context(), front, "POST", "/draft/1", "x"); err != nil || resp.StatusCode != 200 || body != want {
		t.Errorf("%v, %q, %v", resp, body, err)
	}
	// A stream that is not resumable is aborted: it must not look complete.
	if _, body, err := call(t, t.Context(), front, "POST", "/chat/1", "x"); err == nil {
		t.Errorf("an aborted stream looks complete: %q", body)
	}
}

// The first server fails and the second, the last attempt of the route, is idle for longer
// than the idle timeout. There is no alternative, so its response is waited for, and the
// caller gets the complete stream.
func TestLastServerMayBeSilent(t *testing.T) {
	script := func(c net.Conn, r *http.Request) bool {
		if r.Header.Get("Last-Event-Id") == "" {
			writeEvents(c, r, 0, 1, false)
			return false
		}
		time.Sleep(minGapTimeout + 100*time.Millisecond)
		writeEvents(c, r, 2, 3, true)
		return true
	}
	f, front := newTestFront(t, startFakeServer(t, script), startFakeServer(t, script), startFakeServer(t, script))
	configure(f)
	if _, body, err := call(t, t.Context(), front, "POST", "/draft/1", "x"); err != nil || strings.Count(body, "data:") != 4 {
		t.Errorf("%q, %v", body, err)
	}
}

// The second server resumes at the wrong event. A stream with a gap or a duplicate would
// look complete to the caller, so it is aborted.
func TestStreamThatGoesOnWronglyIsBrokenOff(t *testing.T) {
	script := func(c net.Conn, r *http.Request) bool {
		if r.Header.Get("Last-Event-Id") == "" {
			writeEvents(c, r, 0, 3, false)
			return false
		}
		writeEvents(c, r, 3, 6, true) // event 3 once more
		return true
	}
	f, front := newTestFront(t, startFakeServer(t, script), startFakeServer(t, script))
	configure(f)
	if _, body, err := call(t, t.Context(), front, "POST", "/draft/1", "x"); err == nil {
		t.Errorf("looks complete: %q", body)
	}
}

// The caller disconnects. An idempotent request is dropped at once: the server sees its
// connection close. A non-idempotent one runs to completion.
func TestCallerGone(t *testing.T) {
	arrived := make(chan struct{}, 2)
	ended := make(chan string, 2)
	s := startFakeServer(t, func(c net.Conn, r *http.Request) bool {
		arrived <- struct{}{}
		_ = c.SetReadDeadline(time.Now().Add(300 * time.Millisecond))
		_, err := c.Read(make([]byte, 1))
		if err == io.EOF {
			ended <- r.Method + " dropped"
			return false
		}
		ended <- r.Method + " ran on"
		_ = c.SetReadDeadline(time.Time{})
		return respond(c, r, 200, "ok")
	})
	f, front := newTestFront(t, s)
	configure(f)
	for _, tc := range []struct{ method, path, want string }{
		{"GET", "/read/1", "GET dropped"}, {"POST", "/order/1", "POST ran on"},
	} {
		ctx, disconnect := context.WithCancel(t.Context())
		go func() {
			<-arrived
			disconnect()
		}()
		if _, _, err := call(t, ctx, front, tc.method, tc.path, ""); err == nil {
			t.Error("a caller that disconnected got a response")
		}
		if got := <-ended; got != tc.want {
			t.Errorf("%s, want %s", got, tc.want)
		}
	}
}

// A server does not respond within the route's timeout. The caller gets a final response
// then, which does not claim that the request has not run.
func TestRouteTimeout(t *testing.T) {
	s := startFakeServer(t, func(c net.Conn, _ *http.Request) bool {
		_, _ = c.Read(make([]byte, 1))
		return false
	})
	f, front := newTestFront(t, s)
	configure(f)
	if resp, _, err := call(t, t.Context(), front, "GET", "/slow/1", ""); err != nil || resp.StatusCode != 504 {
		t.Errorf("%v, %v", resp, err)
	}
}

// A server responds to an idempotent request with a complete 5xx of its own. Another
// server is tried; if that fails too, the caller gets the server's response and not one of
// the instance.
func TestServerErrorsArePassedThrough(t *testing.T) {
	bad := startFakeServer(t, func(c net.Conn, r *http.Request) bool { return respond(c, r, 500, "own") })
	good := startFakeServer(t, func(c net.Conn, r *http.Request) bool { return respond(c, r, 200, "ok") })
	f, front := newTestFront(t, bad, good)
	configure(f)
	for range 4 {
		if resp, body, err := call(t, t.Context(), front, "GET", "/read/1", ""); err != nil || resp.StatusCode != 200 || body != "ok" {
			t.Errorf("%v, %v", resp, err)
		}
	}
	only, frontOnly := newTestFront(t, bad)
	configure(only)
	if resp, body, err := call(t, t.Context(), frontOnly, "GET", "/read/1", ""); err != nil || resp.StatusCode != 500 || body != "own" {
		t.Errorf("%v, %q, %v", resp, body, err)
	}
}

// A request hides a second one behind two conflicting lengths (request smuggling). Nothing
// of the hidden one reaches a server.
func TestSmuggledRequest(t *testing.T) {
	s := startFakeServer(t, func(c net.Conn, r *http.Request) bool { return respond(c, r, 200, "ok") })
	f, front := newTestFront(t, s)
	configure(f)
	hidden := "GET /read/hidden HTTP/1.1\r\nHost: " + testHost + "\r\nId: hidden\r\nKey: " + testKey + "\r\n\r\n"
	for _, framing := range []string{
		"Content-Length: 0\r\nContent-Length: %d\r\n", "Content-Length: %d\r\nTransfer-Encoding: chunked, identity\r\n", "Content-Length: +%d\r\n",
	} {
		c, err := net.Dial("tcp", front.Listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		_, _ = fmt.Fprintf(c, "POST /order/1 HTTP/1.1\r\nHost: %s\r\nId: id-1\r\nKey: %s\r\nConnection: close\r\n"+framing+"\r\n%s",
			testHost, testKey, len(hidden), hidden)
		_, _ = io.ReadAll(c)
		_ = c.Close()
	}
	for _, r := range s.requests() {
		if r.Header.Get("Id") == "hidden" {
			t.Errorf("the hidden request ran: %s", r.RequestURI)
		}
	}
}

// A caller announces a body, sends part of it and disconnects. Nothing of it reaches a
// server, which would otherwise run an incomplete request, and the connection's goroutine
// ends.
func TestCallerLeavesWithinItsBody(t *testing.T) {
	s := startFakeServer(t, func(c net.Conn, r *http.Request) bool { return respond(c, r, 200, "ok") })
	f, front := newTestFront(t, s)
	configure(f)
	for _, framing := range []string{"Content-Length: 100\r\n\r\nhalf", "Transfer-Encoding: chunked\r\n\r\n64\r\nhalf"} {
		c, err := net.Dial("tcp", front.Listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		if _, err := fmt.Fprintf(c, "POST /order/1 HTTP/1.1\r\nHost: %s\r\nId: id-left\r\nKey: %s\r\n%s", testHost, testKey, framing); err != nil {
			t.Fatal(err)
		}
		_ = c.Close()
	}
	front.Close() // waits for the requests that are being served
	if n := len(s.requests()); n != 0 {
		t.Errorf("%d requests reached the server", n)
	}
}
