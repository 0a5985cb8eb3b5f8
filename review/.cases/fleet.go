package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Ports of each front, on its own loopback address.
const (
	portFront     = 8221
	portDirectory = 8220
	portReady     = 8224
	portControl   = 8229
	portRelay     = 7600
	portMetrics   = 9464
)

// Settings of the recall desk's installation that the cases rely on.
const (
	region = "viti-levu"
	zone   = "suva-a"

	grace     = 8 * time.Second
	drain     = 4 * time.Second
	contact   = 6 * time.Second
	ttlMax    = 5 * time.Second
	frontsMax = 3
)

// front is a machine of class front: one process of the project.
type front struct {
	run      *caseRun
	name, ip string
	settings string

	mu      sync.Mutex
	command *exec.Cmd
	ended   chan struct{}
}

// freeAddresses returns a loopback prefix on which the ports of all fronts are free.
func freeAddresses() (string, error) {
	for n := range 200 {
		prefix := fmt.Sprintf("127.%d.%d.", 64+(os.Getpid()+n)%128, (os.Getpid()/128+7*n)%250)
		if allFree(prefix) {
			return prefix, nil
		}
	}
	return "", fmt.Errorf("no free loopback addresses")
}

func allFree(prefix string) bool {
	for i := 1; i <= frontsMax; i++ {
		for _, port := range []int{portFront, portDirectory, portReady, portControl, portRelay, portMetrics} {
			l, err := net.Listen("tcp", fmt.Sprintf("%s%d:%d", prefix, i, port))
			if err != nil {
				return false
			}
			_ = l.Close()
		}
	}
	return true
}

var placeholder = regexp.MustCompile(`\{\{([a-z_.0-9]+)(\|json)?\}\}`)

// render fills in the project's template for settings from the platform's fields.
func render(template string, fields map[string]any) string {
	return placeholder.ReplaceAllStringFunc(template, func(found string) string {
		m := placeholder.FindStringSubmatch(found)
		value, ok := fields[m[1]]
		if !ok {
			return ""
		}
		if m[2] != "" {
			encoded, _ := json.Marshal(value)
			return string(encoded)
		}
		return fmt.Sprint(value)
	})
}

func (run *caseRun) addFront(n int, seeds []string) error {
	f := &front{run: run, name: fmt.Sprintf("front-%s-%d", zone, n), ip: fmt.Sprintf("%s%d", run.prefix, n)}
	template, err := os.ReadFile(filepath.Join(run.root, "deploy", "settings.yaml.tmpl"))
	if err != nil {
		return err
	}
	at := func(port int) string { return fmt.Sprintf("%s:%d", f.ip, port) }
	text := render(string(template), map[string]any{
		"node": f.name, "region": region, "zone": zone, "ip": f.ip, "zones": map[string]string{zone: region},
		"listen.front": at(portFront), "listen.ready": at(portReady), "listen.directory": at(portDirectory), "listen.control": at(portControl),
		"port_range.0": portRelay, "seeds": seeds, "platform.address": run.store.address, "platform.ttl_min_ms": 1000, "bootstrap": true,
		"limits.memory_mb": 284, "limits.link_mbps": 1000.0, "bounds.grace_s": int(grace.Seconds()), "bounds.ttl_max_s": int(ttlMax.Seconds()),
		"bounds.budget_ratio": 0.2, "bounds.budget_slack": 58, "bounds.budget_window_s": 10,
	})
	f.settings = filepath.Join(run.dir, f.name+".yaml")
	if err := os.WriteFile(f.settings, []byte(text), 0o600); err != nil {
		return err
	}
	run.fronts = append(run.fronts, f)
	return f.start()
}

// start starts the process with the command of the deploy file.
func (f *front) start() error {
	out, err := os.OpenFile(filepath.Join(f.run.dir, f.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	words := strings.Fields(f.run.command)
	c := exec.Command(filepath.Join(f.run.root, words[0]), words[1:]...)
	c.Dir = f.run.root
	c.Env = []string{"BASILROUTE_NODE_FILE=" + f.settings, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=" + os.Getenv("LANG")}
	c.Stdout, c.Stderr = out, out
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := c.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	f.mu.Lock()
	f.command, f.ended = c, ended
	f.mu.Unlock()
	f.run.record("%s starts", f.name)
	go func() {
		err := c.Wait()
		f.run.record("the process of %s has ended: %v", f.name, err)
		_ = out.Close()
		close(ended)
	}()
	return nil
}

func (f *front) signal(s syscall.Signal) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.run.record("%s gets %v", f.name, s)
	_ = f.command.Process.Signal(s)
}

// kill ends the process and waits for that.
func (f *front) kill() {
	f.mu.Lock()
	c, ended := f.command, f.ended
	f.mu.Unlock()
	_ = c.Process.Kill()
	<-ended
}

// ready asks the readiness address once.
func (f *front) ready() bool {
	resp, err := http.Get(fmt.Sprintf("http://%s:%d/basilroute/readiness", f.ip, portReady))
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (f *front) address() string { return fmt.Sprintf("%s:%d", f.ip, portFront) }

// resolve asks the directory of a front where to connect.
func (f *front) resolve() (addresses []string, ttl time.Duration, err error) {
	resp, err := http.Get(fmt.Sprintf("http://%s:%d/basilroute/resolve?name=%s&region=%s&zone=%s", f.ip, portDirectory, host, region, zone))
	if err != nil {
		return nil, 0, err
	}
	defer func() { _ = resp.Body.Close() }()
	var body struct {
		Addresses []string `json:"addresses"`
		TTLS      float64  `json:"ttl_s"`
	}
	if err := json.NewDecoder(resp.Body).Decode(&body); err != nil {
		return nil, 0, err
	}
	return body.Addresses, min(time.Duration(body.TTLS*float64(time.Second)), ttlMax), nil
}
