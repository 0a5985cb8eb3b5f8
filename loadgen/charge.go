package loadgen

import (
	"cmp"
	"slices"
	"time"

	"github.com/basilroute/basilroute/protocol/refusal"
	"github.com/basilroute/basilroute/protocol/tokens"
)

// charge is the effect of one request on its account's token bucket.
type charge struct {
	at          time.Duration
	maxTokens   float64 // upper bound, known at admission
	usedTokens  float64 // actual use; 0 if the request did not run
	rateLimited bool    // refused because of the account's rate
}

func newCharge(p *PlannedRequest, out *Outcome) charge {
	c := charge{at: p.At, maxTokens: p.Cost(), rateLimited: out.Code == string(refusal.CodeRateLimited)}
	if out.Tokens > 0 && p.Kind.Operation == "" {
		c.usedTokens = float64(tokens.Estimate(p.Prompt) + out.Tokens)
	}
	return c
}

// countRefusedWithinRate counts the requests that were refused because of the account's
// rate although a single token bucket of its rate and burst, full at the start and
// charged with the tokens that the account used, would have admitted them. The bucket
// is simulated from the start of the run; refusals count from the end of the warm-up.
func countRefusedWithinRate(rate, burst float64, warmup time.Duration, charges []charge) int64 {
	slices.SortFunc(charges, func(a, b charge) int { return cmp.Compare(a.at, b.at) })
	level, last, count := burst, time.Duration(0), int64(0)
	for _, c := range charges {
		level = min(burst, level+rate*(c.at-last).Seconds())
		last = c.at
		if c.at >= warmup && c.rateLimited && level >= c.maxTokens {
			count++
		}
		level -= c.usedTokens
	}
	return count
}
