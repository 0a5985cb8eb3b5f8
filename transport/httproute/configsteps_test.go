package httproute

import (
	"context"
	"fmt"
	"io"
	"log"
	"maps"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	dto "github.com/prometheus/client_model/go"

	"github.com/basilroute/basilroute/coordination/quota"
	"github.com/basilroute/basilroute/service"
	"github.com/basilroute/basilroute/state/routes"
)

// changes of the configuration between two steps of a request.
var changes = map[string]func(c *routes.Config, r *routes.Route){
	"nothing":       func(*routes.Config, *routes.Route) {},
	"route dropped": func(c *routes.Config, _ *routes.Route) { c.Routes = nil },
	"route moved":   func(_ *routes.Config, r *routes.Route) { r.Targets = []routes.Target{{Service: "other", Weight: 1}} },
	"route split": func(_ *routes.Config, r *routes.Route) {
		r.Targets = append(r.Targets, routes.Target{Service: "other", Weight: 99})
	},
	"without weight":  func(_ *routes.Config, r *routes.Route) { r.Targets = []routes.Target{{Service: "svc"}} },
	"timeout lowered": func(_ *routes.Config, r *routes.Route) { r.Timeout = time.Millisecond },
	"account removed": func(c *routes.Config, _ *routes.Route) {
		c.Accounts = map[string]*routes.Account{"bakers": {Name: "bakers"}}
	},
	"accounts removed": func(c *routes.Config, _ *routes.Route) { c.Accounts, c.Keys = nil, nil },
	"key removed":      func(c *routes.Config, _ *routes.Route) { c.Keys = nil },
	"service gone":     func(c *routes.Config, _ *routes.Route) { c.Services = nil },
	"limits lowered": func(c *routes.Config, _ *routes.Route) {
		c.Limits = routes.Limits{HeaderBytes: 1, BodyBytes: 1, IdleTimeout: 1}
	},
	"public":          func(_ *routes.Config, r *routes.Route) { r.Public = true },
	"one attempt":     func(_ *routes.Config, r *routes.Route) { r.MaxAttempts = 1 },
	"not resumable":   func(_ *routes.Config, r *routes.Route) { r.Resumable = false },
	"other kind":      func(_ *routes.Config, r *routes.Route) { r.Kind = (r.Kind + 1) % 3 },
	"homes elsewhere": func(_ *routes.Config, r *routes.Route) { r.HomeRegions = []string{"elsewhere"} },
	"rate lowered":    func(c *routes.Config, _ *routes.Route) { c.Accounts["grocers"].Rate = 1e-6 },
}

// apply puts a changed version in force.
func apply(table *routes.Table, change func(*routes.Config, *routes.Route)) {
	next := *table.Current()
	next.Version++
	next.Routes = slices.Clone(next.Routes)
	next.Accounts = maps.Clone(next.Accounts)
	for name, account := range next.Accounts {
		changed := *account
		next.Accounts[name] = &changed
	}
	for i := range next.Routes {
		change(&next, &next.Routes[i])
		if len(next.Routes) == 0 {
			break
		}
	}
	table.Offer(&next)
}

// stepFixture is a request that is held at one of its steps until the configuration has changed.
type stepFixture struct {
	*Front
	callers *httptest.Server
	servers []*fakeServer
	held    chan struct{} // the step has been reached
	changed chan struct{} // the change is in force
}

// script is what the first server that gets the request does. The other one completes it.
type script func(f *stepFixture, c net.Conn, r *http.Request) bool

func newStepFixture(t *testing.T, first script) *stepFixture {
	f := &stepFixture{held: make(chan struct{}), changed: make(chan struct{})}
	turns := make(chan struct{}, 1)
	turns <- struct{}{}
	for range 2 {
		f.servers = append(f.servers, startFakeServer(t, func(c net.Conn, r *http.Request) bool {
			select {
			case <-turns:
				return first(f, c, r)
			default:
				return completes(c, r)
			}
		}))
	}
	f.Front, _ = newTestFront(t, f.servers...)
	configure(f.Front)
	f.Memory = NewBudget(1 << 20)
	f.callers = httptest.NewUnstartedServer(f.Front)
	f.callers.Config.ErrorLog = log.New(panicWatch{t}, "", 0)
	f.callers.Start()
	t.Cleanup(f.callers.Close)
	return f
}

// hold reports that the step has been reached, and waits for the change.
func (f *stepFixture) hold() {
	close(f.held)
	<-f.changed
}

func (f *stepFixture) sends() int {
	total := 0
	for _, s := range f.servers {
		total += len(s.requests())
	}
	return total
}

// endsOf returns how many requests have been counted as ended.
func endsOf(t *testing.T, m *Metrics) (total int) {
	metrics := make(chan prometheus.Metric, 100)
	m.requests.Collect(metrics)
	close(metrics)
	for metric := range metrics {
		var out dto.Metric
		if err := metric.Write(&out); err != nil {
			t.Fatal(err)
		}
		total += int(out.GetCounter().GetValue())
	}
	return total
}

// halves is a body whose second half comes after the change.
type halves struct {
	f    *stepFixture
	sent int
}

func (h *halves) Read(p []byte) (int, error) {
	h.sent++
	switch h.sent {
	case 1:
		return copy(p, "half"), nil
	case 2:
		for h.f.Memory.Used() == 0 {
			time.Sleep(time.Millisecond)
		}
		h.f.hold()
		return copy(p, "half"), nil
	}
	return 0, io.EOF
}

func completesAtOnce(_ *stepFixture, c net.Conn, r *http.Request) bool { return completes(c, r) }

