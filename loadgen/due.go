package loadgen

import (
	"cmp"
	"slices"
	"time"

	"github.com/basilroute/basilroute/protocol/refusal"
	"github.com/basilroute/basilroute/protocol/tokens"
)

// charge is what one request means for its account's rate and burst.
type charge struct {
	at      time.Duration
	cost    float64 // at the most
	used    float64 // in the end; 0 when it did not run
	limited bool    // refused because of the account's rate
}

func chargeOf(p *PlannedRequest, out *Outcome) charge {
	c := charge{at: p.At, cost: p.Cost(), limited: out.Code == string(refusal.CodeRateLimited)}
	if out.Tokens > 0 && p.Kind.Operation == "" {
		c.used = float64(tokens.Estimate(p.Prompt) + out.Tokens)
	}
	return c
}

// withinRate counts the requests that were refused for the account's rate,
// although one bucket of its rate and burst, full at the start and charged with
// what the account did get, would have held their tokens. The bucket runs from
// the start of the run, the count from the end of the warm-up.
func withinRate(rate, burst float64, warmup time.Duration, charges []charge) int64 {
	slices.SortFunc(charges, func(a, b charge) int { return cmp.Compare(a.at, b.at) })
	level, last, count := burst, time.Duration(0), int64(0)
	for _, c := range charges {
		level = min(burst, level+rate*(c.at-last).Seconds())
		last = c.at
		if c.at >= warmup && c.limited && level >= c.cost {
			count++
		}
		level -= c.used
	}
	return count
}
