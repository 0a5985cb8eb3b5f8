package retry

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/basilroute/basilroute/protocol/refusal"
	"github.com/basilroute/basilroute/service"
)

// Guards against retries that overload the remaining servers. Half of the attempts fail
// on backend servers; from a hundred requests on, retries have to stay within a tenth of
// the requests.
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

// A request must not be retried if its deadline has passed, its attempts are used up, it may
// have run and may not be repeated, or it was refused for good.
func TestWhatIsNotRetried(t *testing.T) {
	svc := &service.Service{Name: "model", Retry: service.Retry{Budget: 0.1, Attempts: 3}}
	budget, rng := NewBudget(), rand.New(rand.NewPCG(1, 1))
	if _, ok := budget.Take(svc, refusal.CodeBackendFailed, 3, time.Minute, rng); ok {
		t.Error("a fourth attempt was allowed, the maximum is 3")
	}
	if _, ok := budget.Take(svc, refusal.CodeOverloaded, 1, 0, rng); ok {
		t.Error("an attempt after the deadline was allowed")
	}
	unknown := refusal.New(refusal.CodeBackendFailed, "").WithRunState(refusal.RunUnknown)
	for _, c := range []struct {
		refused    *refusal.Refusal
		repeatable bool
		want       bool
	}{
		{unknown, false, false},
		{unknown, true, true},
		{unknown.WithRunState(refusal.NotRun), false, true},
		{unknown.WithRunState(refusal.Ran), true, false},
		{refusal.New(refusal.CodeQuarantined, ""), true, false},
		{refusal.New(refusal.CodeRateLimited, ""), true, false},
	} {
		if got := Retryable(c.refused, c.repeatable); got != c.want {
			t.Errorf("%v, repeatable %t: retried %t", c.refused, c.repeatable, got)
		}
	}
}
