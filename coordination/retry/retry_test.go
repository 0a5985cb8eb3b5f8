package retry

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/basilroute/basilroute/protocol/refusal"
	"github.com/basilroute/basilroute/service"
)

// Half of the attempts fail on backend servers. Retries stay within a tenth of
// the requests, once there were a hundred: the servers that still work do not
// drown in what the others failed.
func TestRetriesStayWithinTheBudget(t *testing.T) {
	svc := &service.Service{Name: "model", Retry: service.Retry{Budget: 0.1, Attempts: 3}}
	budget, rng := NewBudget(), rand.New(rand.NewPCG(1, 1))
	retries := 0
	for n := 1; n <= 5000; n++ {
		budget.RecordRequest(svc)
		for attempt := 1; rng.IntN(2) == 0; attempt++ {
			if _, ok := budget.Take(svc, refusal.CodeBackendFailed, attempt, time.Minute, rng); !ok {
				break
			}
			retries++
		}
		if float64(retries) > max(maxCredit, 0.1*float64(n))+1e-9 {
			t.Fatalf("%d retries of %d requests", retries, n)
		}
	}
}

// A request whose deadline is near, that used up its attempts, that may have run
// and may not be repeated, or that is refused for good is not sent again.
func TestWhatIsNotRetried(t *testing.T) {
	svc := &service.Service{Name: "model", Retry: service.Retry{Budget: 0.1, Attempts: 3}}
	budget, rng := NewBudget(), rand.New(rand.NewPCG(1, 1))
	if _, ok := budget.Take(svc, refusal.CodeBackendFailed, 3, time.Minute, rng); ok {
		t.Error("a fourth attempt")
	}
	if _, ok := budget.Take(svc, refusal.CodeOverloaded, 1, 0, rng); ok {
		t.Error("an attempt after the deadline")
	}
	unknown := refusal.New(refusal.CodeBackendFailed, "").WithRun(refusal.Unknown)
	for _, c := range []struct {
		refused    *refusal.Refusal
		repeatable bool
		want       bool
	}{
		{unknown, false, false},
		{unknown, true, true},
		{unknown.WithRun(refusal.NotRun), false, true},
		{unknown.WithRun(refusal.Ran), true, false},
		{refusal.New(refusal.CodeQuarantined, ""), true, false},
		{refusal.New(refusal.CodeRateLimited, ""), true, false},
	} {
		if got := Retryable(c.refused, c.repeatable); got != c.want {
			t.Errorf("%v, repeatable %t: retried %t", c.refused, c.repeatable, got)
		}
	}
}
