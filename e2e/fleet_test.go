package e2e

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/basilroute/basilroute/protocol/operatorapi"
	"github.com/basilroute/basilroute/state/catalog"
)

const (
	startTimeout  = 60 * time.Second // long enough for a loaded CI machine
	pollInterval  = 20 * time.Millisecond
	callersPort   = 18080
	peersPort     = 18081
	operatorPort  = 18082
	backendPort   = 18090
	operatorToken = "e2e-operator"
)

var binaries string // directory of the built commands

func TestMain(m *testing.M) {
	os.Exit(buildAndRun(m))
}

func buildAndRun(m *testing.M) int {
	dir, err := os.MkdirTemp("", "basilroute-e2e")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	build := exec.Command("go", "build", "-o", dir, "../cmd/basilrouted", "../cmd/basilroute")
	if out, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "%s\n%v\n", out, err)
		return 1
	}
	binaries = dir
	return m.Run()
}

// process is one program of the fleet.
type process struct {
	id      string
	command *exec.Cmd
	log     *bytes.Buffer
	exited  chan error
}

func (p *process) signal(t *testing.T, s syscall.Signal) {
	t.Helper()
	if err := p.command.Process.Signal(s); err != nil {
		t.Fatalf("%s: %v", p.id, err)
	}
}

// fleet is a deployment of separate processes. Each process has its own loopback
// address, so that the fixed ports cannot collide.
type fleet struct {
	t             *testing.T
	dir           string
	addressPrefix string // first three bytes of the fleet's addresses
	nextHost      int
	listed        strings.Builder
	platform      string // URL
	instances     map[string]*member
	backends      map[string]string // id to URL
	processes     map[string]*process
}

// member is an entry instance.
type member struct {
	*process
	host, region, domain string
	advertise            string // address advertised to peers if it is that of a relay
	platform             string // URL of the platform if it is that of a relay
}

func (m *member) callers() string  { return fmt.Sprintf("http://%s:%d", m.host, callersPort) }
func (m *member) operator() string { return fmt.Sprintf("http://%s:%d", m.host, operatorPort) }

func newFleet(t *testing.T) *fleet {
	pid := os.Getpid()
	f := &fleet{
		t: t, dir: t.TempDir(), addressPrefix: fmt.Sprintf("127.%d.%d", 64+pid/200%64, 1+pid%200), nextHost: 10,
		instances: make(map[string]*member), backends: make(map[string]string), processes: make(map[string]*process),
	}
	t.Cleanup(f.stop)
	return f
}

func (f *fleet) nextAddress() string {
	f.nextHost++
	return fmt.Sprintf("%s.%d", f.addressPrefix, f.nextHost)
}

func (f *fleet) run(id, binary string, args ...string) *process {
	f.t.Helper()
	p := &process{id: id, command: exec.Command(filepath.Join(binaries, binary), args...), log: &bytes.Buffer{}, exited: make(chan error, 1)}
	p.command.Stderr = p.log
	p.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.command.Start(); err != nil {
		f.t.Fatalf("%s: %v", id, err)
	}
	go func() { p.exited <- p.command.Wait() }()
	f.processes[id] = p
	return p
}

func (f *fleet) stop() {
	for id, p := range f.processes {
		_ = p.command.Process.Kill()
		err := <-p.exited
		p.exited <- err
		if f.t.Failed() {
			f.t.Logf("log of %s:\n%s", id, p.log)
		}
	}
}

// addBackend starts a stand-in of a backend server.
func (f *fleet) addBackend(kind, id, service, region, domain string) {
	address := fmt.Sprintf("%s:%d", f.nextAddress(), backendPort)
	f.run(id, "basilroute", "standin", kind, "--listen", address)
	f.backends[id] = "http://" + address
	fmt.Fprintf(&f.listed, "  - {id: %s, role: backend, region: %s, domain: %s, address: 'http://%s', service: %s, version: v1}\n",
		id, region, domain, address, service)
}

// addInstance adds an entry instance to the list; startInstances starts all of them.
func (f *fleet) addInstance(id, region, domain string) {
	m := &member{host: f.nextAddress(), region: region, domain: domain}
	f.instances[id] = m
	f.listInstance(id, m, fmt.Sprintf("%s:%d", m.host, peersPort))
}

