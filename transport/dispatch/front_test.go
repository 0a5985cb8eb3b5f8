package dispatch

import (
	"context"
	"log/slog"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/uuid"

	"github.com/basilroute/basilroute/coordination/once"
	"github.com/basilroute/basilroute/coordination/quarantine"
	"github.com/basilroute/basilroute/coordination/retry"
	"github.com/basilroute/basilroute/coordination/routing"
	"github.com/basilroute/basilroute/protocol/frame"
	"github.com/basilroute/basilroute/protocol/refusal"
	"github.com/basilroute/basilroute/service"
	"github.com/basilroute/basilroute/state/servers"
	"github.com/basilroute/basilroute/transport/claim"
	"github.com/basilroute/basilroute/transport/platform"
)

// fakePeerSet is a fleet of remote instances that refuse by a script.
type fakePeerSet struct {
	domains []routing.Domain
	script  map[string][]error // by address; when it is used up, answer is called
	called  []string
	named   []string // failure domains that the forwarded work named
	answer  func(sink Sink) error

	onForward func() // may be nil
}

func (p *fakePeerSet) Local(string) routing.Domain {
	return routing.Domain{Name: "own", Region: "suva-a"}
}
func (p *fakePeerSet) Peers(string) []routing.Domain { return p.domains }

func (p *fakePeerSet) Forward(_ context.Context, address string, w *Work, sink Sink) error {
	p.called = append(p.called, address)
	if p.onForward != nil {
		p.onForward()
	}
	p.named = append(p.named, w.domain)
	if left := p.script[address]; len(left) > 0 {
		p.script[address] = left[1:]
		return left[0]
	}
	return p.answer(sink)
}

type discardSink struct{}

func (discardSink) Frame(string, *frame.Frame) error { return nil }
func (discardSink) Answer(string, []byte) error      { return nil }

func newTestFront(p *fakePeerSet) *Front {
	return &Front{
		Region: "suva-a", Domain: "own", Retries: retry.NewBudget(), Quarantine: quarantine.New(),
		Domains: p, Router: routing.NewRouter("suva-a", "own"), Forwarder: p, Log: slog.New(slog.DiscardHandler),
		Local: &LocalDispatcher{Servers: servers.New()},
	}
}

func remoteDomain(domain, address string, wait time.Duration) routing.Domain {
	return routing.Domain{
		Name: domain, Region: "labasa-a", PeerAddress: address, PeerID: address, Servers: 1,
		Interactive: routing.Queue{AcceptsRemote: true, FreeSlots: 100, ExpectedWait: wait},
	}
}

var modelService = &service.Service{Name: "notice-writer", Retry: service.Retry{Budget: 0.1, Attempts: 3}}

var ledgerService = &service.Service{
	Name: "ledger", Retry: service.Retry{Budget: 0.1, Attempts: 3}, Operations: map[string]service.Operation{"order": {}},
}

func testWork() *Work {
	return &Work{
		Account: "grocers", Service: "notice-writer", Class: service.ClassInteractive,
		Deadline: time.Now().Add(time.Minute), MaxWait: time.Second, Generation: &Generation{Prompt: "q", MaxTokens: 1},
	}
}

func answerOK(sink Sink) error {
	return sink.Frame("s", &frame.Frame{Tokens: 1, Finish: frame.FinishStop})
}

// The nearest domain's queue refuses. The request goes to the other domain at once, not to
// another instance of the same one, and its caller gets the answer.
func TestRefusedDomainIsNotRetried(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		full := refusal.New(refusal.CodeOverloaded, "full").WithRetryAfter(time.Second)
		p := &fakePeerSet{
			domains: []routing.Domain{remoteDomain("a", "a1", 0), remoteDomain("a", "a2", 0), remoteDomain("b", "b1", time.Second)},
			script:  map[string][]error{"a1": {full}, "a2": {full}},
			answer:  answerOK,
		}
		began := time.Now()
		err := newTestFront(p).runAttempts(t.Context(), modelService, testWork(), &usage{Sink: discardSink{}})
		if err != nil || len(p.called) != 2 || p.called[1] != "b1" {
			t.Errorf("called %v, then %v", p.called, err)
		}
		if !slices.Equal(p.named, []string{"a", "b"}) {
			t.Errorf("forwarded to the domains %v", p.named)
		}
		if waited := time.Since(began); waited != 0 {
			t.Errorf("retried at the other domain after %s", waited)
		}
	})
}

