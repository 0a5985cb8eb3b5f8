package loadgen

import (
	"strconv"
	"time"

	"github.com/basilroute/basilroute/yamldoc"
)

// Arrivals names the arrival process of the requests.
type Arrivals string

// Arrival processes.
const (
	ArrivalsPoisson Arrivals = "poisson"
	ArrivalsFixed   Arrivals = "fixed"
)

// Defaults of a mix. The rate is in requests per second.
const (
	defaultRate     = 20
	defaultDuration = 20 * time.Second
	defaultTimeout  = time.Minute
	defaultSpread   = 2
)

// Mix describes the load: which accounts send which requests, and how often.
type Mix struct {
	Seed     int64         `yaml:"seed"`
	Rate     float64       `yaml:"rate"` // requests per second of all accounts, without the excess of multiplied accounts
	Duration time.Duration `yaml:"duration"`
	Warmup   time.Duration `yaml:"warmup"` // initial period whose requests are sent but not measured
	Arrivals Arrivals      `yaml:"arrivals"`
	Timeout  time.Duration `yaml:"timeout"` // of one request
	Retries  int64         `yaml:"retries"` // max retries of requests refused as not run, after retry_after_ms
	Spread   int64         `yaml:"spread"`  // how many of the listed entries an account uses
	Accounts []Account     `yaml:"accounts"`
}

// Account is a client account that sends requests.
type Account struct {
	Name           string        `yaml:"name"`
	Key            string        `yaml:"key"`      // as callers present it
	Share          float64       `yaml:"share"`    // weight among the accounts
	LoadMultiplier float64       `yaml:"multiply"` // sends this many times its share; default 1
	Rate           float64       `yaml:"rate"`     // of its document, tokens per second; 0 if unknown, then due tokens are not reported
	Burst          float64       `yaml:"burst"`    // of its document, tokens
	Requests       []RequestKind `yaml:"requests"`
}

// RequestKind is a kind of request that an account sends.
type RequestKind struct {
	Weight       float64  `yaml:"weight"`
	Service      string   `yaml:"service"`
	Class        string   `yaml:"class"`
	Operation    string   `yaml:"operation"`   // of a plain service; empty for a generation
	Idempotency  bool     `yaml:"idempotency"` // send an Idempotency-Key
	NonStreaming bool     `yaml:"whole"`       // request without streaming
	PromptTokens Range    `yaml:"prompt_tokens"`
	OutputTokens Range    `yaml:"output_tokens"`
	Prefixes     Prefixes `yaml:"prefixes"`
}

// Range is a log-uniform distribution: most values are small, a few are large.
type Range struct {
	Min int64 `yaml:"min"`
	Max int64 `yaml:"max"`
}

// Prefixes describes the prompt prefixes that requests of an account share.
type Prefixes struct {
	Count  int64 `yaml:"count"`
	Tokens int64 `yaml:"tokens"` // length of each
}

// ParseMix decodes and checks a mix. The error is yamldoc.Findings.
func ParseMix(file string, data []byte) (*Mix, error) {
	m := &Mix{
		Seed: 1, Rate: defaultRate, Duration: defaultDuration, Timeout: defaultTimeout,
		Arrivals: ArrivalsPoisson, Spread: defaultSpread,
	}
	r := yamldoc.Decode(file, data, m)
	checkPositive(r, "rate", m.Rate)
	checkPositive(r, "duration", m.Duration.Seconds())
	checkPositive(r, "timeout", m.Timeout.Seconds())
	checkPositive(r, "spread", float64(m.Spread))
	if m.Arrivals != ArrivalsPoisson && m.Arrivals != ArrivalsFixed {
		r.Addf("arrivals", "want poisson or fixed, have %q", m.Arrivals)
	}
	if m.Warmup < 0 || m.Warmup >= m.Duration {
		r.Addf("warmup", "want 0 to less than the duration %s, have %s", m.Duration, m.Warmup)
	}
	if len(m.Accounts) == 0 {
		r.Addf("accounts", "at least one account is needed")
	}
	for i := range m.Accounts {
		m.Accounts[i].check(r, "accounts."+strconv.Itoa(i))
	}
	return m, r.Err()
}

func checkPositive(r *yamldoc.Report, path string, v float64) {
	if !(v > 0) { // written so that NaN is a finding
		r.Addf(path, "want above 0, have %g", v)
	}
}

func (a *Account) check(r *yamldoc.Report, path string) {
	if a.Name == "" {
		r.Addf(path+".name", "is required")
	}
	if a.LoadMultiplier == 0 {
		a.LoadMultiplier = 1
	}
	checkPositive(r, path+".share", a.Share)
	checkPositive(r, path+".multiply", a.LoadMultiplier)
	if len(a.Requests) == 0 {
		r.Addf(path+".requests", "at least one kind of request is needed")
	}
	for i := range a.Requests {
		a.Requests[i].check(r, path+".requests."+strconv.Itoa(i))
	}
}

func (q *RequestKind) check(r *yamldoc.Report, path string) {
	if q.Weight == 0 {
		q.Weight = 1
	}
	if q.Class == "" {
		q.Class = "interactive"
	}
	checkPositive(r, path+".weight", q.Weight)
	if q.Service == "" {
		r.Addf(path+".service", "is required")
	}
	if q.Class != "interactive" && q.Class != "bulk" {
		r.Addf(path+".class", "want interactive or bulk, have %q", q.Class)
	}
	if q.Operation != "" {
		return
	}
	q.PromptTokens.check(r, path+".prompt_tokens")
	q.OutputTokens.check(r, path+".output_tokens")
	if q.Prefixes.Count < 0 || q.Prefixes.Tokens < 0 {
		r.Addf(path+".prefixes", "count and tokens have to be 0 or above")
	}
}

func (g Range) check(r *yamldoc.Report, path string) {
	if g.Min < 1 || g.Max < g.Min {
		r.Addf(path, "want 1 <= min <= max, have %d and %d", g.Min, g.Max)
	}
}
