package loadgen

import (
	"context"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/basilroute/basilroute/standin/engine"
)

const testMix = `seed: 7
rate: 50
duration: 10s
accounts:
  - name: calm
    share: 1
    requests: [{service: m, prompt_tokens: {min: 10, max: 100}, output_tokens: {min: 1, max: 9}, prefixes: {count: 2, tokens: 128}}]
  - name: offender
    share: 1
    multiply: 10
    requests: [{service: p, operation: order, idempotency: true}]
`

func mix(t *testing.T, text string) *Mix {
	t.Helper()
	m, err := ParseMix("mix", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return m
}

func plan(m *Mix) []*PlannedRequest {
	var all []*PlannedRequest
	p := newPlanner(m)
	for next := p.next(); next != nil; next = p.next() {
		all = append(all, next)
	}
	return all
}

// The seed alone determines which account sends what and when. The excess load of an
// offending account comes on top of the configured rate.
func TestPlanIsDeterministic(t *testing.T) {
	synctest.Test(t, func(t *testing.T) { // Idempotency-Keys contain the time
		m := mix(t, testMix)
		first, second := plan(m), plan(m)
		counts := make(map[string]int)
		for i, p := range first {
			if q := second[i]; p.At != q.At || p.Prompt != q.Prompt || p.Key != q.Key || p.MaxTokens != q.MaxTokens {
				t.Fatalf("request %d differs: %+v %+v", i, p, q)
			}
			counts[p.Account.Name]++
		}
		if calm := counts["calm"]; calm < 200 || calm > 300 {
			t.Errorf("calm sent %d requests, want about 250", calm)
		}
		if offender := counts["offender"]; offender < 2300 || offender > 2700 {
			t.Errorf("the offender sent %d requests, want about 2500", offender)
		}
	})
}

// slowTarget responds to each request after a fixed time.
type slowTarget struct{ takes time.Duration }

func (s slowTarget) Send(_ context.Context, p *PlannedRequest, out *Outcome) {
	time.Sleep(s.takes)
	out.Status, out.Code = 200, CodeDone
	out.recordTokens(time.Now(), 1)
}

// A fleet that stalls for a minute must not slow the load down: all planned requests
// start on time, and each latency includes the complete stall.
func TestLoadIsOpenLoop(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := mix(t, testMix)
		want := len(plan(m))
		start := time.Now()
		report, err := Run(t.Context(), m, Arm{Name: "slow", Target: slowTarget{time.Minute}})
		if err != nil {
			t.Fatal(err)
		}
		if took := time.Since(start); took > m.Duration+time.Minute {
			t.Errorf("the run took %s", took)
		}
		row := report.Arms[0]
		if row.Sent != int64(want) || row.Done != int64(want) {
			t.Errorf("%d sent, %d done, want %d", row.Sent, row.Done, want)
		}
		if p50 := row.FirstToken.P50; p50 < time.Minute.Microseconds()*99/100 {
			t.Errorf("p50 is %d us, the stall is missing", p50)
		}
	})
}

func sse(parts ...string) string {
	var b strings.Builder
	for _, part := range parts {
		b.WriteString(`data: {"id":"x","choices":[{"index":0,"text":"` + part + `","finish_reason":null}]}` + "\n\n")
	}
	return b.String()
}

// The load tool verifies that callers get their own complete responses, so it has to
// detect a missing, a foreign and a repeated token, and a missing end of the stream.
func TestStreamVerification(t *testing.T) {
	const prompt, done = "a prompt", "data: [DONE]\n\n"
	one, two := engine.Token(prompt, 0), engine.Token(prompt, 1)
	for name, test := range map[string]struct{ stream, want string }{
		"whole":      {sse(one, two) + done, CodeDone},
		"joined":     {sse(one+two) + done, CodeDone},
		"short":      {sse(one) + done, CodeWrongAnswer},
		"foreign":    {sse(one, engine.Token("another prompt", 1)) + done, CodeWrongAnswer},
		"repeated":   {sse(one, one) + done, CodeWrongAnswer},
		"cut":        {sse(one, two), CodeCut},
		"incomplete": {sse(one) + "event: incomplete\ndata: {\"error\":{\"code\":\"backend_failed\",\"message\":\"\",\"run\":\"ran\"}}\n\n", CodeIncomplete},
		"broken":     {"data: {\n\n", CodeWrongAnswer},
	} {
		var out Outcome
		readEvents(strings.NewReader(test.stream), &PlannedRequest{Prompt: prompt, MaxTokens: 2}, &out)
		if out.Code != test.want {
			t.Errorf("%s: %s, want %s", name, out.Code, test.want)
		}
	}
}

// Prompts that share a long prefix need distinct responses; otherwise a caller that got
// the response to another prompt would not be detected.
func TestPromptsWithSharedPrefixHaveDistinctResponses(t *testing.T) {
	prefix := strings.Repeat("shared ", 300)
	if engine.Token(prefix+"a", 0) == engine.Token(prefix+"b", 0) {
		t.Error("two prompts with a shared prefix have the same first token")
	}
}

// A refusal while the account's token bucket holds enough tokens is wrongful; one after
// the account has used up its burst is not.
func TestRefusalsWithinRate(t *testing.T) {
	charges := []charge{
		{at: 1 * time.Second, maxTokens: 100, rateLimited: true}, // the burst is untouched
		{at: 2 * time.Second, maxTokens: 100, usedTokens: 100},
		{at: 3 * time.Second, maxTokens: 20, rateLimited: true}, // 10 tokens since
		{at: 4 * time.Second, maxTokens: 20, rateLimited: true}, // 20 tokens since
	}
	if got := countRefusedWithinRate(10, 100, 0, slices.Clone(charges)); got != 2 {
		t.Errorf("%d wrongful refusals, want 2", got)
	}
	if got := countRefusedWithinRate(10, 100, 2*time.Second, charges); got != 1 {
		t.Errorf("%d wrongful refusals after the warm-up, want 1", got)
	}
}

func TestMixFindings(t *testing.T) {
	_, err := ParseMix("mix", []byte("rate: 0\narrivals: sometimes\naccounts:\n  - {share: -1, requests: [{class: urgent}]}\n"))
	if err == nil {
		t.Fatal("no findings")
	}
	for _, want := range []string{
		"mix:1:1: rate:", "mix:2:1: arrivals:", "accounts.0.name: is required", "accounts.0.share:",
		"accounts.0.requests.0.service: is required", "accounts.0.requests.0.class:", "accounts.0.requests.0.prompt_tokens:",
	} {
		if !strings.Contains(err.Error(), want) {
			t.Errorf("no finding %q in\n%v", want, err)
		}
	}
}