// Guards against a request that ends without an answer or a truthful refusal, is run once more or is counted twice because
// the configuration changes between two of its steps.
func TestConfigurationChangesBetweenSteps(t *testing.T) {
	for name, step := range map[string]struct {
		script script
		body   func(f *stepFixture) io.Reader
		want   map[string]result
	}{
		"body": {
			script: completesAtOnce, body: func(f *stepFixture) io.Reader { return &halves{f: f} },
			want: map[string]result{"/read/1": {200, 1}, "/order/1": {200, 1}, "/draft/1": {200, 1}, "/chat/1": {200, 1}},
		},
		"server answers": {
			script: func(f *stepFixture, c net.Conn, r *http.Request) bool { f.hold(); return completes(c, r) },
			want:   map[string]result{"/read/1": {200, 1}, "/order/1": {200, 1}, "/draft/1": {200, 1}, "/chat/1": {200, 1}},
		},
		"server breaks off": {
			script: func(f *stepFixture, _ net.Conn, _ *http.Request) bool { f.hold(); return false },
			want:   map[string]result{"/read/1": {200, 2}, "/order/1": {502, 1}, "/draft/1": {200, 2}, "/chat/1": {502, 1}},
		},
		"server turns away": {
			script: func(f *stepFixture, c net.Conn, r *http.Request) bool {
				f.hold()
				_, err := fmt.Fprintf(c, "HTTP/1.1 503 X\r\nId: %s\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n", r.Header.Get("Id"))
				return err == nil
			},
			want: map[string]result{"/read/1": {200, 2}, "/order/1": {503, 1}, "/draft/1": {200, 2}, "/chat/1": {503, 1}},
		},
		"server has begun": {
			script: func(f *stepFixture, c net.Conn, r *http.Request) bool {
				firstEvents(c, r)
				f.hold()
				for id := 2; id <= 3; id++ {
					writeEvent(c, id)
				}
				writeEnd(c)
				return true
			},
			want: map[string]result{"/draft/1": {200, 1}, "/chat/1": {200, 1}},
		},
		"server breaks off within a stream": {
			script: func(f *stepFixture, c net.Conn, r *http.Request) bool { firstEvents(c, r); f.hold(); return false },
			want:   map[string]result{"/draft/1": {200, 2}, "/chat/1": {0, 1}},
		},
	} {
		for change := range changes {
			for path, want := range step.want {
				t.Run(name+"/"+change+path, func(t *testing.T) {
					f := newStepFixture(t, step.script)
					body := io.Reader(strings.NewReader("x"))
					if step.body != nil {
						body = step.body(f)
					}
					f.expect(t, path, body, changes[change], want)
				})
			}
		}
	}
}

// expect sends a request, changes the configuration at its step and checks how the request ends.
func (f *stepFixture) expect(t *testing.T, path string, body io.Reader, change func(*routes.Config, *routes.Route), want result) {
	t.Helper()
	go func() {
		<-f.held
		apply(f.Routes, change)
		close(f.changed)
	}()
	got, content := f.send(t, path, body)
	if got != want {
		t.Errorf("%+v, want %+v", got, want)
	}
	if got.status == http.StatusOK && strings.Contains(content, "id:") && strings.Count(content, "data:") != 4 {
		t.Errorf("not the whole stream: %q", content)
	}
	f.callers.Close() // waits until the request has been counted
	select {
	case <-f.changed:
	default:
		t.Fatal("the step was not reached")
	}
	if n := endsOf(t, f.Metrics); n != 1 {
		t.Errorf("counted %d times", n)
	}
}

func (f *stepFixture) send(t *testing.T, path string, body io.Reader) (result, string) {
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, f.callers.URL+path, body)
	if err != nil {
		t.Fatal(err)
	}
	request.Host = testHost
	request.Header.Set("Id", "id-1")
	request.Header.Set("Key", testKey)
	resp, err := http.DefaultTransport.RoundTrip(request)
	if err != nil {
		return result{0, f.sends()}, ""
	}
	defer func() { _ = resp.Body.Close() }()
	content, err := io.ReadAll(resp.Body)
	if err != nil {
		return result{0, f.sends()}, string(content)
	}
	return result{resp.StatusCode, f.sends()}, string(content)
}

// wholeShare gives an instance all of the accounts' rates.
type wholeShare struct{}

func (wholeShare) Allocate(*service.Account) quota.Allocation {
	return quota.Allocation{Share: 1, EvenShare: 1}
}

// Guards against a request that waits for tokens of its account for ever, or runs without them, because the account is
// removed or changed meanwhile.
func TestConfigurationChangesDuringAWaitForTokens(t *testing.T) {
	for name, change := range changes {
		t.Run(name, func(t *testing.T) {
			f := newStepFixture(t, completesAtOnce)
			limited := func(c *routes.Config, r *routes.Route) {
				c.Accounts["grocers"].Rate, r.Objective = 1e-3, 100*time.Millisecond // a short wait
			}
			apply(f.Routes, limited)
			f.Ledger.UpdateDivided([]*service.Account{{Name: "grocers", Rate: 1e-3}}, wholeShare{}, 1, time.Now())
			ctx, stop := context.WithCancel(t.Context())
			defer stop()
			go tick(ctx, f.Ledger)
			go func() {
				<-f.Ledger.BorrowNeeded()
				close(f.held)
				<-f.changed
				f.Ledger.UpdateDivided(nil, wholeShare{}, 2, time.Now())
			}()
			f.expect(t, "/order/1", strings.NewReader("x"), change, result{http.StatusTooManyRequests, 0})
		})
	}
}

func tick(ctx context.Context, ledger *quota.Ledger) {
	const interval = 5 * time.Millisecond
	for ctx.Err() == nil {
		time.Sleep(interval)
		ledger.Tick(interval, time.Now())
	}
}
