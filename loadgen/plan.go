package loadgen

import (
	"fmt"
	"math"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/google/uuid"

	"github.com/basilroute/basilroute/protocol/tokens"
)

// bytesPerToken is what the gateway estimates a token at.
const bytesPerToken = 4

// PlannedRequest is one request of the plan.
type PlannedRequest struct {
	Number    int
	At        time.Duration // start, from the beginning of the run
	Account   *Account
	Kind      *RequestKind
	Prompt    string
	MaxTokens int
	Body      []byte // of a plain operation
	Key       string // Idempotency-Key; none when empty
}

// Cost is what the account is charged for the request at the most, in tokens.
// The price of a plain operation stands in its service's document and is not known here.
func (p *PlannedRequest) Cost() float64 {
	if p.Kind.Operation != "" {
		return 0
	}
	return float64(tokens.Estimate(p.Prompt) + p.MaxTokens)
}

// planner makes the requests of a mix in the order of their starts. The same
// mix gives the same requests.
type planner struct {
	mix    *Mix
	rng    *rand.Rand
	now    time.Duration
	number int
	total  float64 // weight of all accounts, offenders' excess counted
	mean   time.Duration
}

func newPlanner(m *Mix) *planner {
	p := &planner{mix: m, rng: rand.New(rand.NewPCG(uint64(m.Seed), 0))}
	plain := 0.0
	for _, a := range m.Accounts {
		p.total += a.Share * a.LoadMultiplier
		plain += a.Share
	}
	p.mean = time.Duration(float64(time.Second) / (m.Rate * p.total / plain))
	return p
}

// next returns the next request, or nil at the end of the run.
func (p *planner) next() *PlannedRequest {
	gap := p.mean
	if p.mix.Arrivals == ArrivalsPoisson {
		gap = time.Duration(float64(p.mean) * p.rng.ExpFloat64())
	}
	p.now += gap
	if p.now >= p.mix.Duration {
		return nil
	}
	p.number++
	account := p.account()
	planned := &PlannedRequest{Number: p.number, At: p.now, Account: account, Kind: p.request(account)}
	p.fill(planned)
	return planned
}

func (p *planner) account() *Account {
	x := p.rng.Float64() * p.total
	for i := range p.mix.Accounts {
		a := &p.mix.Accounts[i]
		if x -= a.Share * a.LoadMultiplier; x < 0 {
			return a
		}
	}
	return &p.mix.Accounts[len(p.mix.Accounts)-1]
}

func (p *planner) request(a *Account) *RequestKind {
	total := 0.0
	for _, q := range a.Requests {
		total += q.Weight
	}
	x := p.rng.Float64() * total
	for i := range a.Requests {
		if x -= a.Requests[i].Weight; x < 0 {
			return &a.Requests[i]
		}
	}
	return &a.Requests[len(a.Requests)-1]
}

func (p *planner) fill(planned *PlannedRequest) {
	q := planned.Kind
	id := p.uuid()
	if q.Idempotency {
		planned.Key = id.String()
	}
	if q.Operation != "" {
		planned.Body = fmt.Appendf(nil, `{"id":%q}`, id)
		return
	}
	prefix := ""
	if q.Prefixes.Count > 0 {
		prefix = text(fmt.Sprintf("%s/%s/%d ", planned.Account.Name, q.Service, p.rng.Int64N(q.Prefixes.Count)), q.Prefixes.Tokens)
	}
	own := text(fmt.Sprintf("%s ", id), p.draw(q.PromptTokens))
	planned.Prompt = prefix + own
	planned.MaxTokens = int(p.draw(q.OutputTokens))
}

// text repeats a seed up to a length in tokens.
func text(seed string, length int64) string {
	want := int(length) * bytesPerToken
	return strings.Repeat(seed, want/len(seed)+1)[:max(want, len(seed))]
}

func (p *planner) draw(g Range) int64 {
	low, high := math.Log(float64(g.Min)), math.Log(float64(g.Max)+1)
	return min(g.Max, int64(math.Exp(low+p.rng.Float64()*(high-low))))
}

// uuid returns a UUIDv7 of now with random bits from the seed: the gateway
// refuses one whose time is too far off.
func (p *planner) uuid() uuid.UUID {
	var id uuid.UUID
	at := uint64(time.Now().UnixMilli())
	for i := range 6 {
		id[i] = byte(at >> (8 * (5 - i)))
	}
	for i := 6; i < len(id); i++ {
		id[i] = byte(p.rng.Uint32())
	}
	id[6] = id[6]&0x0f | 0x70
	id[8] = id[8]&0x3f | 0x80
	return id
}
