package dispatch

import (
	"context"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"github.com/basilroute/basilroute/coordination/quarantine"
	"github.com/basilroute/basilroute/coordination/retry"
	"github.com/basilroute/basilroute/coordination/routing"
	"github.com/basilroute/basilroute/protocol/frame"
	"github.com/basilroute/basilroute/protocol/refusal"
	"github.com/basilroute/basilroute/service"
)

// peers is a fleet of far instances, each with its scripted refusals.
type peers struct {
	domains []routing.Domain
	script  map[string][]error // by address; then it answers
	called  []string
	answer  func(sink Sink) error
}

func (p *peers) Local(string) routing.Domain   { return routing.Domain{Name: "own", Region: "suva-a"} }
func (p *peers) Peers(string) []routing.Domain { return p.domains }

func (p *peers) Forward(_ context.Context, address string, _ *Work, sink Sink) error {
	p.called = append(p.called, address)
	if left := p.script[address]; len(left) > 0 {
		p.script[address] = left[1:]
		return left[0]
	}
	return p.answer(sink)
}

type discard struct{}

func (discard) Frame(string, *frame.Frame) error { return nil }
func (discard) Answer(string, []byte) error      { return nil }

func frontOf(p *peers) *Front {
	return &Front{
		Region: "suva-a", Domain: "own", Retries: retry.NewBudget(), Quarantine: quarantine.New(),
		Domains: p, Router: routing.NewRouter("suva-a", "own"), Forwarder: p, Log: slog.New(slog.DiscardHandler),
	}
}

func farAt(domain, address string, wait time.Duration) routing.Domain {
	return routing.Domain{
		Name: domain, Region: "labasa-a", PeerAddress: address, PeerID: address, Servers: 1,
		Interactive: routing.Queue{AcceptsRemote: true, FreeSlots: 100, ExpectedWait: wait},
	}
}

var modelService = &service.Service{Name: "notice-writer", Retry: service.Retry{Budget: 0.1, Attempts: 3}}

func question() *Work {
	return &Work{
		Account: "grocers", Service: "notice-writer", Class: service.ClassInteractive,
		Deadline: time.Now().Add(time.Minute), MaxWait: time.Second, Generation: &Generation{Prompt: "q", MaxTokens: 1},
	}
}

func ok(sink Sink) error { return sink.Frame("s", &frame.Frame{Tokens: 1, Finish: frame.FinishStop}) }

// The nearest domain's queue refuses. The request goes to the other domain at
// once, not to another instance of the same one, and its caller gets the answer.
func TestRefusedDomainIsNotAskedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		full := refusal.New(refusal.CodeOverloaded, "full").After(time.Second)
		p := &peers{
			domains: []routing.Domain{farAt("a", "a1", 0), farAt("a", "a2", 0), farAt("b", "b1", time.Second)},
			script:  map[string][]error{"a1": {full}, "a2": {full}},
			answer:  ok,
		}
		began := time.Now()
		err := frontOf(p).attempts(t.Context(), modelService, question(), &usage{Sink: discard{}})
		if err != nil || len(p.called) != 2 || p.called[1] != "b1" {
			t.Errorf("called %v, then %v", p.called, err)
		}
		if waited := time.Since(began); waited != 0 {
			t.Errorf("went elsewhere after %s", waited)
		}
	})
}

// Every domain's queue refuses. The caller hears so at once, with the time to
// come back that a queue named.
func TestAllQueuesFullIsSaidAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		full := refusal.New(refusal.CodeOverloaded, "full").After(3 * time.Second)
		p := &peers{domains: []routing.Domain{farAt("a", "a1", 0)}, script: map[string][]error{"a1": {full, full, full}}}
		began := time.Now()
		err := frontOf(p).attempts(t.Context(), modelService, question(), &usage{Sink: discard{}})
		r := refusal.From(err)
		if r.Code != refusal.CodeOverloaded || r.Run != refusal.NotRun || r.RetryAfter != 3*time.Second || time.Since(began) != 0 {
			t.Errorf("%v, come back after %s, said after %s", r, r.RetryAfter, time.Since(began))
		}
	})
}

// The first attempt may have run, the second did not. The refusal must not say
// that the request did not run: its caller would send a request again that ran.
func TestNotRunHoldsForAllAttempts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		broke := refusal.New(refusal.CodeBackendFailed, "broke").WithRun(refusal.Unknown)
		p := &peers{
			domains: []routing.Domain{farAt("a", "a1", 0)},
			script:  map[string][]error{"a1": {broke, refusal.New(refusal.CodeInvalid, "no")}},
		}
		err := frontOf(p).attempts(t.Context(), modelService, question(), &usage{Sink: discard{}})
		if r := refusal.From(err); r.Code != refusal.CodeInvalid || r.Run != refusal.Unknown {
			t.Errorf("refused with %v", r)
		}
	})
}

// whole gathers an answer of which nothing reaches the caller before its end.
type whole struct {
	discard
	tokens int
}

func (w *whole) Frame(_ string, f *frame.Frame) error {
	w.tokens += f.Tokens
	return nil
}

func (w *whole) Restart() bool {
	w.tokens = 0
	return true
}

// A server dies after part of an answer. A caller who takes the answer as a whole
// has seen none of it and gets all of it from another server; one who streams has,
// and is told that the answer is not whole.
func TestAnswerBeginsAnewOnlyWhenNoneOfItWasSeen(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		attempt := 0
		breaks := func(sink Sink) error {
			attempt++
			if err := sink.Frame("s", &frame.Frame{Tokens: 1}); err != nil {
				return err
			}
			if attempt == 1 {
				return refusal.New(refusal.CodeBackendFailed, "broke").WithRun(refusal.Unknown)
			}
			return ok(sink)
		}
		p := &peers{domains: []routing.Domain{farAt("a", "a1", 0)}, answer: breaks}
		seen := &whole{}
		err := frontOf(p).attempts(t.Context(), modelService, question(), &usage{Sink: seen})
		if err != nil || seen.tokens != 2 {
			t.Errorf("whole answer: %d of 2 tokens, %v", seen.tokens, err)
		}
		attempt = 0
		err = frontOf(p).attempts(t.Context(), modelService, question(), &usage{Sink: discard{}})
		if r := refusal.From(err); r.Run != refusal.Ran || attempt != 1 {
			t.Errorf("stream: %d attempts, %v", attempt, err)
		}
	})
}

// The caller goes away while the request waits for its next attempt. Nothing is
// sent any more.
func TestBackoffEndsWithTheCaller(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, goAway := context.WithCancel(t.Context())
		p := &peers{domains: []routing.Domain{farAt("a", "a1", 0)}, answer: ok}
		p.script = map[string][]error{"a1": {refusal.New(refusal.CodeBackendFailed, "down")}}
		f := frontOf(p)
		done := make(chan error)
		go func() { done <- f.attempts(ctx, modelService, question(), &usage{Sink: discard{}}) }()
		synctest.Wait()
		goAway()
		if err := <-done; len(p.called) != 1 || refusal.From(err).Run != refusal.NotRun {
			t.Errorf("called %d times, %v", len(p.called), err)
		}
	})
}
