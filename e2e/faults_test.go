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

// twoDomains starts a small fleet: suva-a-1 has two instances, an engine and a
// plain service; suva-a-2 has one instance, which forwards everything. The links
// to the instances of suva-a-1 and from suva-a-2 to the platform are relays.
type twoDomains struct {
	*fleet
	key      string
	links    map[string]*relay // to each instance of suva-a-1
	platform *relay
}

const (
	near1 = "suva-a-1-entry-1"
	near2 = "suva-a-1-entry-2"
	far   = "suva-a-2-entry-1"
)

func startTwoDomains(t *testing.T) *twoDomains {
	f := &twoDomains{fleet: newFleet(t), links: make(map[string]*relay)}
	f.addBackend("engine", "engine", "notice-writer", "suva-a", "suva-a-1")
	f.addBackend("plain", "ledger", "recall-ledger", "suva-a", "suva-a-1")
	for _, id := range []string{near1, near2} {
		m := &member{host: f.host(), region: "suva-a", domain: "suva-a-1"}
		m.advertise = fmt.Sprintf("%s:%d", f.host(), peersPort)
		f.links[id] = newRelay(t, m.advertise, fmt.Sprintf("%s:%d", m.host, peersPort))
		f.instances[id] = m
		f.listInstance(id, m, m.advertise)
	}
	f.addInstance(far, "suva-a", "suva-a-2")
	f.startPlatform()
	address := fmt.Sprintf("%s:%d", f.host(), backendPort)
	f.platform = newRelay(t, address, strings.TrimPrefix(f.fleet.platform, "http://"))
	f.instances[far].platform = "http://" + address
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
	f.mustCLI("apply", "--wait", "--instance", f.instances[near1].operator(),
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

func (f *twoDomains) fault(base, faults string) {
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

func (f *twoDomains) read(url string, into any) {
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
	f.read(f.backends["ledger"]+"/admin/runs", &runs)
	return runs["withdraw-batch/"+id]
}

func (f *twoDomains) started() int64 {
	f.t.Helper()
	var stats engine.Stats
	f.read(f.backends["engine"]+"/admin/stats", &stats)
	return stats.Started
}

// forwarder returns the instance of suva-a-1 that has a forwarded request in flight.
func (f *twoDomains) forwarder() string {
	f.t.Helper()
	for _, id := range []string{near1, near2} {
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
	f.t.Fatal("nobody forwards the stream")
	return ""
}

// begin opens a stream and reads its first line.
func (f *twoDomains) begin(m *member, tokens int) (*bufio.Reader, string) {
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

func (f *twoDomains) checkWhole(lines *bufio.Reader, first string, tokens int) {
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

func newKey(t *testing.T) string {
	t.Helper()
	id, err := uuid.NewV7()
	if err != nil {
		t.Fatal(err)
	}
	return id.String()
}

// An entry instance is killed while it streams to its own caller and runs a
// withdrawal order of another. The stream breaks without the mark of a whole
// answer. The order, sent again under its key through another instance, is
// refused with 409 and never as not run: the claim outlives its instance, and the
// order ran once at most. The other instances serve on.
func TestKilledEntryLeavesItsClaim(t *testing.T) {
	f := startTwoDomains(t)
	lines, _ := f.begin(f.instances[near1], 3000)
	f.fault(f.backends["ledger"], `{"delay":1000000000}`)
	key := newKey(t)
	sent := make(chan struct{})
	go func() {
		defer close(sent)
		_, _ = f.order(f.instances[near1], key, "tins")
	}()
	f.await("the order at the server", func() bool {
		var health struct{ Running int }
		f.read(f.backends["ledger"]+"/v1/health", &health)
		return health.Running > 0
	})
	f.instances[near1].signal(t, syscall.SIGKILL)
	rest, err := io.ReadAll(lines)
	if err == nil || strings.Contains(string(rest), "[DONE]") {
		t.Errorf("the killed instance's stream ended with %v, %q", err, rest[max(0, len(rest)-100):])
	}
	<-sent
	f.fault(f.backends["ledger"], `{}`)
	for _, id := range []string{near2, far} {
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

// The peer that forwards a stream is killed, or the link to it is cut. The
// caller gets the whole answer: the rest comes from the same engine through the
// other peer, and the engine ran one generation.
func TestForwardedStreamSurvives(t *testing.T) {
	const tokens = 3000
	for _, fault := range []string{"kill", "cut"} {
		t.Run(fault, func(t *testing.T) {
			f := startTwoDomains(t)
			before := f.started()
			lines, first := f.begin(f.instances[far], tokens)
			victim := f.forwarder()
			if fault == "kill" {
				f.instances[victim].signal(t, syscall.SIGKILL)
			} else {
				f.links[victim].cut()
			}
			f.checkWhole(lines, first, tokens)
			if n := f.started() - before; n != 1 {
				t.Errorf("%d generations", n)
			}
		})
	}
}

// The peer that forwards a stream freezes. Its connection stays open, so only the
// missing answer to a ping tells; then the rest comes through the other peer.
// Woken up, the frozen peer does no harm and serves again.
func TestFrozenPeerIsReplaced(t *testing.T) {
	const tokens = 3000
	f := startTwoDomains(t)
	before := f.started()
	lines, first := f.begin(f.instances[far], tokens)
	victim := f.forwarder()
	f.instances[victim].signal(t, syscall.SIGSTOP)
	f.checkWhole(lines, first, tokens)
	if n := f.started() - before; n != 1 {
		t.Errorf("%d generations", n)
	}
	f.instances[victim].signal(t, syscall.SIGCONT)
	f.awaitServed(f.instances[victim], f.key, "/v1/completions", completion("x", 1, false))
}

// The link to the peer that forwards a withdrawal order is cut while the order
// runs. The caller is told that the run state is unknown, and nothing sends the
// order again. Sent again by the caller under its key, it is refused with 409 and
// never as not run: the peer made the claim before it dispatched.
func TestCutLinkUnderAnOrder(t *testing.T) {
	f := startTwoDomains(t)
	f.fault(f.backends["ledger"], `{"delay":1000000000}`)
	key := newKey(t)
	type result struct {
		status int
		answer string
	}
	sent := make(chan result)
	go func() {
		status, answer := f.order(f.instances[far], key, "tins")
		sent <- result{status, answer}
	}()
	f.await("the order at the server", func() bool {
		var health struct{ Running int }
		f.read(f.backends["ledger"]+"/v1/health", &health)
		return health.Running > 0
	})
	f.links[f.forwarder()].cut()
	if got := <-sent; got.status == http.StatusOK || !strings.Contains(got.answer, `"run":"unknown"`) {
		t.Errorf("the cut order: %d %s", got.status, got.answer)
	}
	for _, id := range []string{far, near1, near2} {
		status, answer := f.order(f.instances[id], key, "tins")
		if status != http.StatusConflict || strings.Contains(answer, `"run":"not_run"`) {
			t.Errorf("%s: %d %s", id, status, answer)
		}
	}
	if n := f.runs("tins"); n > 1 {
		t.Errorf("%d runs", n)
	}
}

// An instance is cut from the platform, and then the store is down for all.
// Streams go on whole, and so do new model requests and orders without a key. An order that needs a claim is
// refused as not run, with a time to come back, and reaches no server; when the
// fault is over the same key runs, once.
func TestServesWithoutThePlatform(t *testing.T) {
	const tokens = 1500
	f := startTwoDomains(t)
	lines, first := f.begin(f.instances[far], tokens)
	f.platform.cut()
	f.awaitServed(f.instances[far], f.key, "/v1/completions", completion("x", 4, false))
	f.awaitServed(f.instances[far], f.key, orderPath, `{"id":"no-key"}`)
	f.fault(f.fleet.platform, `{"outage":true}`)
	key := newKey(t)
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
	f.checkWhole(lines, first, tokens)
	f.fault(f.fleet.platform, `{}`)
	f.platform.heal()
	f.await("the order", func() bool { status, _ := f.order(f.instances[far], key, "flour"); return status == http.StatusOK })
	if n := f.runs("flour"); n != 1 {
		t.Errorf("%d runs", n)
	}
}
