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

// bytesPerToken is the size at which the gateway estimates a token.
const bytesPerToken = 4

// PlannedRequest is one request of the plan.
type PlannedRequest struct {
	Number    int
	At        time.Duration // planned start, relative to the start of the run
	Account   *Account
	Kind      *RequestKind
	Prompt    string
	MaxTokens int
	Body      []byte // of a plain operation
	Key       string // Idempotency-Key; empty for none
}

// Cost returns the maximum charge of the request in tokens. It returns 0 for a plain
// operation, whose cost is defined in the service's document and not known here.
func (p *PlannedRequest) Cost() float64 {
	if p.Kind.Operation != "" {
		return 0
	}
	return float64(tokens.Estimate(p.Prompt) + p.MaxTokens)
}

// planner generates the requests of a mix in the order of their planned starts. The
// same mix gives the same requests.
type planner struct {
	mix         *Mix
	rng         *rand.Rand
	now         time.Duration
	number      int
	totalWeight float64 // of all accounts, including the excess of multiplied accounts
	meanGap     time.Duration
}

func newPlanner(m *Mix) *planner {
	p := &planner{mix: m, rng: rand.New(rand.NewPCG(uint64(m.Seed), 0))}
	totalShare := 0.0
	for _, a := range m.Accounts {
		p.totalWeight += a.Share * a.LoadMultiplier
		totalShare += a.Share
	}
	p.meanGap = time.Duration(float64(time.Second) / (m.Rate * p.totalWeight / totalShare))
	return p
}

// next returns the next request, or nil at the end of the run.
func (p *planner) next() *PlannedRequest {
	gap := p.meanGap
	if p.mix.Arrivals == ArrivalsPoisson {
		gap = time.Duration(float64(p.meanGap) * p.rng.ExpFloat64())
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
	x := p.rng.Float64() * p.totalWeight
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
		prefix = repeatToTokens(fmt.Sprintf("%s/%s/%d ", planned.Account.Name, q.Service, p.rng.Int64N(q.Prefixes.Count)), q.Prefixes.Tokens)
	}
	suffix := repeatToTokens(fmt.Sprintf("%s ", id), p.draw(q.PromptTokens))
	planned.Prompt = prefix + suffix
	planned.MaxTokens = int(p.draw(q.OutputTokens))
}

// repeatToTokens repeats a seed text up to a length in tokens. The result is at least
// as long as the seed.
func repeatToTokens(seed string, length int64) string {
	want := int(length) * bytesPerToken
	return strings.Repeat(seed, want/len(seed)+1)[:max(want, len(seed))]
}

func (p *planner) draw(g Range) int64 {
	low, high := math.Log(float64(g.Min)), math.Log(float64(g.Max)+1)
	return min(g.Max, int64(math.Exp(low+p.rng.Float64()*(high-low))))
}

// uuid returns a UUIDv7 with random bits from the seed. It has the current time, since
// the gateway refuses a key whose time is too far off.
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