// Guards against an order with an idempotency key that is answered as of unknown outcome because the link to one peer is cut, while
// another peer can say, or decide by the claim, whether it runs; and against orders without a claim that run twice.
func TestClaimedOrderIsTriedAtAnotherPeer(t *testing.T) {
	duplicate := refusal.New(refusal.CodeConflict, "duplicate").WithRunState(refusal.RunUnknown)
	lost := refusal.New(refusal.CodePeerUnreachable, "cut").WithRunState(refusal.RunUnknown)
	failed := refusal.New(refusal.CodeBackendFailed, "the server broke off").WithRunState(refusal.RunUnknown)
	served := func(sink Sink) error { return sink.Answer("s", nil) }
	for _, tc := range []struct {
		name, key    string
		first, again error
		calls        int
		code         refusal.Code // empty: served
	}{
		{"claimed at the first peer", "key", lost, duplicate, 2, refusal.CodeConflict},
		{"not claimed yet", "key", lost, nil, 2, ""},
		{"without a key", "", lost, nil, 1, refusal.CodePeerUnreachable},
		{"lost at a server", "key", failed, nil, 1, refusal.CodeBackendFailed},
	} {
		synctest.Test(t, func(t *testing.T) {
			p := &fakePeerSet{
				domains: []routing.Domain{remoteDomain("a", "a1", 0), remoteDomain("a", "a2", 0)},
				script:  map[string][]error{"a1": {tc.first}, "a2": {tc.first}},
				answer:  served,
			}
			p.onForward = func() {
				if other := map[string]string{"a1": "a2", "a2": "a1"}[p.called[0]]; tc.again != nil {
					p.script[other] = []error{tc.again}
				} else {
					delete(p.script, other)
				}
			}
			w := testWork()
			w.Generation, w.Operation = nil, &Operation{Name: "order", IdempotencyKey: tc.key}
			err := newTestFront(p).runAttempts(t.Context(), ledgerService, w, &usage{Sink: discardSink{}})
			if len(p.called) != tc.calls {
				t.Errorf("%s: sent to %v", tc.name, p.called)
			}
			switch r := refusal.FromError(err); {
			case tc.code == "":
				if err != nil {
					t.Errorf("%s: %v", tc.name, err)
				}
			case r.Code != tc.code || r.RunState != refusal.RunUnknown:
				t.Errorf("%s: %v, %v", tc.name, r, r.RunState)
			}
		})
	}
}

// claimedStore is a store in which one request has claimed every key.
type claimedStore struct {
	claim.Store
	value []byte
}

func (s claimedStore) Get(_ context.Context, key string) (platform.KeyValue, error) {
	return platform.KeyValue{Key: key, Value: s.value}, nil
}

// Guards against an order whose claim stands and that is answered as of unknown outcome, because the only peer known to have a server
// cannot be reached.
func TestClaimedOrderWhoseOnlyPeerIsLostIsADuplicate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		lost := refusal.New(refusal.CodePeerUnreachable, "cut").WithRunState(refusal.RunUnknown)
		p := &fakePeerSet{domains: []routing.Domain{remoteDomain("a", "a1", 0)}, script: map[string][]error{"a1": {lost}}}
		f := newTestFront(p)
		standing := once.Claim{Hash: once.Hash("notice-writer", "order", nil)}
		f.Local.Claims = claim.New(t.Context(), claimedStore{value: standing.Encode()}, "own", f.Log)
		w := testWork()
		w.Generation, w.Operation = nil, &Operation{Name: "order", IdempotencyKey: uuid.Must(uuid.NewV7()).String()}
		r := refusal.FromError(f.runAttempts(t.Context(), ledgerService, w, &usage{Sink: discardSink{}}))
		if r.Code != refusal.CodeConflict || r.RunState != refusal.RunUnknown || len(p.called) != 1 {
			t.Errorf("%v, %v, sent to %v", r, r.RunState, p.called)
		}
	})
}

// Every domain's queue refuses. The caller is refused at once, with the retry time that a
// queue gave.
func TestAllQueuesFullIsRefusedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		full := refusal.New(refusal.CodeOverloaded, "full").WithRetryAfter(3 * time.Second)
		p := &fakePeerSet{domains: []routing.Domain{remoteDomain("a", "a1", 0)}, script: map[string][]error{"a1": {full, full, full}}}
		began := time.Now()
		err := newTestFront(p).runAttempts(t.Context(), modelService, testWork(), &usage{Sink: discardSink{}})
		r := refusal.FromError(err)
		if r.Code != refusal.CodeOverloaded || r.RunState != refusal.NotRun || r.RetryAfter != 3*time.Second || time.Since(began) != 0 {
			t.Errorf("%v, retry after %s, refused after %s", r, r.RetryAfter, time.Since(began))
		}
	})
}

// The first attempt may have run, the second did not. Guards against reporting the request
// as not run: its caller would resend a request that may have run.
func TestNotRunHoldsForAllAttempts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		broke := refusal.New(refusal.CodeBackendFailed, "broke").WithRunState(refusal.RunUnknown)
		p := &fakePeerSet{
			domains: []routing.Domain{remoteDomain("a", "a1", 0)},
			script:  map[string][]error{"a1": {broke, refusal.New(refusal.CodeInvalid, "no")}},
		}
		err := newTestFront(p).runAttempts(t.Context(), modelService, testWork(), &usage{Sink: discardSink{}})
		if r := refusal.FromError(err); r.Code != refusal.CodeInvalid || r.RunState != refusal.RunUnknown {
			t.Errorf("refused with %v", r)
		}
	})
}

