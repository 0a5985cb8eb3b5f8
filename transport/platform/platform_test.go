package platform_test

import (
	"errors"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	standin "github.com/basilroute/basilroute/standin/platform"
	"github.com/basilroute/basilroute/transport/backendhttp"
	"github.com/basilroute/basilroute/transport/platform"
)

func settings(url string) platform.Settings {
	return platform.Settings{URL: url, CallTimeout: 10 * time.Second, CallRate: 1e6, CallBurst: 1e6}
}

func openAt(t *testing.T) (*standin.Server, *platform.Client, string) {
	t.Helper()
	server := standin.New()
	t.Cleanup(server.Close)
	handler, err := server.Handler()
	if err != nil {
		t.Fatal(err)
	}
	listener := httptest.NewServer(handler)
	t.Cleanup(listener.Close)
	client, err := platform.New(settings(listener.URL), backendhttp.NewRoundTripper(backendhttp.Settings{}, nil))
	if err != nil {
		t.Fatal(err)
	}
	return server, client, listener.URL
}

func open(t *testing.T) (*standin.Server, *platform.Client) {
	t.Helper()
	server, client, _ := openAt(t)
	return server, client
}

// Writes take effect and their responses are lost. The writer must learn that its own write is
// stored, and at which revision: taken for a failure, the write would be applied twice or
// reported as another writer's.
func TestLostAnswersAreSettled(t *testing.T) {
	server, client := open(t)
	server.SetFaults(standin.Faults{LoseResponses: 1})
	created, err := client.Put(t.Context(), platform.Write{Key: "k", Value: []byte("1")})
	if err != nil || created != 1 {
		t.Fatalf("create: revision %d, %v", created, err)
	}
	server.SetFaults(standin.Faults{LoseResponses: 1})
	written, err := client.Put(t.Context(), platform.Write{Key: "k", Value: []byte("2"), ExpectRevision: created})
	if err != nil || written != 2 {
		t.Fatalf("write: revision %d, %v", written, err)
	}
	server.SetFaults(standin.Faults{LoseResponses: 1})
	deleted, err := client.Put(t.Context(), platform.Write{Key: "k", ExpectRevision: written, Delete: true})
	if err != nil || deleted != 3 {
		t.Fatalf("delete: revision %d, %v", deleted, err)
	}
}

// loseFirstResponse drops the response of the first call and calls then before the caller gets
// the error.
type loseFirstResponse struct{ then func() }

func (a *loseFirstResponse) RoundTrip(r *http.Request) (*http.Response, error) {
	resp, err := http.DefaultTransport.RoundTrip(r)
	if a.then == nil || err != nil {
		return resp, err
	}
	_ = resp.Body.Close()
	a.then()
	a.then = nil
	return nil, errors.New("the response is lost")
}

// A write takes effect, its response is lost, and another operator writes before the retry.
// The stored value is not the writer's own: it must get a conflict and not be told that its
// write is in force.
func TestLostAnswerThenOverwrittenIsAConflict(t *testing.T) {
	_, other, url := openAt(t)
	lossy, err := platform.New(settings(url), &loseFirstResponse{then: func() {
		if _, err := other.Put(t.Context(), platform.Write{Key: "k", Value: []byte("theirs"), ExpectRevision: 1}); err != nil {
			t.Error(err)
		}
	}})
	if err != nil {
		t.Fatal(err)
	}
	if _, err = lossy.Put(t.Context(), platform.Write{Key: "k", Value: []byte("mine")}); !errors.Is(err, platform.ErrConflict) {
		t.Errorf("%v", err)
	}
}

// Two operators change a document concurrently: one write takes effect, the other one gets a
// conflict and has no effect.
func TestRacingOperators(t *testing.T) {
	_, client := open(t)
	results := make(chan error, 2)
	for _, value := range []string{"a", "b"} {
		go func() {
			_, err := client.Put(t.Context(), platform.Write{Key: "k", Value: []byte(value)})
			results <- err
		}()
	}
	conflicts := 0
	for range 2 {
		if err := <-results; errors.Is(err, platform.ErrConflict) {
			conflicts++
		} else if err != nil {
			t.Fatal(err)
		}
	}
	if conflicts != 1 {
		t.Errorf("%d conflicts", conflicts)
	}
}

// The writer's clock is behind that of the writer whose value it replaces. The new nonce must
// sort after the old one nevertheless, or instances keep the older document.
func TestNonceComesAfterTheReplacedOne(t *testing.T) {
	_, client := open(t)
	const future = "ffff0000-0000-7000-8000-000000000000"
	if _, err := client.Put(t.Context(), platform.Write{Key: "k", AfterNonce: future}); err != nil {
		t.Fatal(err)
	}
	kv, err := client.Get(t.Context(), "k")
	if err != nil || kv.Nonce <= future {
		t.Errorf("nonce %s, %v", kv.Nonce, err)
	}
}
