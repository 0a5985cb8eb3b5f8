package httpidle_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/basilroute/basilroute/standin/link"
	"github.com/basilroute/basilroute/transport/backendhttp"
	"github.com/basilroute/basilroute/transport/httpidle"
)

const (
	first = 3 * time.Second
	next  = time.Second
)

// call makes a call under the timeouts and returns the bytes received and the duration.
func call(t *testing.T, handler http.HandlerFunc) (bytes int64, took time.Duration, err error) {
	network := link.NewNetwork()
	here, there := network.Add("here", 1<<20), network.Add("there:80", 1<<20)
	var handling sync.WaitGroup
	handling.Add(1) // one call
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		defer handling.Done()
		handler(w, r)
	})}
	go func() { _ = server.Serve(there) }()
	transport := backendhttp.NewRoundTripper(backendhttp.Settings{Dial: func(ctx context.Context, _, address string) (net.Conn, error) {
		return here.Dial(ctx, address)
	}}, nil)
	defer func() {
		_ = server.Close()
		transport.CloseIdleConnections()
		handling.Wait()
	}()
	req, err := http.NewRequestWithContext(httpidle.WithTimeouts(t.Context(), first, next), http.MethodGet, "http://there:80/", nil)
	if err != nil {
		t.Fatal(err)
	}
	began := time.Now()
	resp, err := (&http.Client{Transport: httpidle.Transport{Next: transport}}).Do(req)
	if err != nil {
		return 0, time.Since(began), err
	}
	defer func() { _ = resp.Body.Close() }()
	bytes, err = io.Copy(io.Discard, resp.Body)
	return bytes, time.Since(began), err
}

// piece writes some bytes and flushes them.
func piece(w http.ResponseWriter) {
	_, _ = w.Write(make([]byte, 100))
	_ = http.NewResponseController(w).Flush()
}

// Guards against a server that accepts a call and never responds.
func TestCallWithoutResponseTimesOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, took, err := call(t, func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() })
		if !errors.Is(err, httpidle.ErrIdleTimeout) || took < first || took > first+next {
			t.Errorf("%v after %v", err, took)
		}
	})
}

// Guards against a response that stalls in its middle.
func TestStalledResponseTimesOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, took, err := call(t, func(w http.ResponseWriter, r *http.Request) {
			piece(w)
			<-r.Context().Done()
		})
		if !errors.Is(err, httpidle.ErrIdleTimeout) || took > 2*next {
			t.Errorf("%v after %v", err, took)
		}
	})
}

// Guards against cutting off a long response that keeps arriving.
func TestLongResponseIsNotCutOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const pieces = 20
		bytes, took, err := call(t, func(w http.ResponseWriter, _ *http.Request) {
			for range pieces {
				time.Sleep(next / 2)
				piece(w)
			}
		})
		if err != nil || bytes != 100*pieces || took < pieces*next/2 {
			t.Errorf("%d bytes, %v after %v", bytes, err, took)
		}
	})
}

// Guards against a response that never ends and arrives in small pieces.
func TestEndlessResponseEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, took, err := call(t, func(w http.ResponseWriter, r *http.Request) {
			for r.Context().Err() == nil {
				time.Sleep(next / 2)
				piece(w)
			}
		})
		if err == nil || took > first+httpidle.MaxDuration+next {
			t.Errorf("%v after %v", err, took)
		}
	})
}