// wholeSink buffers an answer of which nothing reaches the caller before its end.
type wholeSink struct {
	discardSink
	tokens int
}

func (w *wholeSink) Frame(_ string, f *frame.Frame) error {
	w.tokens += f.Tokens
	return nil
}

func (w *wholeSink) Restart() bool {
	w.tokens = 0
	return true
}

// A server fails after part of an answer. A caller that takes the answer as a whole has
// seen none of it and gets all of it from another server. A caller that streams has seen
// part of it, and is told that the answer is incomplete.
func TestRestartOnlyBeforeFirstFrameReachesCaller(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		attempt := 0
		breaks := func(sink Sink) error {
			attempt++
			if err := sink.Frame("s", &frame.Frame{Tokens: 1}); err != nil {
				return err
			}
			if attempt == 1 {
				return refusal.New(refusal.CodeBackendFailed, "broke").WithRunState(refusal.RunUnknown)
			}
			return answerOK(sink)
		}
		p := &fakePeerSet{domains: []routing.Domain{remoteDomain("a", "a1", 0)}, answer: breaks}
		seen := &wholeSink{}
		err := newTestFront(p).runAttempts(t.Context(), modelService, testWork(), &usage{Sink: seen})
		if err != nil || seen.tokens != 2 {
			t.Errorf("buffered answer: %d of 2 tokens, %v", seen.tokens, err)
		}
		attempt = 0
		err = newTestFront(p).runAttempts(t.Context(), modelService, testWork(), &usage{Sink: discardSink{}})
		if r := refusal.FromError(err); r.RunState != refusal.Ran || attempt != 1 {
			t.Errorf("stream: %d attempts, %v", attempt, err)
		}
	})
}

// The caller disconnects while the request waits for its next attempt. Nothing more is
// sent.
func TestBackoffEndsWithTheCaller(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, disconnect := context.WithCancel(t.Context())
		p := &fakePeerSet{domains: []routing.Domain{remoteDomain("a", "a1", 0)}, answer: answerOK}
		p.script = map[string][]error{"a1": {refusal.New(refusal.CodeBackendFailed, "down")}}
		f := newTestFront(p)
		done := make(chan error)
		go func() { done <- f.runAttempts(ctx, modelService, testWork(), &usage{Sink: discardSink{}}) }()
		synctest.Wait()
		disconnect()
		if err := <-done; len(p.called) != 1 || refusal.FromError(err).RunState != refusal.NotRun {
			t.Errorf("called %d times, %v", len(p.called), err)
		}
	})
}

// Guards against telling a caller that its request may have run when it was cancelled in a
// queue, for example because the instance stops.
func TestRequestCancelledInAQueueHasNotRun(t *testing.T) {
	leaving := refusal.New(refusal.CodeLeaving, "this instance stops").WithRunState(refusal.RunUnknown)
	for name, attempt := range map[string]*refusal.Refusal{
		"in a queue":  refusal.New(refusal.CodeDeadline, "the request ended while it waited"),
		"at a server": refusal.New(refusal.CodeBackendFailed, "broke").WithRunState(refusal.RunUnknown),
	} {
		ctx, cancel := context.WithCancelCause(t.Context())
		p := &fakePeerSet{domains: []routing.Domain{remoteDomain("a", "a1", 0)}}
		p.answer = func(Sink) error {
			cancel(leaving)
			return attempt
		}
		err := newTestFront(p).runAttempts(ctx, modelService, testWork(), &usage{Sink: discardSink{}})
		if r := refusal.FromError(err); r.Code != refusal.CodeLeaving || r.RunState != attempt.RunState {
			t.Errorf("%s: %v", name, err)
		}
	}
}

// Guards against blaming the deadline for a request whose caller has closed its connection.
func TestCallerThatLeavesIsNotOutOfTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for want, end := range map[refusal.Code]func() (context.Context, context.CancelFunc){
			refusal.CodeIncomplete: func() (context.Context, context.CancelFunc) { return context.WithCancel(t.Context()) },
			refusal.CodeDeadline:   func() (context.Context, context.CancelFunc) { return context.WithTimeout(t.Context(), time.Second) },
		} {
			ctx, leave := end()
			p := &fakePeerSet{domains: []routing.Domain{remoteDomain("a", "a1", 0)}}
			p.answer = func(Sink) error {
				if want == refusal.CodeIncomplete {
					leave()
				}
				<-ctx.Done()
				return refusal.New(refusal.CodeDeadline, "the request ended while it waited")
			}
			err := newTestFront(p).runAttempts(ctx, modelService, testWork(), &usage{Sink: discardSink{}})
			if r := refusal.FromError(err); r.Code != want || r.RunState != refusal.NotRun {
				t.Errorf("want %s: %v", want, err)
			}
			leave()
		}
	})
}
