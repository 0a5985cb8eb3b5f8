package httproute

import (
	"context"
	"crypto/sha256"
	"log/slog"
	"net/http/httptest"
	"runtime"
	"testing"
	"testing/synctest"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/basilroute/basilroute/coordination/placement"
	"github.com/basilroute/basilroute/coordination/quarantine"
	"github.com/basilroute/basilroute/state/backends"
	"github.com/basilroute/basilroute/state/routes"
	"github.com/basilroute/basilroute/transport/backendhttp"
)

// waitFixture is a Front whose only slot is taken.
type waitFixture struct {
	*Front
	pool  *placement.Pool
	taken *placement.Placement
}

func newWaitFixture(t *testing.T) *waitFixture {
	t.Helper()
	log, metrics := slog.New(slog.DiscardHandler), NewMetrics(prometheus.NewRegistry())
	local := &LocalDispatcher{
		Codec: testCodec{}, Backends: backends.New(), Log: log, Metrics: metrics, Client: backendhttp.New(backendhttp.Settings{}),
		Parts:   quarantine.NewParts("i", func(uint64) bool { return false }),
		Waiting: &Waiting{Metrics: metrics, MaxBytes: 1 << 20},
	}
	never := func() bool { return false }
	f := &waitFixture{pool: local.Pool("svc"), Front: &Front{
		Region: "r", Codec: testCodec{}, Routes: &routes.Table{}, Remotes: noRemotes{}, Local: local, Log: log, Metrics: metrics,
		Starting: never, Stopping: never, Leaving: never, TimeToShutdown: func() time.Duration { return 0 },
	}}
	f.configure(1)
	server := backends.Entry{Server: backends.Server{ID: "s", Address: "127.0.0.1:1", Slots: 1}, Incarnation: 1}
	f.pool.Update(placement.Settings{Engine: true, Slots: 1, Precedence: f.Routes.Current().Precedence("svc")}, []backends.Entry{server})
	f.taken = f.pool.Place(&f.request().work, time.Now()).Placement
	if f.taken == nil {
		t.Fatal("the slot is not free")
	}
	return f
}

// configure puts a configuration in force whose "chat" route is urgent and whose "draft" route is not.
func (f *waitFixture) configure(version int64, homes ...string) {
	urgent, patient := route("chat", routes.KindStreaming, 1, false), route("draft", routes.KindStreaming, 1, false)
	urgent.Objective = 500 * time.Millisecond
	patient.Objective, patient.Timeout, patient.Priority = 2500*time.Millisecond, 15*time.Second, 2
	f.Routes.Offer(&routes.Config{
		Version: version, Services: map[string]*routes.Service{"svc": {Name: "svc", Engine: &routes.Engine{Slots: 1}}},
		Accounts: map[string]*routes.Account{"grocers": {Name: "grocers", Priority: -1, HomeRegions: homes}},
		Keys:     map[routes.KeyHash]string{sha256.Sum256([]byte(testKey)): "grocers"},
		Routes:   []routes.Route{urgent, patient},
	})
}

// request returns a request of the patient route.
func (f *waitFixture) request() *request {
	config := f.Routes.Current()
	r := &request{config: config, target: "/draft/1", host: testHost, arrived: time.Now(), service: "svc", Call: Call{Key: testKey}}
	r.route, r.account = config.Match(r.host, r.target), config.Authenticate(testKey)
	f.prepare(r)
	return r
}

// waitResult is what became of a request.
type waitResult struct {
	choice placement.Choice
	remote *Remote
	failed *failure
	took   time.Duration
}

// start lets a request wait and returns when it waits.
func (f *waitFixture) start(ctx context.Context, r *request) <-chan waitResult {
	out := make(chan waitResult, 1)
	go func() {
		began := time.Now()
		choice, remote, failed := f.chooseOrWait(ctx, r, began)
		out <- waitResult{choice, remote, failed, time.Since(began)}
	}()
	synctest.Wait()
	return out
}

func (f *waitFixture) freeSlot() {
	f.pool.Done(f.taken, placement.OutcomeServed, time.Now())
	f.Local.Waiting.Wake("svc")
}

// running returns how many requests hold a slot.
func (f *waitFixture) running() int { return f.pool.Summarize(time.Now()).Running }

// playWait runs a test in virtual time with the periodic wake-ups.
func playWait(t *testing.T, test func(t *testing.T, f *waitFixture)) {
	synctest.Test(t, func(t *testing.T) {
		f := newWaitFixture(t)
		go f.Local.Waiting.Run(t.Context())
		test(t, f)
	})
}

func (w waitResult) expectRefused(t *testing.T, want reason) {
	t.Helper()
	if w.failed == nil || w.failed.reason != want || w.failed.run != runNotRun || w.choice.Placement != nil || w.remote != nil {
		t.Errorf("placed %v, remote %v, failure %v, want %q", w.choice.Placement, w.remote, w.failed, want)
	}
}

// Guards against a freed slot that stays empty until the next load report.
func TestWaitingRequestGetsTheFreedSlot(t *testing.T) {
	playWait(t, func(t *testing.T, f *waitFixture) {
		r := f.request()
		result := f.start(t.Context(), r)
		const held = 10*wakeInterval + wakeInterval/2
		time.Sleep(held)
		f.freeSlot()
		if got := <-result; got.failed != nil || got.took != held {
			t.Errorf("waited %v, %v", got.took, got.failed)
		}
		const bound = 10
		if len(r.trace) > bound {
			t.Errorf("the trace has %d steps", len(r.trace))
		}
	})
}

