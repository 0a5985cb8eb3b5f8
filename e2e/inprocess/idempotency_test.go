package inprocess

import (
	"net/http"
	"strings"
	"sync"
	"testing"

	"github.com/basilroute/basilroute/standin/plain"
	"github.com/basilroute/basilroute/standin/platform"
)

const idempotency = "Idempotency-Key"

// A caller sends the same purchase order through all four instances concurrently. One
// of them runs it; the others find its claim and respond with 409, and never with
// run state not_run while it may have run. A different order with the same key is
// refused.
func TestOrderSentThroughAllInstancesRunsOnce(t *testing.T) {
	f := startFleet(t)
	key := idempotencyKey(t)
	var mu sync.Mutex
	statuses := make(map[int]int)
	var all sync.WaitGroup
	for range 3 {
		for id := range f.Instances {
			all.Go(func() {
				got := f.buy(id, "resin", idempotency, key)
				mu.Lock()
				defer mu.Unlock()
				statuses[got.status]++
				if got.status != http.StatusOK && (got.status != http.StatusConflict || got.Run == "not_run") {
					t.Errorf("%s: %d %s", id, got.status, got.body)
				}
			})
		}
	}
	all.Wait()
	if f.runs("resin") != 1 || statuses[http.StatusOK] != 1 {
		t.Errorf("%d runs, answers %v", f.runs("resin"), statuses)
	}
	if got := f.buy("fraser-a-1-entry-1", "pigment", idempotency, key); got.status != http.StatusUnprocessableEntity || got.Run != "not_run" || f.runs("pigment") != 0 {
		t.Errorf("another order under the same key: %d %s", got.status, got.body)
	}
}

// The server runs the order and its response is lost. The caller gets run state
// unknown, and again on a retry through every other instance: the claim still exists,
// and the order ran once.
func TestLostAnswerIsNotRunAgain(t *testing.T) {
	f := startFleet(t)
	f.plain().SetFaults(plain.Faults{LoseResponses: 1})
	key := idempotencyKey(t)
	if got := f.buy("fraser-a-1-entry-1", "resin", idempotency, key); got.status != http.StatusBadGateway || got.Run != "unknown" {
		t.Errorf("%d %s", got.status, got.body)
	}
	for id := range f.Instances {
		if got := f.buy(id, "resin", idempotency, key); got.status != http.StatusConflict || got.Run != "unknown" {
			t.Errorf("%s: %d %s", id, got.status, got.body)
		}
	}
	if f.runs("resin") != 1 {
		t.Errorf("%d runs", f.runs("resin"))
	}
}

// The store is unreachable. An order that needs a claim is refused as not run, with a
// Retry-After, and no backend server gets it; an order without an idempotency key is
// served. Once the store is back, an order with the same key runs.
func TestStoreOutageRefusesClaims(t *testing.T) {
	f := startFleet(t)
	f.Platform.SetFaults(platform.Faults{Outage: true})
	key := idempotencyKey(t)
	before := f.plain().Received()
	got := f.buy("fraser-a-1-entry-1", "resin", idempotency, key)
	if got.status != http.StatusServiceUnavailable || got.Code != "store_unreachable" || got.Run != "not_run" || got.RetryAfterMs == 0 {
		t.Errorf("%d %s", got.status, got.body)
	}
	if after := f.plain().Received(); after != before {
		t.Errorf("a backend server got the refused order: %d requests", after-before)
	}
	if got := f.buy("fraser-a-1-entry-1", "varnish"); got.status != http.StatusOK {
		t.Errorf("without a key: %d %s", got.status, got.body)
	}
	f.Platform.SetFaults(platform.Faults{})
	f.await("the order", func() bool { return f.buy("fraser-a-1-entry-2", "resin", idempotency, key).status == http.StatusOK })
	if f.runs("resin") != 1 {
		t.Errorf("%d runs", f.runs("resin"))
	}
}

// The store applies a claim and its response is lost: the outcome of the write is
// determined by its nonce, and the order runs once.
func TestClaimWithLostAnswerIsSettled(t *testing.T) {
	f := startFleet(t)
	f.Platform.SetFaults(platform.Faults{LoseResponses: 2}) // the lease and the claim
	if got := f.buy("fraser-a-1-entry-1", "resin", idempotency, idempotencyKey(t)); got.status != http.StatusOK && got.Run != "not_run" {
		t.Errorf("%d %s", got.status, got.body)
	}
	key := idempotencyKey(t)
	f.Platform.SetFaults(platform.Faults{LoseResponses: 1})
	if got := f.buy("fraser-a-1-entry-1", "pigment", idempotency, key); got.status != http.StatusOK {
		t.Errorf("%d %s", got.status, got.body)
	}
	if f.runs("pigment") != 1 {
		t.Errorf("%d runs", f.runs("pigment"))
	}
}

