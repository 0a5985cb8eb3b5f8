package e2e

import (
	"bufio"
	"io"
	"net/http"
	"strings"
	"syscall"
	"testing"
)

// Guards against a request in flight that is cut because SIGHUP ends the process, before a graceful
// shutdown or during it.
func TestHangupCutsNothing(t *testing.T) {
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
	m.signal(t, syscall.SIGHUP)
	m.signal(t, syscall.SIGTERM)
	f.await("the shutdown", func() bool {
		status, _ := f.post(m, key, "/v1/completions", completion("late", 1, false))
		return status == http.StatusServiceUnavailable
	})
	m.signal(t, syscall.SIGHUP)
	rest, err := io.ReadAll(lines)
	if err != nil {
		t.Fatalf("the stream was cut: %v", err)
	}
	if got := strings.Count(first+string(rest), `"text":`); got != tokens {
		t.Errorf("%d of %d tokens", got, tokens)
	}
	err = <-m.exited
	m.exited <- err
	if err != nil {
		t.Errorf("the stopped process ended with %v", err)
	}
}