// Guards against a slot that goes to a request whose caller has left.
func TestCallerLeavesWhileItWaits(t *testing.T) {
	playWait(t, func(t *testing.T, f *waitFixture) {
		ctx, leave := context.WithCancel(t.Context())
		result := f.start(ctx, f.request())
		leave()
		(<-result).expectRefused(t, reasonDeadline)
		f.freeSlot()
		if f.Local.Waiting.Len("svc") != 0 || f.running() != 0 {
			t.Errorf("%d wait, %d run", f.Local.Waiting.Len("svc"), f.running())
		}
	})
}

// Guards against a wait beyond the deadline.
func TestDeadlinePassesWhileARequestWaits(t *testing.T) {
	playWait(t, func(t *testing.T, f *waitFixture) {
		const limit = 50 * time.Millisecond
		ctx, cancel := context.WithTimeout(t.Context(), limit)
		defer cancel()
		got := <-f.start(ctx, f.request())
		got.expectRefused(t, reasonDeadline)
		if got.took != limit || f.Local.Waiting.Len("svc") != 0 {
			t.Errorf("took %v, %d wait", got.took, f.Local.Waiting.Len("svc"))
		}
	})
}

// Guards against requests that wait at an instance that leaves, also those that come to wait just then,
// and against refusals that share one failure, to which each request adds its own attempts.
func TestInstanceLeavesWhileRequestsWait(t *testing.T) {
	playWait(t, func(t *testing.T, f *waitFixture) {
		first, second := f.start(t.Context(), f.request()), f.start(t.Context(), f.request())
		f.Local.Waiting.Refuse()
		a, b, c := <-first, <-second, <-f.start(t.Context(), f.request())
		for _, got := range []waitResult{a, b, c} {
			got.expectRefused(t, reasonStopping)
			if got.took != 0 {
				t.Errorf("refused after %v", got.took)
			}
		}
		if a.failed == b.failed {
			t.Error("two requests share a failure")
		}
	})
}

// Guards against a request that runs outside of the regions that are its account's homes by now.
func TestHomesMoveWhileARequestWaits(t *testing.T) {
	const home = "away"
	for _, hasRoom := range []bool{false, true} {
		playWait(t, func(t *testing.T, f *waitFixture) {
			result := f.start(t.Context(), f.request())
			if hasRoom {
				f.Remotes = fakeRemotes{{Region: home, Servers: 1, FreeSlots: 5, ReportedAt: time.Now()}}
			}
			f.configure(2, home)
			f.freeSlot()
			got := <-result
			if !hasRoom {
				got.expectRefused(t, reasonNoServer)
			} else if got.remote == nil || got.remote.Region != home {
				t.Errorf("placed %v, failure %v", got.choice.Placement, got.failed)
			}
			if f.running() != 0 {
				t.Error("it runs here")
			}
		})
	}
}

// Guards against a request that runs although its account's key has been revoked.
func TestKeyIsRevokedWhileARequestWaits(t *testing.T) {
	playWait(t, func(t *testing.T, f *waitFixture) {
		r := f.request()
		r.Key = "revoked"
		result := f.start(t.Context(), r)
		f.configure(2)
		f.freeSlot()
		(<-result).expectRefused(t, reasonKey)
	})
}

// Guards against requests that are held to their deadlines although the service has lost its servers.
func TestServersAreLostWhileRequestsWait(t *testing.T) {
	playWait(t, func(t *testing.T, f *waitFixture) {
		results := []<-chan waitResult{f.start(t.Context(), f.request()), f.start(t.Context(), f.request())}
		f.pool.Update(placement.Settings{Engine: true, Slots: 1, Precedence: f.Routes.Current().Precedence("svc")}, nil)
		for _, result := range results {
			got := <-result
			got.expectRefused(t, reasonNoServer)
			if got.took > wakeInterval {
				t.Errorf("refused after %v", got.took)
			}
		}
	})
}

// Guards against a slot that stays taken by a request that was placed while its caller left.
func TestRequestPlacedWhileItsCallerLeavesGivesItsSlotBack(t *testing.T) {
	for range 20 { // the caller may be seen to leave before or after the placement
		f := newWaitFixture(t)
		ctx, leave := context.WithCancel(t.Context())
		r := f.request()
		ended := make(chan *failure)
		go func() {
			_, failed := f.attempt(ctx, r, newDelivery(httptest.NewRecorder(), nil, r))
			ended <- failed
		}()
		for f.Local.Waiting.Len("svc") == 0 {
			runtime.Gosched()
		}
		queue := f.Local.Waiting.queue("svc")
		queue.mu.Lock()
		f.pool.Done(f.taken, placement.OutcomeServed, time.Now())
		leave()
		placed := queue.startOne(time.Now())
		queue.mu.Unlock()
		failed := <-ended
		if !placed || failed == nil || failed.run != runNotRun || f.running() != 0 {
			t.Fatalf("placed %v, failure %v, %d run", placed, failed, f.running())
		}
	}
}
