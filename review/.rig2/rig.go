// Command rig2 plays the cases of the second review against real processes of basilroute.
package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// check ends the case if it cannot run.
func check(err error) {
	if err != nil {
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
		if current != nil {
			current.stopAll()
		}
		os.Exit(exitNotRun)
	}
}

var current *rig

// rig holds what a case has started.
type rig struct {
	store   *store
	trouble bool
	dir     string // temporary folder
	began   time.Time

	mu        sync.Mutex
	record    *os.File
	instances []*instance // that callers may be sent to
	started   []*instance // all, to be ended with the case
	made      int         // instances so far
	seeds     []string    // control addresses of the first machines
}

// instance is a process of basilrouted.
type instance struct {
	rig      *rig
	name     string
	region   string
	zone     string
	front    string
	ready    string
	file     string
	command  *exec.Cmd
	log      *os.File
	settings string
	gone     bool // removed for good; guarded by the rig's mutex
}

func (g *rig) note(format string, args ...any) {
	g.mu.Lock()
	defer g.mu.Unlock()
	fmt.Fprintf(g.record, "%8.3f "+format+"\n", append([]any{time.Since(g.began).Seconds()}, args...)...)
}

// Ports are drawn below those that the kernel gives to outgoing connections, which could take the port of a
// process while it is restarted.
const (
	firstPort = 12000
	lastPort  = 30000
)

// listen listens at a free port.
func listen() net.Listener {
	for range 200 {
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", firstPort+rand.IntN(lastPort-firstPort)))
		if err == nil {
			return l
		}
	}
	check(errors.New("no free port"))
	return nil
}

func freePorts(n int) []string {
	var out []string
	var held []net.Listener
	for range n {
		l := listen()
		held = append(held, l)
		out = append(out, l.Addr().String())
	}
	for _, l := range held {
		_ = l.Close()
	}
	return out
}

// zones of the small deployment, with their regions.
var zones = map[string]string{"suva-a": "viti-levu", "labasa-a": "vanua-levu"}

// addInstances starts instances of a zone at new addresses, and waits until they are ready. Only the first ones
// start a system in which nothing ran before.
func (g *rig) addInstances(zone string, count int) {
	first := g.seeds == nil
	var made []*instance
	for range count {
		p := freePorts(6)
		g.made++
		n := &instance{rig: g, name: fmt.Sprintf("front-%s-%d", zone, g.made), zone: zone, region: zones[zone], front: p[0], ready: p[1]}
		if first && len(g.seeds) < maxSeeds {
			g.seeds = append(g.seeds, p[3])
		}
		n.settings = g.settings(n, p)
		n.file = filepath.Join(g.dir, n.name+".yaml")
		made = append(made, n)
	}
	for _, n := range made {
		n.writeSettings(first)
		n.start()
	}
	for _, n := range made {
		n.awaitReady()
	}
	g.mu.Lock()
	g.instances = append(g.instances, made...)
	g.mu.Unlock()
}

// maxSeeds is how many machines the settings name at most.
const maxSeeds = 3

func (n *instance) writeSettings(first bool) {
	seeds, _ := json.Marshal(n.rig.seeds)
	text := strings.ReplaceAll(n.settings, "{{seeds|json}}", string(seeds))
	text = strings.ReplaceAll(text, "{{bootstrap|json}}", strconv.FormatBool(first))
	check(os.WriteFile(n.file, []byte(text), 0o600))
}

// restart starts a process that has ended again.
func (n *instance) restart() {
	n.writeSettings(false)
	n.start()
}

// settings fills in the project's own template as the platform does.
func (g *rig) settings(n *instance, p []string) string {
	template, err := os.ReadFile("deploy/settings.yaml.tmpl")
	check(err)
	domains, _ := json.Marshal(zones)
	_, relayPort, _ := net.SplitHostPort(p[4])
	text := string(template)
	for name, value := range map[string]string{
		"node": n.name, "region": n.region, "zone": n.zone, "zones|json": string(domains),
		"listen.front": p[0], "listen.ready": p[1], "listen.directory": p[2], "listen.control": p[3],
		"ip": "127.0.0.1", "port_range.0": relayPort, "platform.address": g.store.address, "platform.ttl_min_ms": "1000",
		"limits.memory_mb": "284", "limits.link_mbps": "1000", "bounds.grace_s": "8",
		"bounds.ttl_max_s": "5", "bounds.budget_ratio": "0.2", "bounds.budget_slack": "58", "bounds.budget_window_s": "10",
	} {
		text = strings.ReplaceAll(text, "{{"+name+"}}", value)
	}
	return strings.ReplaceAll(text, "127.0.0.1:9464", p[5]) // one port for each process on this machine
}

