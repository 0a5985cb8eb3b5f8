package e2e

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"syscall"
	"testing"

	"github.com/google/uuid"

	"github.com/basilroute/basilroute/standin/engine"
)

const twoDomainsDocument = `kind: fleet
name: fleet
regions:
  suva-a: {domains: [suva-a-1, suva-a-2]}
`

const orderPath = "/v1/services/recall-ledger/operations/withdraw-batch"

// twoDomains is a small fleet: suva-a-1 has two instances, an engine and a plain
// service; suva-a-2 has one instance, which forwards every request. The links to
// the instances of suva-a-1 and from suva-a-2 to the platform go through relays.
type twoDomains struct {
	*fleet
	key      string
	links    map[string]*relay // to each instance of suva-a-1
	platform *relay
}

const (
	backendEntry1 = "suva-a-1-entry-1"
	backendEntry2 = "suva-a-1-entry-2"
	remoteEntry   = "suva-a-2-entry-1"
)

func startTwoDomains(t *testing.T) *twoDomains {
	f := &twoDomains{fleet: newFleet(t), links: make(map[string]*relay)}
	f.addBackend("engine", "engine", "notice-writer", "suva-a", "suva-a-1")
	f.addBackend("plain", "ledger", "recall-ledger", "suva-a", "suva-a-1")
	for _, id := range []string{backendEntry1, backendEntry2} {
		m := &member{host: f.nextAddress(), region: "suva-a", domain: "suva-a-1"}
		m.advertise = fmt.Sprintf("%s:%d", f.nextAddress(), peersPort)
		f.links[id] = newRelay(t, m.advertise, fmt.Sprintf("%s:%d", m.host, peersPort))
		f.instances[id] = m
		f.listInstance(id, m, m.advertise)
	}
	f.addInstance(remoteEntry, "suva-a", "suva-a-2")
	f.startPlatform()
	address := fmt.Sprintf("%s:%d", f.nextAddress(), backendPort)
	f.platform = newRelay(t, address, strings.TrimPrefix(f.fleet.platform, "http://"))
	f.instances[remoteEntry].platform = "http://" + address
	f.startInstances()
	document, key := account("suva-grocers", "", 200000, 2000000)
	f.key = key
	f.await("all instances", func() bool {
		for _, m := range f.instances {
			if status := f.status(m); status == nil || len(status.Instances) != len(f.instances) {
				return false
			}
		}
		return true
	})
	f.mustCLI("apply", "--wait", "--instance", f.instances[backendEntry1].operator(),
		f.write("fleet", twoDomainsDocument), f.write("model", modelDocument), f.write("ledger", ledgerDocument), f.write("account", document))
	for _, m := range f.instances {
		f.awaitServed(m, key, "/v1/completions", completion("warm", 1, false))
		f.awaitServed(m, key, orderPath, `{"id":"warm"}`)
	}
	return f
}

// order sends a withdrawal order with an idempotency key.
func (f *twoDomains) order(m *member, key, id string) (int, string) {
	req, err := http.NewRequestWithContext(f.t.Context(), http.MethodPost, m.callers()+orderPath, strings.NewReader(`{"id":"`+id+`"}`))
	if err != nil {
		f.t.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer "+f.key)
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Idempotency-Key", key)
	resp, err := http.DefaultTransport.RoundTrip(req)
	if err != nil {
		return 0, err.Error()
	}
	defer resp.Body.Close()
	answer, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, err.Error()
	}
	return resp.StatusCode, string(answer)
}

