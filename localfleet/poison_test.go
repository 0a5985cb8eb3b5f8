package localfleet

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/basilroute/basilroute/instance"
	"github.com/basilroute/basilroute/protocol/tokens"
	"github.com/basilroute/basilroute/standin/engine"
	"github.com/basilroute/basilroute/state/catalog"
)

// crashingFleet is a fleet whose engines crash on certain prompts, and the key of its account.
type crashingFleet struct {
	*Fleet
	key string
}

// startPoisonFleet runs two regions with two instances and three engines each. Every
// engine crashes on a prompt that contains "poison".
func startPoisonFleet(t *testing.T) crashingFleet {
	t.Helper()
	config := engine.DefaultConfig()
	config.StepBase = 5 * time.Millisecond
	config.RestartAfter = 300 * time.Millisecond
	f, err := Start(Config{
		Domains: []Domain{
			{Region: "suva-a", Name: "suva-a-1", Instances: 2, Engines: 3},
			{Region: "labasa-a", Name: "labasa-a-1", Instances: 2, Engines: 3},
		},
		ModelService: "notice-writer", Engine: config, Log: slog.New(slog.DiscardHandler),
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(f.Close)
	ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
	defer cancel()
	key, record := catalog.NewKey("grocers-1")
	for _, document := range []string{
		"kind: fleet\nname: fleet\nregions:\n  suva-a: {domains: [suva-a-1]}\n  labasa-a: {domains: [labasa-a-1]}\n",
		"kind: service\nname: notice-writer\ntype: model\nclasses: {interactive: {max_wait: 5s, deadline: 30s}}\n",
		"kind: account\nname: grocers\nrate: 1000000\nburst: 10000000\nkeys:\n  - {id: grocers-1, sha256: " + record.SHA256 + "}\n",
	} {
		if err := f.Apply(ctx, document); err != nil {
			t.Fatal(err)
		}
	}
	if err := f.Await(ctx, func(i *instance.Instance) bool {
		return i.Ready() && seesAllServers(i) && i.CanCharge("grocers", 100_000)
	}); err != nil {
		t.Fatal(err)
	}
	for _, e := range f.Engines {
		e.SetFaults(engine.Faults{CrashOn: "poison"})
	}
	return crashingFleet{f, key}
}

// seesAllServers reports whether the instance sees three usable servers itself and three at each
// of the three other instances.
func seesAllServers(i *instance.Instance) bool {
	if i.Local("notice-writer").Servers != 3 {
		return false
	}
	others := 0
	for _, d := range i.Peers("notice-writer") {
		if d.Servers == 3 {
			others++
		}
	}
	return others == 3
}

type completionResult struct {
	Status int
	Code   string `json:"code"`
	Run    string `json:"run"`
	Usage  struct {
		CompletionTokens int `json:"completion_tokens"`
	} `json:"usage"`
}

func (f crashingFleet) complete(i *instance.Instance, prompt string, maxTokens int) (completionResult, error) {
	callers, _, _ := i.Addresses()
	body := fmt.Sprintf(`{"model":"notice-writer","prompt":%q,"max_tokens":%d}`, prompt, maxTokens)
	req, err := http.NewRequest(http.MethodPost, "http://"+callers+"/v1/completions", strings.NewReader(body))
	if err != nil {
		return completionResult{}, err
	}
	req.Header.Set("Authorization", "Bearer "+f.key)
	req.Header.Set("Content-Type", "application/json")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return completionResult{}, err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return completionResult{}, err
	}
	a := completionResult{Status: resp.StatusCode}
	return a, json.Unmarshal(data, &a)
}

func (f crashingFleet) crashes() (total int64) {
	for _, e := range f.Engines {
		total += e.Stats().Crashes
	}
	return total
}

// Guards against a request that crashes one engine after another. The caller retries it
// through every instance in turn while requests of others run on the same engines. The first
// crash makes the request a suspect; after the second, all instances refuse it. Every other
// request gets its complete response from another engine.
func TestPoisonRequestSentAgainThroughAllInstances(t *testing.T) {
	f := startPoisonFleet(t)
	var others sync.WaitGroup
	for n := range 12 {
		i := f.Instances[f.StartOrder[n%len(f.StartOrder)]]
		others.Go(func() {
			a, err := f.complete(i, fmt.Sprintf("question %d", n), 60)
			if err != nil || a.Status != http.StatusOK || a.Usage.CompletionTokens != 60 {
				t.Errorf("other request %d: %+v, %v", n, a, err)
			}
		})
	}
	var last completionResult
	for range 2 {
		for _, id := range f.StartOrder {
			var err error
			if last, err = f.complete(f.Instances[id], "the poison", 10); err != nil {
				t.Fatal(err)
			}
		}
	}
	others.Wait()
	if last.Code != "quarantined" {
		t.Errorf("last response after eight requests: %+v", last)
	}
	if got := f.crashes(); got > 2 {
		t.Errorf("%d crashes from one fingerprint", got)
	}
}

// The caller sends the request through every instance concurrently. Copies in flight before
// the first crash is known may crash one server per instance, and the designated instance may
// crash one more while it knows of only one crash. Afterwards every instance refuses the
// request.
func TestPoisonRequestSentThroughAllInstancesAtOnce(t *testing.T) {
	f := startPoisonFleet(t)
	var copies sync.WaitGroup
	for n := range 12 {
		i := f.Instances[f.StartOrder[n%len(f.StartOrder)]]
		copies.Go(func() {
			if a, err := f.complete(i, "the poison", 10); err != nil || a.Status == http.StatusOK {
				t.Errorf("copy %d: %+v, %v", n, a, err)
			}
		})
	}
	copies.Wait()
	before := f.crashes()
	t.Logf("%d crashes", before)
	if before > int64(len(f.StartOrder))+1 {
		t.Errorf("%d crashes with copies at %d instances", before, len(f.StartOrder))
	}
	for _, id := range f.StartOrder {
		if a, err := f.complete(f.Instances[id], "the poison", 10); err != nil || a.Code != "quarantined" {
			t.Errorf("%s: %+v, %v", id, a, err)
		}
	}
	if after := f.crashes(); after != before {
		t.Errorf("%d more crashes after all copies were answered", after-before)
	}
}

// Guards against taking a lost connection for a crash. Generations start and lose their
// connection while the engine keeps running; the requests are retried on other engines and
// are never quarantined.
func TestBrokenConnectionsAreNoCrash(t *testing.T) {
	f := startPoisonFleet(t)
	for range 4 {
		for _, id := range []string{"suva-a-1-engine-1", "suva-a-1-engine-2", "labasa-a-1-engine-1"} {
			f.Engines[id].SetFaults(engine.Faults{ResetAfterRead: 1})
		}
		for _, id := range f.StartOrder {
			a, err := f.complete(f.Instances[id], "a question", 5)
			if err != nil || a.Status != http.StatusOK {
				t.Fatalf("%s: %+v, %v", id, a, err)
			}
		}
	}
}

// Guards against prompts with one part that crash engine after engine, though no two of them are alike, and against prompts
// that are refused because they share the beginning with them.
func TestPromptPartThatCrashesEnginesIsRefused(t *testing.T) {
	const (
		rounds     = 24
		bound      = 2 * time.Second // after the fifth crash
		afterBound = 3               // crashes later than that: trials
		least      = 3               // crashes without which the part cannot have come to be refused
	)
	f := startPoisonFleet(t)
	shared := strings.Repeat("the rules for recall notices say", 2*tokens.BlockBytes/32)
	part := strings.Repeat("poison in a formulation sheet...", 4*tokens.BlockBytes/32)
	var fifthAt time.Time
	crashes, late, sound := int64(0), int64(0), 0
	for n := range rounds {
		i := f.Instances[f.StartOrder[n%len(f.StartOrder)]]
		isLate := !fifthAt.IsZero() && time.Since(fifthAt) > bound
		if bad, err := f.complete(i, shared+part+fmt.Sprintf("question %d", n), 5); err != nil || bad.Status == http.StatusOK {
			t.Fatalf("request %d with the part: %+v, %v", n, bad, err)
		}
		good, err := f.complete(f.Instances[f.StartOrder[(n+1)%len(f.StartOrder)]], shared+fmt.Sprintf("question %d", n), 5)
		if err == nil && good.Status == http.StatusOK {
			sound++
		}
		time.Sleep(300 * time.Millisecond)
		now := f.crashes()
		if isLate {
			late += now - crashes
		}
		if crashes = now; crashes >= 5 && fifthAt.IsZero() {
			fifthAt = time.Now()
		}
	}
	t.Logf("%d crashes, %d of them later than %s after the fifth, %d of %d sound ones served", crashes, late, bound, sound, rounds)
	if late > afterBound {
		t.Errorf("%d crashes from prompts with one part later than %s after the fifth crash", late, bound)
	}
	if crashes < least {
		t.Errorf("%d crashes, want %d at least", crashes, least)
	}
	if sound < rounds*9/10 {
		t.Errorf("%d of %d sound prompts served", sound, rounds)
	}
}