func (n *instance) start() {
	log, err := os.OpenFile(filepath.Join(n.rig.dir, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	check(err)
	n.log = log
	n.command = exec.Command("target/basilrouted", "platform")
	n.command.Env = append(os.Environ(), "BASILROUTE_NODE_FILE="+n.file)
	n.command.Stdout, n.command.Stderr = log, log
	check(n.command.Start())
	n.rig.mu.Lock()
	if !slices.Contains(n.rig.started, n) {
		n.rig.started = append(n.rig.started, n)
	}
	n.rig.mu.Unlock()
	n.rig.note("start %s pid %d", n.name, n.command.Process.Pid)
}

// kill ends the process without notice.
func (n *instance) kill() {
	_ = n.command.Process.Signal(syscall.SIGKILL)
	_ = n.command.Wait()
	_ = n.log.Close()
	n.rig.note("kill %s", n.name)
}

func (n *instance) awaitReady() {
	for deadline := time.Now().Add(10 * time.Second); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		resp, err := http.Get("http://" + n.ready + "/basilroute/readiness")
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return
		}
	}
	check(fmt.Errorf("%s is not ready", n.name))
}

func (g *rig) stopAll() {
	g.mu.Lock()
	started := slices.Clone(g.started)
	g.mu.Unlock()
	for _, n := range started {
		if n.command.ProcessState == nil {
			n.kill()
		}
	}
}

// answer is what a client has got.
type answer struct {
	status   int
	header   http.Header
	body     string
	complete bool
}

const (
	host = "recall.example"
	key  = "key-of-grocers"
)

// send makes one client attempt with POST.
func (g *rig) send(to, path, id, body string, timeout time.Duration) answer {
	return g.request(http.MethodPost, to, path, id, body, timeout)
}

// request makes one client attempt on a new channel, and notes it.
func (g *rig) request(method, to, path, id, body string, timeout time.Duration) answer {
	g.note("sent %s %s %s to %s", id, method, path, to)
	a := attempt(method, to, path, id, body, timeout)
	g.note("answered %s: status %d, complete %t, proof %q", id, a.status, a.complete, a.header.Get(stampHeader))
	return a
}

func attempt(method, to, path, id, body string, timeout time.Duration) answer {
	c, err := net.DialTimeout("tcp", to, time.Second)
	if err != nil {
		return answer{}
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(timeout + time.Second))
	var out bytes.Buffer
	fmt.Fprintf(&out, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Basilroute-Request-Id: %s\r\nX-Basilroute-Deadline-Ms: %d\r\nAuthorization: Bearer %s\r\n",
		method, path, host, id, timeout.Milliseconds(), key)
	if method == http.MethodPost {
		fmt.Fprintf(&out, "Content-Length: %d\r\n", len(body))
	}
	out.WriteString("\r\n" + body)
	if _, err := c.Write(out.Bytes()); err != nil {
		return answer{}
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), &http.Request{Method: method})
	if err != nil {
		return answer{}
	}
	var content bytes.Buffer
	_, err = content.ReadFrom(resp.Body)
	return answer{status: resp.StatusCode, header: resp.Header, body: content.String(), complete: err == nil}
}

// anyInstance draws the instance that a client connects to.
func (g *rig) anyInstance() *instance { return g.instances[rand.IntN(len(g.instances))] }

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

var cases = map[string]func(*rig) (bool, string){"split": split, "restarts": restarts, "spoilt": spoilt, "popular": popular, "replaced": replaced}

// longest bounds a case, which ends all that it started before the limit of 120 seconds.
const longest = 115 * time.Second

// endWith ends a case that was interrupted or takes too long.
func (g *rig) endWith(cause <-chan os.Signal) {
	select {
	case <-cause:
	case <-time.After(longest):
	}
	fmt.Fprintln(os.Stderr, "the case did not end in time")
	g.stopAll()
	os.Exit(exitNotRun)
}

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: rig2 CASE FOLDER")
		os.Exit(exitNotRun)
	}
	play := cases[os.Args[1]]
	if play == nil {
		fmt.Fprintln(os.Stderr, "no such case")
		os.Exit(exitNotRun)
	}
	dir, err := os.MkdirTemp("", "rig2-")
	check(err)
	record, err := os.Create(filepath.Join(os.Args[2], "record.txt"))
	check(err)
	g := &rig{trouble: os.Getenv("TROUBLE") != "0", dir: dir, began: time.Now(), record: record}
	current = g
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGTERM, syscall.SIGINT)
	go g.endWith(interrupted)
	g.store = startStore()
	broken, result := play(g)
	g.note("%s", result)
	g.stopAll()
	_ = record.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(dir)
	} else {
		fmt.Println("kept", dir)
	}
	fmt.Println(result)
	if broken {
		os.Exit(exitBroken)
	}
	os.Exit(exitHeld)
}
