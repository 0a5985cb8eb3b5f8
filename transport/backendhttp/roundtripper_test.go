package backendhttp

import (
	"bufio"
	"context"
	"crypto/tls"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
)

func roundTripper(t *testing.T) *RoundTripper {
	t.Helper()
	rt := NewRoundTripper(Settings{DialTimeout: time.Second, MaxIdle: 4}, nil)
	t.Cleanup(rt.CloseIdleConnections)
	return rt
}

// fetch makes a call and returns the body, with the error of the call or of reading.
func fetch(t *testing.T, rt http.RoundTripper, method, url, body string) (string, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, url, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	resp, err := (&http.Client{Transport: rt}).Do(req)
	if err != nil {
		return "", err
	}
	defer func() { _ = resp.Body.Close() }()
	got, err := io.ReadAll(resp.Body)
	return string(got), err
}

// Guards against an HTTP client that takes a response with an invalid head, or that refuses a valid one.
func TestRoundTripperChecksHeads(t *testing.T) {
	call := func(raw string, reused bool) (string, error) {
		s, rt := respondRaw(t, raw, reused), roundTripper(t)
		if reused {
			if body, err := fetch(t, rt, http.MethodGet, "http://"+s.address, ""); err != nil || body != "first" {
				t.Fatalf("%q, %v", body, err)
			}
		}
		return fetch(t, rt, http.MethodGet, "http://"+s.address, "")
	}
	for where, reused := range map[string]bool{"new": false, "reused": true} {
		for name, raw := range malformedResponses {
			if body, err := call(raw, reused); !errors.Is(err, ErrMalformed) || body != "" {
				t.Errorf("%s, %s: %q, %v", name, where, body, err)
			}
		}
		for name, tc := range validResponses {
			if body, err := call(tc[0], reused); err != nil || body != tc[1] {
				t.Errorf("%s, %s: %q, %v", name, where, body, err)
			}
		}
	}
}

// Guards against a request that changes something and is sent twice, and against one that is safe and fails, when a reused
// connection breaks without a response.
func TestRoundTripperRepeatsOnlySafeRequests(t *testing.T) {
	for method, want := range map[string]struct {
		arrivals int32
		served   bool
	}{
		http.MethodGet: {3, true}, http.MethodHead: {3, true},
		http.MethodPost: {2, false}, http.MethodPut: {2, false}, http.MethodDelete: {2, false},
	} {
		s := serve(t, func(c net.Conn, next func() *http.Request) {
			next()
			_, _ = io.WriteString(c, answer("1", "first"))
			next()
		}, answerAll)
		rt := roundTripper(t)
		if _, err := fetch(t, rt, http.MethodGet, "http://"+s.address, ""); err != nil {
			t.Fatal(err)
		}
		_, err := fetch(t, rt, method, "http://"+s.address, "")
		if n := s.arrivals.Load(); (err == nil) != want.served || n != want.arrivals || errors.Is(err, ErrNotSent) {
			t.Errorf("%s: %d requests, %v", method, n, err)
		}
	}
}

// Guards against a safe request that is sent again and again, or again after a part of a response.
func TestRoundTripperGivesUp(t *testing.T) {
	for name, part := range map[string]string{"nothing": "", "part of a head": "HTTP/1.1 2"} {
		s := serve(t, func(c net.Conn, next func() *http.Request) {
			next()
			_, _ = io.WriteString(c, part)
		})
		if _, err := fetch(t, roundTripper(t), http.MethodGet, "http://"+s.address, ""); err == nil || s.arrivals.Load() != 1 {
			t.Errorf("%s: %d requests, %v", name, s.arrivals.Load(), err)
		}
	}
}

