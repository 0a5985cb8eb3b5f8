// Command cases plays the scripted cases of the review: it starts the project's own program as separate processes, with
// stand-ins for the store, the workers and the clients, and checks one rule. It exits with 1 if the rule was broken,
// with 0 if it held and with 2 if the case could not run.
package main

import (
	"bufio"
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"runtime"
	"sync"
	"time"
)

// caseRun is one run of a case.
type caseRun struct {
	root    string // of the repository
	dir     string // temporary
	command string // of the deploy file
	prefix  string // of the loopback addresses
	ip      string // of the stand-ins
	trouble bool
	started time.Time

	store  *store
	fronts []*front

	mu       sync.Mutex
	out      *bufio.Writer
	arrivals []arrival
}

// record writes a line to record.txt.
func (run *caseRun) record(format string, args ...any) {
	run.mu.Lock()
	defer run.mu.Unlock()
	_, _ = fmt.Fprintf(run.out, "%8.3f  %s\n", time.Since(run.started).Seconds(), fmt.Sprintf(format, args...))
}

func (run *caseRun) arrived(a arrival) {
	run.mu.Lock()
	run.arrivals = append(run.arrivals, a)
	run.mu.Unlock()
	run.record("request %s (%s) reaches worker %s", a.id, a.path, a.worker)
}

// seen returns the arrivals so far.
func (run *caseRun) seen() []arrival {
	run.mu.Lock()
	defer run.mu.Unlock()
	return append([]arrival(nil), run.arrivals...)
}

var cases = map[string]func(*caseRun) (broken string, err error){}

// playLimit is when a case that hangs is ended.
const playLimit = 112 * time.Second

func main() {
	runtime.LockOSThread() // the processes that this thread starts end with it
	os.Exit(play())
}

func play() int {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: cases NAME ROOT RECORD")
		return 2
	}
	play, ok := cases[os.Args[1]]
	if !ok {
		fmt.Fprintln(os.Stderr, "no case", os.Args[1])
		return 2
	}
	run, err := newRun(os.Args[2], os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer run.end()
	time.AfterFunc(playLimit, func() {
		run.record("the case took too long")
		run.end()
		os.Exit(2)
	})
	broken, err := play(run)
	switch {
	case err != nil:
		run.record("the case could not run: %v", err)
		fmt.Println("could not run:", err)
		return 2
	case broken != "":
		run.record("rule broken: %s", broken)
		fmt.Println("rule broken:", broken)
		return 1
	}
	run.record("the rule held")
	fmt.Println("the rule held")
	return 0
}

var runLine = regexp.MustCompile(`(?m)^run = "([^"]+)"`)

func newRun(root, recordFile string) (*caseRun, error) {
	root, err := filepath.Abs(root)
	if err != nil {
		return nil, err
	}
	deploy, err := os.ReadFile(filepath.Join(root, "deploy", "system.toml"))
	if err != nil {
		return nil, err
	}
	found := runLine.FindSubmatch(deploy)
	if found == nil {
		return nil, fmt.Errorf("deploy/system.toml names no command")
	}
	file, err := os.Create(recordFile)
	if err != nil {
		return nil, err
	}
	run := &caseRun{root: root, command: string(found[1]), trouble: os.Getenv("TROUBLE") != "0", started: time.Now(), out: bufio.NewWriter(file)}
	if run.prefix, err = freeAddresses(); err != nil {
		return nil, err
	}
	run.ip = run.prefix + "200"
	if run.dir, err = os.MkdirTemp("", "basilroute-review"); err != nil {
		return nil, err
	}
	if run.store, err = startStore(run.ip + ":0"); err != nil {
		return nil, err
	}
	run.record("case %s, trouble %t", os.Args[1], run.trouble)
	return run, nil
}

// end ends all processes and removes the temporary folder.
func (run *caseRun) end() {
	for _, f := range run.fronts {
		f.kill()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(run.dir)
	}
	run.mu.Lock()
	defer run.mu.Unlock()
	_ = run.out.Flush()
}

// startFronts starts fronts and waits until all are ready and know each other.
func (run *caseRun) startFronts(count int) error {
	var seeds []string
	for n := 1; n <= count; n++ {
		seeds = append(seeds, fmt.Sprintf("%s%d:%d", run.prefix, n, portControl))
	}
	for n := 1; n <= count; n++ {
		if err := run.addFront(n, seeds); err != nil {
			return err
		}
	}
	limit := time.Now().Add(20 * time.Second)
	for _, f := range run.fronts {
		for !f.knowsAll(count) {
			if time.Now().After(limit) {
				return fmt.Errorf("%s is not ready", f.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

func (f *front) knowsAll(count int) bool {
	if !f.ready() {
		return false
	}
	addresses, _, err := f.resolve()
	return err == nil && len(addresses) == count
}

// Services and their sizes, as at the recall desk.
const (
	ledger      = "recall-ledger"
	ledgerSlots = 6
	writer      = "notice-writer"
	writerSlots = 64
)

// route returns a route of a configuration.
func route(name, kind, service string, timeout time.Duration, attempts int, resumable bool) map[string]any {
	out := map[string]any{"name": name, "host": host, "path_prefix": "/" + name + "/", "kind": kind, "timeout_ms": timeout.Milliseconds(),
		"target_latency_ms": 600, "priority": 1, "service": service, "max_attempts": attempts}
	if kind == "streaming" {
		out["gap_target_ms"], out["resumable"], out["sticky"] = 300, resumable, true
	}
	return out
}

// configure writes the first configuration.
func (run *caseRun) configure(routes ...map[string]any) {
	run.store.put("op/config", map[string]any{
		"version": 4, "routes": routes,
		"services": []any{
			map[string]any{"name": ledger, "health_path": "/health", "max_conns": 110},
			map[string]any{"name": writer, "health_path": "/health", "max_conns": 370, "cold_start_s": 3.0, "cold_per_s": 2.6,
				"engine": map[string]any{"slots": writerSlots, "kv_capacity": 248023, "kv_bytes": 163840, "link_mbps": 740000.0, "moves": true}},
		},
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 5000, "idle_timeout_ms": 60000},
		"tenants": []any{map[string]any{"name": "huka270", "api_keys": []string{apiKey}, "rate_per_s": 0, "burst": 0}},
	})
}
