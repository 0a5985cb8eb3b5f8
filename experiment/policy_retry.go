package experiment

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/basilroute/basilroute/coordination/retry"
	"github.com/basilroute/basilroute/coordination/routing"
	"github.com/basilroute/basilroute/protocol/refusal"
	"github.com/basilroute/basilroute/service"
	"github.com/basilroute/basilroute/state/servers"
)

func policyExperiments() []Experiment {
	var out []Experiment
	for i, d := range deployments() {
		name := []string{"policy-recall", "policy-guild"}[i]
		out = append(out, Experiment{Name: name, Title: "Routing and admission: " + d.name, Run: ComparePolicies(d)})
	}
	return append(out, Experiment{Name: "retries", Title: "Retries while half of the backend servers fail", Run: retries})
}

const (
	retryServers         = 20
	retryRequests        = 20000
	retryRequestInterval = 10 * time.Millisecond
)

// retryCase is a combination of a retry policy and a failure.
type retryCase struct {
	failure string
	broken  func(server int, rng *rand.Rand) bool
	policy  string
	budget  bool
	eject   bool
}

func retryCases() []retryCase {
	half := func(server int, _ *rand.Rand) bool { return server%2 == 0 }
	any := func(_ int, rng *rand.Rand) bool { return rng.IntN(2) == 0 }
	return []retryCase{
		{"half of the servers", half, "basilroute", true, true},
		{"half of the servers", half, "budget only", true, false},
		{"half of the servers", half, "three attempts", false, false},
		{"half of the requests", any, "basilroute", true, true},
		{"half of the requests", any, "three attempts", false, false},
	}
}

// retries measures how much retries add to the load of the servers.
func retries(seed uint64) (Table, error) {
	t := Table{Columns: []string{"what fails", "policy", "sent per request", "answered"}}
	for _, c := range retryCases() {
		sent, answered := c.run(rand.New(rand.NewPCG(seed, 2)))
		amplification := float64(sent) / retryRequests
		t.Rows = append(t.Rows, []string{
			c.failure, c.policy, fmt.Sprintf("%.3f", amplification), fmt.Sprintf("%.2f %%", 100*float64(answered)/retryRequests),
		})
		if c.policy == "basilroute" {
			t.Notes = append(t.Notes, fmt.Sprintf("%s: amplification %.3f (goal 1.1: %s).", c.failure, amplification, goalResult(amplification <= 1.1)))
		}
	}
	return t, nil
}

func (c retryCase) run(rng *rand.Rand) (sent, answered int) {
	svc := &service.Service{Name: "model", Retry: service.Retry{Budget: service.DefaultRetryBudget, Attempts: service.DefaultRetryAttempts}}
	table := retryTable()
	budget := retry.NewBudget()
	for n := range retryRequests {
		now := time.Unix(1_000_000, 0).Add(time.Duration(n) * retryRequestInterval)
		budget.RecordRequest(svc)
		exclude := make(map[string]bool)
		for attempt := 1; ; attempt++ {
			list := table.Entries(svc.Name)
			i := routing.ChooseServer(&routing.Request{Service: svc, Exclude: exclude}, list, now, rng)
			sent++
			if !c.broken(i, rng) {
				routing.RecordResponse(list[i], 0, 0, time.Second)
				answered++
				break
			}
			if c.eject {
				routing.RecordFailure(table, list[i], now)
			}
			exclude[list[i].View().ID] = true
			_, ok := budget.Take(svc, refusal.CodeBackendFailed, attempt, time.Minute, rng)
			if attempt >= service.DefaultRetryAttempts || (c.budget && !ok) {
				break
			}
		}
	}
	return sent, answered
}

func retryTable() *servers.Table {
	table := servers.New()
	var list []servers.Identity
	for i := range retryServers {
		list = append(list, servers.Identity{ID: fmt.Sprintf("s%02d", i), Service: "model"})
	}
	table.Replace(list, time.Unix(0, 0))
	for _, s := range list {
		table.Report("model", s.ID, servers.Load{At: time.Unix(1_000_000, 0), BootID: "boot"})
	}
	return table
}