// Guards against responses without a body that cost their connection.
func TestRoundTripperReusesAfterEmptyBodies(t *testing.T) {
	for _, tc := range []struct{ method, response string }{
		{http.MethodHead, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n"},
		{http.MethodGet, "HTTP/1.1 204 No Content\r\n\r\n"},
		{http.MethodGet, "HTTP/1.1 304 Not Modified\r\nContent-Length: 5\r\n\r\n"},
		{http.MethodPost, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"},
	} {
		s := serve(t, func(c net.Conn, next func() *http.Request) {
			for next() != nil {
				_, _ = io.WriteString(c, tc.response)
			}
		})
		rt := roundTripper(t)
		for range 3 {
			req, err := http.NewRequestWithContext(t.Context(), tc.method, "http://"+s.address, nil)
			if err != nil {
				t.Fatal(err)
			}
			resp, err := rt.RoundTrip(req)
			if err != nil || resp.Body != http.NoBody || resp.Request != req {
				t.Fatalf("%s: %v, %v", tc.method, resp, err)
			}
		}
		if n := s.accepted.Load(); n != 1 {
			t.Errorf("%s, %q: %d connections", tc.method, tc.response, n)
		}
	}
}

// Guards against a call that hides why its context ended, before the response and in its body.
func TestRoundTripperTellsTheCause(t *testing.T) {
	cause := errors.New("the cause")
	for name, response := range map[string]string{"head": "", "body": "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf"} {
		ctx, cancel := context.WithCancelCause(t.Context())
		s := serve(t, func(c net.Conn, next func() *http.Request) {
			next()
			_, _ = io.WriteString(c, response)
			if response == "" {
				cancel(cause)
			}
			next()
		})
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+s.address, nil)
		if err != nil {
			t.Fatal(err)
		}
		resp, err := (&http.Client{Transport: roundTripper(t)}).Do(req)
		if err == nil {
			_, _ = io.ReadFull(resp.Body, make([]byte, len("half")))
			cancel(cause)
			_, err = io.ReadAll(resp.Body)
			_ = resp.Body.Close()
		}
		if !errors.Is(err, cause) {
			t.Errorf("%s: %v", name, err)
		}
		cancel(nil)
	}
}

// Guards against a body that a caller closes twice or in the middle of a read: the connection must not carry two requests.
func TestRoundTripperBodyClosedTwice(t *testing.T) {
	s := serve(t, func(c net.Conn, next func() *http.Request) {
		for next() != nil {
			_, _ = io.WriteString(c, answer("1", "body"))
		}
	})
	rt := roundTripper(t)
	req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+s.address, nil)
	if err != nil {
		t.Fatal(err)
	}
	resp, err := rt.RoundTrip(req)
	if err != nil {
		t.Fatal(err)
	}
	_, _ = io.ReadAll(resp.Body)
	_, _ = resp.Body.Close(), resp.Body.Close()
	if n := len(rt.plain.idle[s.address]); n != 1 {
		t.Errorf("%d idle connections", n)
	}
	if _, err := resp.Body.Read(make([]byte, 1)); !errors.Is(err, http.ErrBodyReadAfterClose) {
		t.Errorf("read after close: %v", err)
	}
	stalled := serve(t, func(c net.Conn, next func() *http.Request) {
		next()
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf")
		next()
	})
	req.URL.Host = stalled.address
	if resp, err = rt.RoundTrip(req); err != nil {
		t.Fatal(err)
	}
	time.AfterFunc(10*time.Millisecond, func() { _ = resp.Body.Close() })
	if got, err := io.ReadAll(resp.Body); err == nil || string(got) != "half" {
		t.Errorf("%q, %v", got, err)
	}
}

// Guards against idle connections that are closed before their limit, or never.
func TestRoundTripperClosesIdleConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const limit = 10 * time.Second
		near, far := net.Pipe()
		rt := NewRoundTripper(Settings{}, nil)
		cn := newConn(near)
		cn.idleLimit = limit
		rt.plain.put("server:80", cn)
		rt.sweepLater()
		time.Sleep(limit - sweepInterval)
		if !rt.plain.hasIdle() {
			t.Error("closed before its limit")
		}
		time.Sleep(3 * sweepInterval)
		if rt.plain.hasIdle() {
			t.Error("not closed at its limit")
		}
		rt.mu.Lock()
		defer rt.mu.Unlock()
		if rt.sweeper != nil {
			t.Error("sweeps although no connection is idle")
		}
		_ = far.Close()
	})
}

// Guards against idle connections that are kept for another time than the settings and the server say.
func TestRoundTripperIdleLimit(t *testing.T) {
	const limit = 10 * time.Second
	for fields, want := range map[string]time.Duration{"": limit, "Keep-Alive: timeout=5\r\n": 5*time.Second - idleLimitMargin, "Keep-Alive: timeout=60\r\n": limit} {
		s := serve(t, func(c net.Conn, next func() *http.Request) {
			next()
			_, _ = io.WriteString(c, okWith(fields))
			next()
		})
		rt := NewRoundTripper(Settings{IdleLimit: limit}, nil)
		if _, err := fetch(t, rt, http.MethodGet, "http://"+s.address, ""); err != nil {
			t.Fatal(err)
		}
		if idle := rt.plain.idle[s.address]; len(idle) != 1 || idle[0].idleLimit != want {
			t.Errorf("%q: %d idle connections, want one for %v", fields, len(idle), want)
		}
		rt.CloseIdleConnections()
	}
}