// The server reports that it did not start the order. The claim is retracted before
// the caller gets the refusal, so that the same key runs as soon as the server is back.
func TestOrderThatDidNotRunCanBeRetried(t *testing.T) {
	f := startFleet(t)
	f.plain().SetFaults(plain.Faults{Leaving: true})
	key := idempotencyKey(t)
	if got := f.buy("fraser-a-2-entry-1", "resin", idempotency, key); got.status == http.StatusOK || got.Run != "not_run" {
		t.Errorf("%d %s", got.status, got.body)
	}
	f.plain().SetFaults(plain.Faults{})
	f.await("the order", func() bool {
		got := f.buy("fraser-a-1-entry-2", "resin", idempotency, key)
		if got.status == http.StatusConflict {
			t.Fatalf("the claim was not retracted: %s", got.body)
		}
		return got.status == http.StatusOK
	})
}

// Callers send their keys in the Authorization header; no backend server may ever get
// one, neither directly nor through a peer.
func TestKeysNeverReachBackendServers(t *testing.T) {
	f := startFleet(t)
	for id := range f.Instances {
		f.buy(id, "resin", "X-Api-Key", f.key)
		f.send(id, "/v1/completions", prompt(4, false))
		f.send(id, "/v1/completions", prompt(4, true))
	}
	if f.plain().KeysSeen() != 0 || f.engine().Stats().KeysSeen != 0 {
		t.Errorf("keys seen: plain %d, engine %d", f.plain().KeysSeen(), f.engine().Stats().KeysSeen)
	}
	if f.engine().Stats().Started != 8 || f.runs("resin") != 4 {
		t.Errorf("%d generations, %d orders", f.engine().Stats().Started, f.runs("resin"))
	}
}

// A plain service calls the gateway with the via token that it received. A call of
// its own service is refused as a loop by every instance, a call of another service
// runs, and a forged token is refused.
func TestLoopBetweenServicesIsRefused(t *testing.T) {
	f := startFleet(t)
	first := f.buy("fraser-a-1-entry-1", "resin")
	token := f.plain().LastVia()
	if token == "" {
		t.Fatalf("no token reached the service: %d %s", first.status, first.body)
	}
	for id := range f.Instances {
		if got := f.buy(id, "pigment", "X-Via", token); got.status != http.StatusConflict || got.Code != "loop" || got.Run != "not_run" {
			t.Errorf("%s: %d %s", id, got.status, got.body)
		}
		if got := f.send(id, "/v1/completions", prompt(2, false), "X-Via", token); got.status != http.StatusOK {
			t.Errorf("%s: %d %s", id, got.status, got.body)
		}
		if got := f.buy(id, "pigment", "X-Via", strings.ToUpper(token)); got.status != http.StatusForbidden {
			t.Errorf("%s: %d %s", id, got.status, got.body)
		}
	}
	if f.runs("pigment") != 0 {
		t.Errorf("%d runs of a loop", f.runs("pigment"))
	}
}

// A server reads an operation and resets the connection. A repeatable operation is
// retried, and its caller gets a success. One that is not repeatable is dispatched
// once, also without an idempotency key, and its caller gets run state unknown: no
// instance on the path retries it, whether it is forwarded or not.
func TestOnlyRepeatableOperationsAreRetried(t *testing.T) {
	f := startFleet(t)
	for _, id := range []string{"fraser-a-1-entry-1", "fraser-a-2-entry-1"} {
		for _, c := range []struct {
			operation string
			status    int
			sent      int64
		}{{"read", http.StatusOK, 2}, {"buy", http.StatusBadGateway, 1}} {
			before := f.plain().Received()
			f.plain().SetFaults(plain.Faults{ResetAfterRead: 1})
			got := f.send(id, "/v1/services/guild-desk/operations/"+c.operation, `{"id":"`+id+`"}`)
			if got.status != c.status || c.status != http.StatusOK && got.Run != "unknown" {
				t.Errorf("%s through %s: %d %s", c.operation, id, got.status, got.body)
			}
			if sent := f.plain().Received() - before; sent != c.sent {
				t.Errorf("%s through %s: sent %d times", c.operation, id, sent)
			}
		}
	}
}