func (f *fleet) listInstance(id string, m *member, address string) {
	fmt.Fprintf(&f.listed, "  - {id: %s, role: entry, region: %s, domain: %s, address: '%s'}\n", id, m.region, m.domain, address)
}

func (f *fleet) write(name, content string) string {
	f.t.Helper()
	path := filepath.Join(f.dir, name)
	if err := os.WriteFile(path, []byte(content), 0o600); err != nil {
		f.t.Fatal(err)
	}
	return path
}

func (f *fleet) startPlatform() {
	address := fmt.Sprintf("%s:%d", f.nextAddress(), backendPort)
	f.platform = "http://" + address
	config := f.write("platform.yaml", "instances:\n"+f.listed.String())
	f.run("platform", "basilroute", "standin", "platform", "--listen", address, "--config", config)
	f.await("the platform", func() bool {
		resp, err := http.Get(f.platform + "/v1/instances")
		if err != nil {
			return false
		}
		_ = resp.Body.Close()
		return resp.StatusCode == http.StatusOK
	})
}

func (f *fleet) startInstances() {
	for id, m := range f.instances {
		m.process = f.startInstance(id, m)
	}
}

func (f *fleet) startInstance(id string, m *member) *process {
	sum := sha256.Sum256([]byte(operatorToken))
	platform := m.platform
	if platform == "" {
		platform = f.platform
	}
	settings := fmt.Sprintf(`id: %s
region: %s
domain: %s
callers: {listen: '%s:%d', tls: {plain_text: true}}
peers: {listen: '%s:%d', advertise: '%s', tls: {plain_text: true}}
operator: {listen: '%s:%d', token_sha256: %s, tls: {plain_text: true}}
platform: {url: '%s'}
log: {format: json}
`, id, m.region, m.domain, m.host, callersPort, m.host, peersPort, m.advertise, m.host, operatorPort, hex.EncodeToString(sum[:]), platform)
	return f.run(id, "basilrouted", "--config", f.write(id+".yaml", settings))
}

// await polls a condition and fails the test after startTimeout.
func (f *fleet) await(what string, ok func() bool) {
	f.t.Helper()
	for deadline := time.Now().Add(startTimeout); time.Now().Before(deadline); time.Sleep(pollInterval) {
		if ok() {
			return
		}
	}
	f.t.Fatalf("timed out after %s waiting for %s", startTimeout, what)
}

// cli runs the operators' command and returns what it printed.
func (f *fleet) cli(args ...string) (string, error) {
	command := exec.Command(filepath.Join(binaries, "basilroute"), args...)
	command.Env = append(os.Environ(), "BASILROUTE_PLATFORM="+f.platform, "BASILROUTE_TOKEN="+operatorToken)
	out, err := command.CombinedOutput()
	return string(out), err
}

func (f *fleet) mustCLI(args ...string) string {
	f.t.Helper()
	out, err := f.cli(args...)
	if err != nil {
		f.t.Fatalf("basilroute %s: %v\n%s", strings.Join(args, " "), err, out)
	}
	return out
}

type bearer string

func (b bearer) Token(context.Context, operatorapi.OperationName) (operatorapi.Token, error) {
	return operatorapi.Token{Token: string(b)}, nil
}

// status returns the status of an instance, nil if it does not respond.
func (f *fleet) status(m *member) *operatorapi.Status {
	client, err := operatorapi.NewClient(m.operator(), bearer(operatorToken))
	if err != nil {
		f.t.Fatal(err)
	}
	status, err := client.GetStatus(f.t.Context())
	if err != nil {
		return nil
	}
	return status
}

// call sends a caller's request.
func call(ctx context.Context, base, key, path, body string) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, base+path, strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Authorization", "Bearer "+key)
	req.Header.Set("Content-Type", "application/json")
	return http.DefaultClient.Do(req)
}

// post sends a request and returns the status and the body of the response.
func (f *fleet) post(m *member, key, path, body string) (int, string) {
	resp, err := call(f.t.Context(), m.callers(), key, path, body)
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

// account returns an account document and the key that its caller presents.
func account(name, home string, rate, burst int) (document, presented string) {
	presented, key := catalog.NewKey(name + "-1")
	return fmt.Sprintf("kind: account\nname: %s\nhome: %q\nrate: %d\nburst: %d\nkeys:\n  - {id: %s, sha256: %s}\n",
		name, home, rate, burst, key.ID, key.SHA256), presented
}
