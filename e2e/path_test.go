package e2e

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"syscall"
	"testing"

	"github.com/basilroute/basilroute/standin/engine"
)

const fleetDocument = `kind: fleet
name: fleet
regions:
  suva-a: {domains: [suva-a-1, suva-a-2]}
  labasa-a: {domains: [labasa-a-1]}
  lakeba-a: {domains: [lakeba-a-1]}
`

const modelDocument = "kind: service\nname: notice-writer\ntype: model\n"

const ledgerDocument = `kind: service
name: recall-ledger
type: plain
operations:
  withdraw-batch: {repeatable: false, cost: 10}
`

// threeRegions starts six instances in three regions and four failure domains
// with their backend servers, and applies the documents.
func threeRegions(t *testing.T) (*fleet, string) {
	f := newFleet(t)
	for _, d := range []struct{ region, domain string }{
		{"suva-a", "suva-a-1"}, {"suva-a", "suva-a-2"}, {"labasa-a", "labasa-a-1"}, {"lakeba-a", "lakeba-a-1"},
	} {
		f.addBackend("engine", d.domain+"-engine", "notice-writer", d.region, d.domain)
		f.addInstance(d.domain+"-entry-1", d.region, d.domain)
	}
	f.addInstance("suva-a-1-entry-2", "suva-a", "suva-a-1")
	f.addInstance("labasa-a-1-entry-2", "labasa-a", "labasa-a-1")
	f.addBackend("plain", "ledger", "recall-ledger", "lakeba-a", "lakeba-a-1")
	f.startPlatform()
	f.startInstances()
	document, key := account("suva-grocers", "", 200000, 2000000)
	var operator string
	f.await("all instances", func() bool {
		for _, m := range f.instances {
			status := f.status(m)
			if status == nil || len(status.Instances) != len(f.instances) {
				return false
			}
			operator = m.operator()
		}
		return true
	})
	f.mustCLI("apply", "--wait", "--instance", operator,
		f.write("fleet", fleetDocument), f.write("model", modelDocument), f.write("ledger", ledgerDocument), f.write("account", document))
	return f, key
}

func completion(prompt string, tokens int, stream bool) string {
	return fmt.Sprintf(`{"model":"notice-writer","prompt":%q,"max_tokens":%d,"stream":%t}`, prompt, tokens, stream)
}

// awaitServed sends a request until an instance serves it: backend servers and quota
// take some time to reach every instance.
func (f *fleet) awaitServed(m *member, key, path, body string) string {
	f.t.Helper()
	answer := ""
	f.await("an answer of "+m.id, func() bool {
		var status int
		status, answer = f.post(m, key, path, body)
		return status == http.StatusOK
	})
	return answer
}

// openStream sends a request until it is not refused, since the first quota tokens
// have to be minted.
func (f *fleet) openStream(m *member, key, body string) *http.Response {
	f.t.Helper()
	var resp *http.Response
	f.await("a stream of "+m.id, func() bool {
		var err error
		resp, err = call(f.t.Context(), m.callers(), key, "/v1/completions", body)
		if err == nil && resp.StatusCode != http.StatusOK {
			_ = resp.Body.Close()
		}
		return err == nil && resp.StatusCode == http.StatusOK
	})
	return resp
}

func completeText(prompt string, tokens int) string {
	var b strings.Builder
	for i := range tokens {
		b.WriteString(engine.Token(prompt, i))
	}
	return b.String()
}

// A caller gets the complete response to its own prompt through every instance, also
// when the backend server is in another region: the plain service runs in one region
// only, so that five of the six instances have to forward to a peer.
func TestEveryInstanceServesEveryService(t *testing.T) {
	f, key := threeRegions(t)
	for id, m := range f.instances {
		answer := f.awaitServed(m, key, "/v1/completions", completion("hello "+id, 8, false))
		if !strings.Contains(answer, completeText("hello "+id, 8)) {
			t.Errorf("%s: incomplete response: %s", id, answer)
		}
		answer = f.awaitServed(m, key, "/v1/services/recall-ledger/operations/withdraw-batch", `{"id":"`+id+`"}`)
		if !strings.Contains(answer, `"runs":1`) {
			t.Errorf("%s: the operation did not run exactly once: %s", id, answer)
		}
	}
}

