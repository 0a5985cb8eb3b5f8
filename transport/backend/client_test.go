package backend

import (
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"github.com/basilroute/basilroute/protocol/refusal"
	"github.com/basilroute/basilroute/standin/plain"
)

func serve(t *testing.T, handler http.Handler) string {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	return server.URL
}

func plainService(t *testing.T) (*plain.Service, string) {
	t.Helper()
	service := plain.New()
	handler, err := service.Handler()
	if err != nil {
		t.Fatal(err)
	}
	return service, serve(t, handler)
}

func purchaseOrder(id string) Operation {
	return Operation{Name: "buy", RequestID: "r-" + id, Account: "a", Body: []byte(`{"id":"` + id + `"}`), IdempotencyKey: "0190b8a0-0000-7000-8000-000000000000"}
}

// The server reads a purchase order on a kept-alive connection and resets it. The caller must
// be told that the run state is unknown. net/http would send the order again, since it
// carries an Idempotency-Key; the server must receive it once.
func TestResetConnectionIsNotResent(t *testing.T) {
	service, address := plainService(t)
	client := New()
	defer client.Close()
	if _, err := client.Run(t.Context(), address, purchaseOrder("warm")); err != nil {
		t.Fatal(err)
	}
	service.SetFaults(plain.Faults{ResetAfterRead: 1})
	_, err := client.Run(t.Context(), address, purchaseOrder("x"))
	if got := refusal.FromError(err); got.Code != refusal.CodeBackendFailed || got.RunState != refusal.RunUnknown {
		t.Errorf("refused with %v", err)
	}
	if n := service.Received(); n != 2 {
		t.Errorf("the server got %d requests, want the first and one more", n)
	}
}

// A server runs an operation and its response is lost: the caller must not be told that the
// operation did not run.
func TestLostAnswerIsUnknown(t *testing.T) {
	service, address := plainService(t)
	client := New()
	defer client.Close()
	service.SetFaults(plain.Faults{LoseResponses: 1})
	_, err := client.Run(t.Context(), address, purchaseOrder("x"))
	if got := refusal.FromError(err); got.RunState != refusal.RunUnknown {
		t.Errorf("refused with %v", err)
	}
	if n := service.Runs()[plain.Run{Operation: "buy", ID: "x"}]; n != 1 {
		t.Errorf("%d runs", n)
	}
}

// A refusal says "not run" only on proof: the server did not listen, or its API says that the
// request was not started. A bare 503 may come from an intermediary that lost the server's
// response.
func TestRunStateNeedsProof(t *testing.T) {
	client := New()
	defer client.Close()
	answer := func(status int, body string) string {
		return serve(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(status)
			_, _ = w.Write([]byte(body))
		}))
	}
	gone := httptest.NewServer(http.NotFoundHandler())
	gone.Close()
	for _, c := range []struct {
		what, address string
		want          refusal.RunState
	}{
		{"nobody listens", gone.URL, refusal.NotRun},
		{"leaving", answer(503, `{"code":"leaving","message":""}`), refusal.NotRun},
		{"overloaded", answer(503, `{"code":"overloaded","message":""}`), refusal.NotRun},
		{"bare 503", answer(503, `upstream unavailable`), refusal.RunUnknown},
		{"503 of another kind", answer(503, `{"code":"invalid","message":""}`), refusal.RunUnknown},
		{"500", answer(500, `{"code":"leaving","message":""}`), refusal.RunUnknown},
		{"422", answer(422, `{}`), refusal.RunUnknown},
	} {
		_, err := client.Run(t.Context(), c.address, purchaseOrder("x"))
		if got := refusal.FromError(err); err == nil || got.RunState != c.want {
			t.Errorf("%s: %v", c.what, err)
		}
	}
}

// A server responds with a redirect. Following it would send the account's data to a server
// that routing did not choose, or run the order a second time; the target must receive nothing.
func TestRedirectIsNotFollowed(t *testing.T) {
	var seen atomic.Int64
	target := serve(t, http.HandlerFunc(func(http.ResponseWriter, *http.Request) { seen.Add(1) }))
	client := New()
	defer client.Close()
	for _, status := range []int{http.StatusFound, http.StatusSeeOther, http.StatusTemporaryRedirect, http.StatusPermanentRedirect} {
		address := serve(t, http.RedirectHandler(target+"/v1/operations/buy", status))
		_, err := client.Run(t.Context(), address, purchaseOrder("x"))
		if got := refusal.FromError(err); err == nil || got.RunState != refusal.RunUnknown {
			t.Errorf("%d: refused with %v", status, err)
		}
	}
	if n := seen.Load(); n != 0 {
		t.Errorf("the target got %d requests", n)
	}
}

// Requests to backend servers carry only headers of an allow list, so that no caller's key can
// reach a server in any header.
func TestHeadersAreOnAList(t *testing.T) {
	allowed := map[string]bool{
		"Content-Type": true, "Content-Length": true, "User-Agent": true,
		accountHeader: true, RequestIDHeader: true, viaHeader: true, idempotencyKeyHeader: true,
	}
	address := serve(t, http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		for name := range r.Header {
			if !allowed[name] {
				t.Errorf("%s %s has the header %s", r.Method, r.URL.Path, name)
			}
		}
	}))
	client := New()
	defer client.Close()
	operation := purchaseOrder("x")
	operation.Via = "v"
	_, _ = client.Run(t.Context(), address, operation)
	var stats StreamStats
	next := int64(0)
	_ = client.Generate(t.Context(), address, Generation{RequestID: "r", Prompt: "p", MaxTokens: 1}, &next, &stats, nil)
	_ = client.Cancel(t.Context(), address, "r")
}