func (f *twoDomains) setFaults(base, faults string) {
	f.t.Helper()
	req, err := http.NewRequestWithContext(f.t.Context(), http.MethodPut, base+"/admin/faults", strings.NewReader(faults))
	if err != nil {
		f.t.Fatal(err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		f.t.Fatal(err)
	}
	_ = resp.Body.Close()
}

func (f *twoDomains) getJSON(url string, into any) {
	f.t.Helper()
	resp, err := http.Get(url)
	if err != nil {
		f.t.Fatal(err)
	}
	defer resp.Body.Close()
	if err := json.NewDecoder(resp.Body).Decode(into); err != nil {
		f.t.Fatal(err)
	}
}

func (f *twoDomains) runs(id string) int {
	f.t.Helper()
	runs := make(map[string]int)
	f.getJSON(f.backends["ledger"]+"/admin/runs", &runs)
	return runs["withdraw-batch/"+id]
}

func (f *twoDomains) started() int64 {
	f.t.Helper()
	var stats engine.Stats
	f.getJSON(f.backends["engine"]+"/admin/stats", &stats)
	return stats.Started
}

// forwarder returns the instance of suva-a-1 that has a forwarded request in flight.
func (f *twoDomains) forwarder() string {
	f.t.Helper()
	for _, id := range []string{backendEntry1, backendEntry2} {
		var dump struct {
			Forwarded int `json:"forwarded"`
		}
		out := f.mustCLI("state", "dump", "--instance", f.instances[id].operator())
		if err := json.Unmarshal([]byte(out), &dump); err != nil {
			f.t.Fatalf("%v in %s", err, out)
		}
		if dump.Forwarded > 0 {
			return id
		}
	}
	f.t.Fatal("no instance forwards the stream")
	return ""
}

// startStream opens a stream and reads its first line.
func (f *twoDomains) startStream(m *member, tokens int) (*bufio.Reader, string) {
	f.t.Helper()
	resp := f.openStream(m, f.key, completion("dossier", tokens, true))
	f.t.Cleanup(func() { _ = resp.Body.Close() })
	lines := bufio.NewReader(resp.Body)
	first, err := lines.ReadString('\n')
	if err != nil {
		f.t.Fatal(err)
	}
	return lines, first
}

func (f *twoDomains) checkComplete(lines *bufio.Reader, first string, tokens int) {
	f.t.Helper()
	rest, err := io.ReadAll(lines)
	if err != nil {
		f.t.Errorf("the stream was cut: %v", err)
	}
	events := first + string(rest)
	for i := range tokens {
		_, after, ok := strings.Cut(events, fmt.Sprintf(`"text":%q`, engine.Token("dossier", i)))
		if !ok {
			f.t.Fatalf("token %d is missing or out of order", i)
		}
		events = after
	}
	if strings.Contains(events, `"text":`) || !strings.HasSuffix(events, "data: [DONE]\n\n") {
		f.t.Errorf("ends with %q", events[max(0, len(events)-200):])
	}
}

func newIdempotencyKey(t *testing.T) string {
	t.Helper()
	id, err := uuid.NewV7()
	if err != nil {
		t.Fatal(err)
	}
	return id.String()
}

// An entry instance is killed while it streams to one caller and runs a withdrawal
// order of another. The stream has to end without its [DONE] event. A retry of the
// order with its idempotency key through another instance has to be refused with
// 409 and never as not run, since the claim outlives its instance; the order runs at
// most once. The other instances keep serving.
func TestKilledEntryLeavesItsClaim(t *testing.T) {
	f := startTwoDomains(t)
	lines, _ := f.startStream(f.instances[backendEntry1], 3000)
	f.setFaults(f.backends["ledger"], `{"delay":1000000000}`)
	key := newIdempotencyKey(t)
	sent := make(chan struct{})
	go func() {
		defer close(sent)
		_, _ = f.order(f.instances[backendEntry1], key, "tins")
	}()
	f.await("the order at the server", func() bool {
		var health struct{ Running int }
		f.getJSON(f.backends["ledger"]+"/v1/health", &health)
		return health.Running > 0
	})
	f.instances[backendEntry1].signal(t, syscall.SIGKILL)
	rest, err := io.ReadAll(lines)
	if err == nil || strings.Contains(string(rest), "[DONE]") {
		t.Errorf("stream of the killed instance ended with error %v and %q, want an error and no [DONE]", err, rest[max(0, len(rest)-100):])
	}
	<-sent
	f.setFaults(f.backends["ledger"], `{}`)
	for _, id := range []string{backendEntry2, remoteEntry} {
		f.awaitServed(f.instances[id], f.key, "/v1/completions", completion("x", 1, false))
		f.await("a refusal by "+id, func() bool {
			status, answer := f.order(f.instances[id], key, "tins")
			if status == http.StatusOK || status == http.StatusConflict && strings.Contains(answer, `"run":"not_run"`) {
				t.Fatalf("%s: %d %s", id, status, answer)
			}
			return status == http.StatusConflict
		})
	}
	if n := f.runs("tins"); n > 1 {
		t.Errorf("%d runs", n)
	}
}

// The peer that forwards a stream is killed, or the link to it is cut. The caller
// still gets the complete response: the stream is resumed on the same engine through
// the other peer, and the engine runs one generation only.
func TestForwardedStreamSurvives(t *testing.T) {
	const tokens = 3000
	for _, fault := range []string{"kill", "cut"} {
		t.Run(fault, func(t *testing.T) {
			f := startTwoDomains(t)
			before := f.started()
			lines, first := f.startStream(f.instances[remoteEntry], tokens)
			victim := f.forwarder()
			if fault == "kill" {
				f.instances[victim].signal(t, syscall.SIGKILL)
			} else {
				f.links[victim].cut()
			}
			f.checkComplete(lines, first, tokens)
			if n := f.started() - before; n != 1 {
				t.Errorf("%d generations", n)
			}
		})
	}
}

// The peer that forwards a stream is frozen (SIGSTOP). Its connection stays open, so
// that only an unanswered ping reveals the fault; the stream is then resumed through
// the other peer. After SIGCONT the frozen peer sends nothing stale and serves again.
func TestFrozenPeerIsReplaced(t *testing.T) {
	const tokens = 3000
	f := startTwoDomains(t)
	before := f.started()
	lines, first := f.startStream(f.instances[remoteEntry], tokens)
	victim := f.forwarder()
	f.instances[victim].signal(t, syscall.SIGSTOP)
	f.checkComplete(lines, first, tokens)
	if n := f.started() - before; n != 1 {
		t.Errorf("%d generations", n)
	}
	f.instances[victim].signal(t, syscall.SIGCONT)
	f.awaitServed(f.instances[victim], f.key, "/v1/completions", completion("x", 1, false))
}

// The link to the peer that forwards a withdrawal order is cut while the order runs.
// The caller gets run state unknown, and no instance retries the order. A retry by
// the caller with the same idempotency key is refused with 409 and never as not run,
// because the peer made the claim before it dispatched the order.
func TestCutLinkUnderAnOrder(t *testing.T) {
	f := startTwoDomains(t)
	f.setFaults(f.backends["ledger"], `{"delay":1000000000}`)
	key := newIdempotencyKey(t)
	type result struct {
		status int
		answer string
	}
	sent := make(chan result)
	go func() {
		status, answer := f.order(f.instances[remoteEntry], key, "tins")
		sent <- result{status, answer}
	}()
	f.await("the order at the server", func() bool {
		var health struct{ Running int }
		f.getJSON(f.backends["ledger"]+"/v1/health", &health)
		return health.Running > 0
	})
	f.links[f.forwarder()].cut()
	if got := <-sent; got.status == http.StatusOK || !strings.Contains(got.answer, `"run":"unknown"`) {
		t.Errorf("order over the cut link: %d %s", got.status, got.answer)
	}
	for _, id := range []string{remoteEntry, backendEntry1, backendEntry2} {
		status, answer := f.order(f.instances[id], key, "tins")
		if status != http.StatusConflict || strings.Contains(answer, `"run":"not_run"`) {
			t.Errorf("%s: %d %s", id, status, answer)
		}
	}
	if n := f.runs("tins"); n > 1 {
		t.Errorf("%d runs", n)
	}
}

// One instance is cut off from the platform, then the store is down for all. Open
// streams complete, and new model requests and orders without an idempotency key are
// served. An order that needs a claim is refused as not run, with a Retry-After, and
// reaches no backend server; after the fault an order with the same key runs once.
func TestServesWithoutThePlatform(t *testing.T) {
	const tokens = 1500
	f := startTwoDomains(t)
	lines, first := f.startStream(f.instances[remoteEntry], tokens)
	f.platform.cut()
	f.awaitServed(f.instances[remoteEntry], f.key, "/v1/completions", completion("x", 4, false))
	f.awaitServed(f.instances[remoteEntry], f.key, orderPath, `{"id":"no-key"}`)
	f.setFaults(f.fleet.platform, `{"outage":true}`)
	key := newIdempotencyKey(t)
	for id, m := range f.instances {
		f.awaitServed(m, f.key, "/v1/completions", completion("x", 4, false))
		status, answer := f.order(m, key, "flour")
		if status != http.StatusServiceUnavailable || !strings.Contains(answer, `"code":"store_unreachable"`) ||
			!strings.Contains(answer, `"run":"not_run"`) || !strings.Contains(answer, "retry_after_ms") {
			t.Errorf("%s: %d %s", id, status, answer)
		}
	}
	if n := f.runs("flour"); n != 0 {
		t.Errorf("%d runs of a refused order", n)
	}
	f.checkComplete(lines, first, tokens)
	f.setFaults(f.fleet.platform, `{}`)
	f.platform.heal()
	f.await("the order", func() bool {
		status, _ := f.order(f.instances[remoteEntry], key, "flour")
		return status == http.StatusOK
	})
	if n := f.runs("flour"); n != 1 {
		t.Errorf("%d runs", n)
	}
}
