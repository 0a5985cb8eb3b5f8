package instance_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/basilroute/basilroute/coordination/configwatch"
	"github.com/basilroute/basilroute/instance"
	"github.com/basilroute/basilroute/localfleet"
	"github.com/basilroute/basilroute/standin/engine"
	"github.com/basilroute/basilroute/state/catalog"
)

const (
	awaitLimit    = 60 * time.Second // generous: CI machines are busy
	awaitInterval = 10 * time.Millisecond
	modelDocument = "kind: service\nname: writer\ntype: model\n"
	fleetDocument = "kind: fleet\nname: fleet\nregions:\n  north: {domains: [north-1]}\n  south: {domains: [south-1]}\n"
)

// fleet is a deployment in this process with one account.
type fleet struct {
	*localfleet.Fleet
	t   *testing.T
	key string
}

func startFleet(t *testing.T, adjust func(*instance.Settings), domains ...localfleet.Domain) *fleet {
	t.Helper()
	local, err := localfleet.Start(localfleet.Config{
		Domains: domains, ModelService: "writer", Engine: engine.DefaultConfig(), Log: slog.New(slog.DiscardHandler), Adjust: adjust,
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(local.Close)
	presented, key := catalog.NewKey("grocer-1")
	f := &fleet{Fleet: local, t: t, key: presented}
	account := fmt.Sprintf("kind: account\nname: grocer\nrate: 1e6\nburst: 1e8\nkeys:\n  - {id: %s, sha256: %s}\n", key.ID, key.SHA256)
	for _, document := range []string{fleetDocument, modelDocument, account} {
		if err := f.Apply(t.Context(), document); err != nil {
			t.Fatal(err)
		}
	}
	return f
}

// await polls a condition and fails the test after awaitLimit.
func (f *fleet) await(what string, ok func() bool) {
	f.t.Helper()
	for deadline := time.Now().Add(awaitLimit); time.Now().Before(deadline); time.Sleep(awaitInterval) {
		if ok() {
			return
		}
	}
	f.t.Fatalf("waited %s for %s", awaitLimit, what)
}

func (f *fleet) post(id string, tokens int) (*http.Response, error) {
	callers, _, _ := f.Instances[id].Addresses()
	body := fmt.Sprintf(`{"model":"writer","prompt":"x","max_tokens":%d,"stream":true}`, tokens)
	req, err := http.NewRequest(http.MethodPost, "http://"+callers+"/v1/completions", strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Authorization", "Bearer "+f.key)
	req.Header.Set("Content-Type", "application/json")
	return http.DefaultClient.Do(req)
}

// ask sends a small request and returns the status and the body.
func (f *fleet) ask(id string) (int, string) {
	resp, err := f.post(id, 1)
	if err != nil {
		return 0, err.Error()
	}
	defer resp.Body.Close()
	body, _ := io.ReadAll(resp.Body)
	return resp.StatusCode, string(body)
}

func (f *fleet) awaitServed(id string) {
	f.t.Helper()
	f.await("an answer of "+id, func() bool { status, _ := f.ask(id); return status == http.StatusOK })
}

// awaitRefused waits for status 401 and returns the body. It fails the test if a request
// succeeds before that.
func (f *fleet) awaitRefused(id string) string {
	f.t.Helper()
	answer := ""
	f.await("a refusal of "+id, func() bool {
		var status int
		if status, answer = f.ask(id); status == http.StatusOK {
			f.t.Fatalf("%s answered with a withdrawn key", id)
		}
		return status == http.StatusUnauthorized
	})
	return answer
}

func (f *fleet) stored(key string) bool {
	_, err := f.Store.Get(context.Background(), key)
	return err == nil
}

func north(instances, engines int) localfleet.Domain {
	return localfleet.Domain{Region: "north", Name: "north-1", Instances: instances, Engines: engines}
}

func south(instances, engines int) localfleet.Domain {
	return localfleet.Domain{Region: "south", Name: "south-1", Instances: instances, Engines: engines}
}

// An operator withdraws a key through an instance in the south while the store is down. A
// stream of the key from a southern server to a caller in the north has to end with the
// reason, the server has to get the cancel, and the caller's next request on the same
// keep-alive connection has to be refused, as on every other instance. An instance that
// starts during the outage must know the withdrawal before it accepts callers. The store
// has to get the withdrawal when it responds again, and once more after it was restored
// from a backup without it.
func TestWithdrawalWithoutTheStore(t *testing.T) {
	var seeds []string
	f := startFleet(t, func(s *instance.Settings) { s.Seeds = seeds }, north(1, 0), south(2, 1))
	f.awaitServed("north-1-entry-1")
	resp, err := f.post("north-1-entry-1", 4000)
	if err != nil || resp.StatusCode != http.StatusOK {
		t.Fatal(resp, err)
	}
	defer resp.Body.Close()
	lines := bufio.NewReader(resp.Body)
	if _, err := lines.ReadString('\n'); err != nil {
		t.Fatal(err)
	}
	backup := f.Platform.Snapshot()
	f.Platform.SetFaults(outage)
	done, err := f.Instances["south-1-entry-1"].Withdraw(t.Context(), "grocer-1")
	if err != nil || done.Stored || done.Peers != 2 {
		t.Errorf("%+v, %v", done, err)
	}
	if rest, err := io.ReadAll(lines); !strings.Contains(string(rest), "key_withdrawn") {
		t.Errorf("the stream ended with %q, %v", rest, err)
	}
	f.await("the cancel", func() bool { return f.Engines["south-1-engine-1"].Stats().Cancelled > 0 })
	for _, id := range f.StartOrder {
		if status, answer := f.ask(id); status != http.StatusUnauthorized || !strings.Contains(answer, "key_withdrawn") {
			t.Errorf("%s: %d %s", id, status, answer)
		}
	}
	_, peers, _ := f.Instances["south-1-entry-1"].Addresses()
	seeds = []string{peers}
	if _, err := f.StartInstance(north(1, 0), "north-1-entry-2"); err != nil {
		t.Fatal(err)
	}
	if answer := f.awaitRefused("north-1-entry-2"); !strings.Contains(answer, "key_withdrawn") {
		t.Errorf("the new instance: %s", answer)
	}
	f.Platform.SetFaults(healthy)
	const marker = "config/withdrawn/grocer-1"
	f.await("the withdrawal in the store", func() bool { return f.stored(marker) })
	f.Platform.Restore(backup)
	f.await("the withdrawal in the restored store", func() bool { return f.stored(marker) })
	if _, answer := f.ask("north-1-entry-1"); !strings.Contains(answer, "key_withdrawn") {
		t.Errorf("after the restore: %s", answer)
	}
}

// The platform is unreachable when an instance starts. The instance learns the documents
// and its domain's backend servers from the one peer that its settings name, and serves
// callers.
func TestInstanceStartsWithoutThePlatform(t *testing.T) {
	var seeds []string
	f := startFleet(t, func(s *instance.Settings) { s.Seeds = seeds }, north(1, 1), south(1, 0))
	f.awaitServed("north-1-entry-1")
	f.Platform.SetFaults(outage)
	_, peers, _ := f.Instances["north-1-entry-1"].Addresses()
	seeds = []string{peers}
	started, err := f.StartInstance(north(1, 0), "north-1-entry-2")
	if err != nil {
		t.Fatal(err)
	}
	f.awaitServed("north-1-entry-2")
	if status := started.Status(); status.StoreReachable || len(status.Instances) != 3 {
		t.Errorf("%+v", status)
	}
}

// A document is applied while the watchers of the fleet are killed: the remaining instances
// have to take over and bring it into force.
func TestWatchersDie(t *testing.T) {
	f := startFleet(t, nil, north(4, 1))
	for _, id := range f.StartOrder {
		f.awaitServed(id)
	}
	var candidates []configwatch.Candidate
	for _, id := range f.StartOrder {
		candidates = append(candidates, configwatch.Candidate{ID: id})
	}
	for _, id := range f.StartOrder {
		if configwatch.IsWatcher(id, candidates) {
			f.Instances[id].Kill()
			delete(f.Instances, id)
		}
	}
	if err := f.Apply(t.Context(), "kind: service\nname: second\ntype: model\n"); err != nil {
		t.Fatal(err)
	}
	f.await("the document", func() bool {
		for _, i := range f.Instances {
			if len(i.Dump().(instance.Dump).Services) != 2 {
				return false
			}
		}
		return true
	})
}
