package httproute

import (
	"context"
	"crypto/sha256"
	"net/http"
	"runtime"
	"testing"
	"time"

	"github.com/basilroute/basilroute/coordination/placement"
	"github.com/basilroute/basilroute/state/backends"
	"github.com/basilroute/basilroute/state/routes"
)

// Guards against an operation that a peer sends to a server after the instance that forwarded it has ended or given it up:
// it waited for a slot, and no server had it.
func TestForwardedOperationLeavesTheQueueWithItsInstance(t *testing.T) {
	server := startFakeServer(t, answer)
	p := newPeerPath(t, server)
	pool := p.far.Local.Pool("svc")
	p.far.Local.Waiting = &Waiting{Metrics: p.far.Metrics, MaxBytes: 1 << 20}
	offerUrgentOverOrders(p.far.Routes)
	entry := backends.Entry{Server: backends.Server{ID: "s0", Address: server.address, Slots: 1}, Incarnation: 1}
	pool.Update(placement.Settings{Engine: true, Slots: 1, Precedence: p.far.Routes.Current().Precedence("svc")}, []backends.Entry{entry})
	now := time.Now()
	taken := pool.Place(&placement.Request{Urgency: 5, Arrived: now, Deadline: now.Add(time.Minute)}, now).Placement
	if taken == nil {
		t.Fatal("the slot is not free")
	}
	inbound := p.addPeer(t, nil)
	ctx, end := context.WithCancel(t.Context())
	defer end()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, inbound.URL+"/order/1", http.NoBody)
	if err != nil {
		t.Fatal(err)
	}
	request.Header.Set("Id", "id-1")
	request.Header.Set(headerForward, `{"service":"svc","left_ms":60000,"objective_ms":20000,"detached":true,"urgency":5,"ranked":true}`)
	go func() {
		for p.far.Local.Waiting.Len("svc") == 0 {
			runtime.Gosched()
		}
		end()
	}()
	if resp, err := http.DefaultTransport.RoundTrip(request); err == nil {
		_ = resp.Body.Close()
		t.Fatal("the instance that ended got a response")
	}
	for limit := time.Now().Add(time.Second); p.far.Local.Waiting.Len("svc") > 0 && time.Now().Before(limit); {
		time.Sleep(time.Millisecond)
	}
	pool.Done(taken, placement.OutcomeServed, time.Now())
	p.far.Local.Waiting.Wake("svc")
	inbound.Close()
	if n := len(server.requests()); n != 0 {
		t.Errorf("sent %d times", n)
	}
}

// offerUrgentOverOrders puts a configuration in force in which streams take precedence over the operations of a service.
func offerUrgentOverOrders(table *routes.Table) {
	urgent, patient, order := route("ask", routes.KindStreaming, 1, false), route("advise", routes.KindStreaming, 1, false), route("order", routes.KindNonIdempotent, 1, false)
	urgent.Objective, patient.Objective, patient.Priority, order.Priority = 500*time.Millisecond, 2500*time.Millisecond, 2, 2
	table.Offer(&routes.Config{
		Version: 2, Services: map[string]*routes.Service{"svc": {Name: "svc", Engine: &routes.Engine{Slots: 1}}},
		Accounts: map[string]*routes.Account{"grocers": {Name: "grocers", Priority: -1}},
		Keys:     map[routes.KeyHash]string{sha256.Sum256([]byte(testKey)): "grocers"},
		Routes:   []routes.Route{urgent, patient, order},
	})
}