// Guards against a header field or a path whose bytes end a line and begin another one.
func TestRoundTripperSendsNoInvalidRequest(t *testing.T) {
	s := serve(t, answerAll)
	for name, change := range map[string]func(r *http.Request){
		"value":  func(r *http.Request) { r.Header.Set("A", "x\r\nB: y") },
		"name":   func(r *http.Request) { r.Header["A\r\nB"] = []string{"x"} },
		"method": func(r *http.Request) { r.Method = "GET /x HTTP/1.1\r\nA:" },
		"query":  func(r *http.Request) { r.URL.RawQuery = "a HTTP/1.1\r\nA: b" },
		"host":   func(r *http.Request) { r.Host = "h\r\nA: b" },
		"scheme": func(r *http.Request) { r.URL.Scheme = "ftp" },
	} {
		req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+s.address, nil)
		if err != nil {
			t.Fatal(err)
		}
		change(req)
		if _, err := roundTripper(t).RoundTrip(req); !errors.Is(err, ErrInvalidRequest) || !errors.Is(err, ErrNotSent) {
			t.Errorf("%s: %v", name, err)
		}
	}
	if n := s.arrivals.Load(); n != 0 {
		t.Errorf("%d requests arrived", n)
	}
}

// Guards against a request whose body, host, path or header fields change on their way.
func TestRoundTripperSendsTheRequest(t *testing.T) {
	const size = 1 << 20
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		n, err := io.Copy(io.Discard, r.Body)
		_, _ = fmt.Fprintf(w, "%s %s %s %s %d %d %v", r.Method, r.Host, r.RequestURI, r.Header.Get("A"), r.ContentLength, n, err)
	}))
	defer server.Close()
	body := strings.Repeat("b", size)
	for name, reader := range map[string]io.Reader{"known length": strings.NewReader(body), "unknown length": io.MultiReader(strings.NewReader(body))} {
		req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, server.URL+"/p%2Fq?a=b%20c", reader)
		if err != nil {
			t.Fatal(err)
		}
		req.Host = "other"
		req.Header.Set("A", "x")
		req.Header.Set("Content-Length", "3")
		resp, err := roundTripper(t).RoundTrip(req)
		if err != nil {
			t.Fatal(err)
		}
		got, _ := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		if want := fmt.Sprintf("POST other /p%%2Fq?a=b%%20c x %d %d <nil>", size, size); string(got) != want {
			t.Errorf("%s: %q, want %q", name, got, want)
		}
	}
}

// Guards against a TLS connection that is not reused, or on which surplus bytes become the response to the next request.
func TestRoundTripperOverTLS(t *testing.T) {
	for name, surplus := range map[string]string{"none": "", "a response": answer("1", "surplus")} {
		var accepted atomic.Int32
		server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			c, _, err := http.NewResponseController(w).Hijack()
			if err != nil {
				t.Error(err)
				return
			}
			accepted.Add(1)
			go serveTLS(c, r.URL.Path, surplus)
		}))
		server.StartTLS()
		config := &tls.Config{RootCAs: server.Client().Transport.(*http.Transport).TLSClientConfig.RootCAs}
		rt := NewRoundTripper(Settings{}, (&tls.Dialer{Config: config}).DialContext)
		for _, path := range []string{"/1", "/2", "/3"} {
			if body, err := fetch(t, rt, http.MethodGet, server.URL+path, ""); err != nil || body != path {
				t.Errorf("%s, %s: %q, %v", name, path, body, err)
			}
		}
		if n, want := accepted.Load(), map[bool]int32{true: 1, false: 3}[surplus == ""]; n != want {
			t.Errorf("%s: %d connections, want %d", name, n, want)
		}
		rt.CloseIdleConnections()
		server.Close()
	}
}

// serveTLS responds with the path of each request, and with surplus bytes in the same record.
func serveTLS(c net.Conn, path, surplus string) {
	defer func() { _ = c.Close() }()
	reader := bufio.NewReader(c)
	for {
		_, _ = io.WriteString(c, answer("1", path)+surplus)
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		path = r.URL.Path
	}
}
