package e2e

import (
	"io"
	"net/http"
	"strings"
	"syscall"
	"testing"
)

const hurriedLedger = `kind: service
name: recall-ledger
type: plain
classes:
  interactive: {max_wait: 1s, deadline: 3s}
operations:
  withdraw-batch: {repeatable: false, cost: 10}
`

// A plain service is frozen when a withdrawal order is sent to it. At the deadline the
// caller gets run state unknown. After SIGCONT the service may still run the order
// that it received; a retry with the same idempotency key never runs it a second time.
func TestFrozenServiceRunsAnOrderOnce(t *testing.T) {
	f := startTwoDomains(t)
	f.mustCLI("apply", "--wait", "--instance", f.instances[backendEntry1].operator(), f.write("hurried", hurriedLedger))
	key := newIdempotencyKey(t)
	f.processes["ledger"].signal(t, syscall.SIGSTOP)
	status, answer := f.order(f.instances[remoteEntry], key, "tins")
	if status == http.StatusOK || !strings.Contains(answer, `"run":"unknown"`) {
		t.Errorf("at the frozen service: %d %s", status, answer)
	}
	f.processes["ledger"].signal(t, syscall.SIGCONT)
	for id, m := range f.instances {
		f.await("a refusal by "+id, func() bool {
			status, answer := f.order(m, key, "tins")
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

// A second SIGTERM aborts the graceful shutdown while a long stream is open. The
// caller gets an explicit event that the response is incomplete, and the exit code of
// the process is not 0.
func TestSecondSignalCuts(t *testing.T) {
	f := startTwoDomains(t)
	m := f.instances[backendEntry1]
	lines, _ := f.startStream(m, 4000)
	m.signal(t, syscall.SIGTERM)
	f.await("the stop", func() bool {
		status, answer := f.post(m, f.key, "/v1/completions", completion("x", 1, false))
		return status == http.StatusServiceUnavailable && strings.Contains(answer, `"code":"leaving"`)
	})
	m.signal(t, syscall.SIGTERM)
	rest, err := io.ReadAll(lines)
	if err != nil {
		t.Errorf("the connection broke: %v", err)
	}
	if events := string(rest); !strings.Contains(events, "event: incomplete") || strings.Contains(events, "[DONE]") {
		t.Errorf("ends with %q", events[max(0, len(events)-200):])
	}
	err = <-m.exited
	m.exited <- err
	if err == nil {
		t.Error("the process ended with code 0 although it cut a request")
	}
}
