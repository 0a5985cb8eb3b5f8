package experiment

import (
	"fmt"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/basilroute/basilroute/service"
)

// simDeployment is a model of one user's deployment.
type simDeployment struct {
	name              string
	policy            service.Policy
	regions           []string
	engines           []int   // by region
	interactive, bulk float64 // mean requests per second and engine
}

func (d simDeployment) service() *service.Service {
	return &service.Service{
		Name: "model", Type: service.TypeModel, Policy: d.policy,
		Classes: service.Classes{
			Interactive: service.ClassSettings{MaxWait: service.DefaultInteractiveWait, Deadline: service.DefaultInteractiveDeadline},
			Bulk: service.ClassSettings{MaxWait: service.DefaultBulkWait, Deadline: service.DefaultBulkDeadline,
				Floor: service.DefaultBulkFloor},
		},
		Spill:  service.Spill{Gain: service.DefaultSpillGain},
		Limits: service.Limits{Queue: service.DefaultQueue, Concurrency: service.DefaultConcurrency},
	}
}

func deployments() []simDeployment {
	return []simDeployment{
		{"Recall Desk", service.PolicyLatency, []string{"suva-a", "labasa-a", "lakeba-a"}, []int{5, 4, 3}, 3.5, 0.3},
		{"Guild", service.PolicyCost, []string{"fraser-a", "okanagan-a", "island-a"}, []int{4, 3, 3}, 3, 0.4},
	}
}

const offenderAccount = 3

// simScenario is the load and the fault of a run.
type simScenario struct {
	name       string
	offender   float64 // load of one account as a multiple of its usual load
	bulk       float64 // bulk load as a multiple of the usual bulk load
	lostRegion bool
}

func scenarios() []simScenario {
	return []simScenario{
		{"no bulk", 1, 0, false},
		{"daily peaks", 1, 1, false},
		{"bulk saturates", 1, 6, false},
		{"tenfold offender", 10, 1, false},
		{"region lost and back", 1, 1, true},
	}
}

type routeKind int

const (
	routeScore routeKind = iota
	routeRandom
	routeLeast
	routeRoundRobin
)

// simPolicy is a combination of a routing and a queueing policy.
type simPolicy struct {
	name  string
	route routeKind
	fifo  bool
}

func policies() []simPolicy {
	return []simPolicy{
		{"basilroute", routeScore, false},
		{"random", routeRandom, false},
		{"least in flight", routeLeast, false},
		{"round robin", routeRoundRobin, false},
		{"one FIFO", routeScore, true},
	}
}

// outcome holds the measurements of a run.
type outcome struct {
	p50, p99, bulk50, bulk99 time.Duration
	engineBusy               time.Duration
	recomputed               float64 // fraction of the computed prompt tokens
	spilled                  float64
	worstAccount             float64
	refusedWithinRate        float64
}

func (s *policySim) outcome() outcome {
	var o outcome
	o.p50, o.p99 = percentile(s.interactive, 0.5), percentile(s.interactive, 0.99)
	o.bulk50, o.bulk99 = percentile(s.bulk, 0.5), percentile(s.bulk, 0.99)
	prefilled, again := 0, 0
	for _, r := range s.regions {
		for _, e := range r.engines {
			o.engineBusy += e.busy
			prefilled += e.prefilled
			again += e.recomputed
		}
	}
	o.recomputed = float64(again) / float64(max(prefilled, 1))
	o.spilled = float64(s.spilled) / float64(max(len(s.interactive)+len(s.bulk), 1))
	o.worstAccount = 1
	offered, refused := 0, 0
	for _, a := range s.accounts {
		due := float64(a.offered) / a.loadMultiplier
		o.worstAccount = min(o.worstAccount, float64(a.started)/max(due, 1))
		if a.loadMultiplier == 1 {
			offered += a.offered
			refused += a.refused
		}
	}
	o.refusedWithinRate = float64(refused) / float64(max(offered, 1))
	return o
}

func percentile(samples []time.Duration, p float64) time.Duration {
	if len(samples) == 0 {
		return 0
	}
	slices.Sort(samples)
	return samples[min(int(p*float64(len(samples))), len(samples)-1)]
}

// parallelRuns bounds the number of concurrent runs.
const parallelRuns = 4

// ComparePolicies compares routing and admission with their baselines.
func ComparePolicies(d simDeployment) func(seed uint64) (Table, error) {
	return func(seed uint64) (Table, error) {
		all, variants := scenarios(), policies()
		outcomes := make([]outcome, len(all)*len(variants))
		var runs errgroup.Group
		runs.SetLimit(parallelRuns)
		for i := range outcomes {
			runs.Go(func() error {
				s := newPolicySim(d, all[i/len(variants)], variants[i%len(variants)], seed)
				s.run()
				outcomes[i] = s.outcome()
				return nil
			})
		}
		if err := runs.Wait(); err != nil {
			return Table{}, err
		}
		t := Table{Columns: []string{
			"scenario", "policy", "first token p50", "p99", "bulk p50", "bulk p99", "busy engine s",
			"prompt tokens computed again", "sent to another region", "worst-served account", "refused within the rate",
		}}
		for i, o := range outcomes {
			t.Rows = append(t.Rows, append([]string{all[i/len(variants)].name, variants[i%len(variants)].name}, o.cells()...))
		}
		t.Notes = goalNotes(outcomes, len(variants))
		return t, nil
	}
}

func (o outcome) cells() []string {
	ms := func(d time.Duration) string { return fmt.Sprintf("%d ms", d.Milliseconds()) }
	percent := func(v float64) string { return fmt.Sprintf("%.2f %%", 100*v) }
	return []string{
		ms(o.p50), ms(o.p99), ms(o.bulk50), ms(o.bulk99), fmt.Sprintf("%.0f", o.engineBusy.Seconds()),
		percent(o.recomputed), percent(o.spilled), percent(o.worstAccount), percent(o.refusedWithinRate),
	}
}

// goalNotes compares the rows of basilroute's own policy, which is the first of each
// scenario, with the goals.
func goalNotes(outcomes []outcome, variants int) []string {
	noBulk, saturated, offender := outcomes[0], outcomes[2*variants], outcomes[3*variants]
	ratio := saturated.p99.Seconds() / noBulk.p99.Seconds()
	return []string{
		fmt.Sprintf("Interactive p99 with bulk saturating is %.2f times that without bulk (goal 1.5: %s).", ratio, goalResult(ratio <= 1.5)),
		fmt.Sprintf("With an offender the worst-served account gets %.2f %% of its due (goal 95 %%: %s).", 100*offender.worstAccount, goalResult(offender.worstAccount >= 0.95)),
		"Beside bulk a step of the modelled engine computes up to 512 prompt tokens, 64 ms, before any request gets its token, and a prompt that is not cached needs three steps: a part of the gap is there whatever the policy. The rest is the wait for a place where limits shrank.",
		"Shares and refusals count interactive requests; an offender's due is a tenth of what it sends. Quota is not part of this experiment: what an offender sends all reaches the queues.",
	}
}

func goalResult(ok bool) string {
	if ok {
		return "met"
	}
	return "missed"
}