// An operator withdraws a key while its caller reads a long stream. The stream ends
// with an explicit event that names the reason, and the caller's next request on any
// instance is refused with 401: the withdrawal is pushed to every peer before the
// command returns.
func TestWithdrawnKeyCutsOpenStream(t *testing.T) {
	f, key := threeRegions(t)
	m := f.instances["suva-a-1-entry-1"]
	f.awaitServed(m, key, "/v1/completions", completion("warm", 1, false))
	resp := f.openStream(m, key, completion("a long dossier", 4000, true))
	defer resp.Body.Close()
	lines := bufio.NewReader(resp.Body)
	if line, err := lines.ReadString('\n'); err != nil || !strings.HasPrefix(line, "data: ") {
		t.Fatalf("no first event: %q %v", line, err)
	}
	f.mustCLI("keys", "withdraw", "suva-grocers-1", "--instance", f.instances["lakeba-a-1-entry-1"].operator())
	rest, err := io.ReadAll(lines)
	if err != nil {
		t.Fatal(err)
	}
	if !strings.Contains(string(rest), "event: incomplete") || !strings.Contains(string(rest), "key_withdrawn") {
		t.Errorf("the stream did not end with the reason: %s", rest[max(0, len(rest)-300):])
	}
	for id, m := range f.instances {
		if status, answer := f.post(m, key, "/v1/completions", completion("x", 1, false)); status != http.StatusUnauthorized {
			t.Errorf("%s: status %d after the withdrawal: %s", id, status, answer)
		}
	}
}

// An instance gets SIGTERM while it streams a response. The caller still gets the
// complete stream, and the process exits with code 0 only after the last frame.
func TestPlannedStopCutsNothing(t *testing.T) {
	f, key := threeRegions(t)
	m := f.instances["suva-a-2-entry-1"]
	f.awaitServed(m, key, "/v1/completions", completion("warm", 1, false))
	const tokens = 400
	resp := f.openStream(m, key, completion("dossier", tokens, true))
	defer resp.Body.Close()
	lines := bufio.NewReader(resp.Body)
	first, err := lines.ReadString('\n')
	if err != nil {
		t.Fatal(err)
	}
	m.signal(t, syscall.SIGTERM)
	rest, err := io.ReadAll(lines)
	if err != nil {
		t.Fatalf("the stream was cut: %v", err)
	}
	if got := strings.Count(first+string(rest), `"text":`); got != tokens {
		t.Errorf("%d of %d tokens", got, tokens)
	}
	if !strings.HasSuffix(string(rest), "data: [DONE]\n\n") {
		t.Error("the stream does not end with [DONE]")
	}
	err = <-m.exited
	m.exited <- err
	if err != nil {
		t.Errorf("the stopped process ended with %v", err)
	}
}

// A document with several faults is not applied: the command prints each finding with
// its position and exits with code 2, and the store keeps the old document.
func TestInvalidDocumentIsNotApplied(t *testing.T) {
	f, _ := threeRegions(t)
	bad := f.write("bad.yaml", "kind: service\nname: notice-writer\ntype: engine\nclases: {}\nretry: {budget: 7}\n")
	out, err := f.cli("apply", bad)
	var exit interface{ ExitCode() int }
	if !errors.As(err, &exit) || exit.ExitCode() != 2 {
		t.Errorf("exit: %v", err)
	}
	for _, want := range []string{"bad.yaml:3:1: type:", "bad.yaml:4:1: clases: unknown field", "bad.yaml:5:9: retry.budget:"} {
		if !strings.Contains(out, want) {
			t.Errorf("no finding %q in:\n%s", want, out)
		}
	}
	if got := f.mustCLI("get", "service", "notice-writer"); !strings.Contains(got, modelDocument) {
		t.Errorf("the document changed: %s", got)
	}
}

// An operator issues a key, withdraws it and tries to issue its id again. The list of
// keys shows which one is valid and which one was withdrawn.
func TestKeysAreListed(t *testing.T) {
	f, _ := threeRegions(t)
	f.mustCLI("keys", "issue", "suva-grocers", "till-2")
	f.mustCLI("keys", "withdraw", "till-2", "--instance", f.instances["lakeba-a-1-entry-1"].operator())
	list := f.mustCLI("keys", "list", "suva-grocers")
	for _, want := range []string{"suva-grocers-1  suva-grocers  valid", "till-2          suva-grocers  withdrawn"} {
		if !strings.Contains(list, want) {
			t.Errorf("no %q in\n%s", want, list)
		}
	}
	if out, err := f.cli("keys", "issue", "suva-grocers", "till-2"); err == nil {
		t.Errorf("a withdrawn id was issued again: %s", out)
	}
}

// A document is applied after one instance was killed. The command must not report
// the document in force on that instance; it names the instance and exits with code 4
// at its timeout.
func TestApplyWaitNamesInstancesNotInForce(t *testing.T) {
	f, _ := threeRegions(t)
	dead := f.instances["lakeba-a-1-entry-1"]
	dead.signal(t, syscall.SIGKILL)
	out, err := f.cli("apply", "--wait", "--timeout", "8s", "--instance", f.instances["suva-a-1-entry-1"].operator(),
		f.write("model", modelDocument+"policy: cost\n"))
	var exit interface{ ExitCode() int }
	if !errors.As(err, &exit) || exit.ExitCode() != 4 {
		t.Errorf("exit: %v", err)
	}
	if !strings.Contains(out, "5 of 6 instances") || !strings.Contains(out, "not in force on lakeba-a-1-entry-1 (unreachable)") {
		t.Errorf("printed: %s", out)
	}
}
