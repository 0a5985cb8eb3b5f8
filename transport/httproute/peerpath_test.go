package httproute

import (
	"context"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/basilroute/basilroute/state/routes"
)

// peerRegion is another region. A request goes to its first instance that was not unreachable.
type peerRegion struct {
	servers int

	mu          sync.Mutex
	addresses   []string // of the instances
	unreachable []string
}

func (p *peerRegion) MarkUnreachable(instance string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.unreachable = append(p.unreachable, instance)
}

func (p *peerRegion) Remotes(string) []Remote {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i, address := range p.addresses {
		instance := fmt.Sprint("far-", i)
		if !slices.Contains(p.unreachable, instance) || i == len(p.addresses)-1 {
			return []Remote{{Region: "far", Instance: instance, Address: address, Servers: p.servers, FreeSlots: 8, ReportedAt: time.Now()}}
		}
	}
	return nil
}

func (p *peerRegion) InstanceCounts() (fleet, region int) { return 1 + len(p.addresses), 1 }

func (p *peerRegion) avoided() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.unreachable)
}

// peerPath is a Front without servers and a region that has some.
type peerPath struct {
	front   *Front
	callers *httptest.Server
	far     *Front // its table, its configuration
	region  *peerRegion
}

func newPeerPath(t *testing.T, servers ...*fakeServer) *peerPath {
	t.Helper()
	p := &peerPath{region: &peerRegion{servers: len(servers)}}
	p.far, _ = newTestFront(t, servers...)
	p.front, p.callers = newTestFront(t)
	configure(p.far)
	configure(p.front)
	p.front.Remotes = p.region
	return p
}

// addPeer adds an instance to the region. change may be nil.
func (p *peerPath) addPeer(t *testing.T, change func(*Peer)) *httptest.Server {
	t.Helper()
	peer := &Peer{Codec: testCodec{}, Local: p.far.Local, Routes: p.far.Routes, Stopping: func() bool { return false }}
	if change != nil {
		change(peer)
	}
	inbound := httptest.NewUnstartedServer(peer)
	inbound.Config.ErrorLog = log.New(panicWatch{t}, "", 0)
	inbound.Start()
	t.Cleanup(inbound.Close)
	p.region.addresses = append(p.region.addresses, inbound.Listener.Addr().String())
	return inbound
}

// panicWatch fails a test whose handler panics.
type panicWatch struct{ t *testing.T }

func (w panicWatch) Write(b []byte) (int, error) {
	if strings.Contains(string(b), "panic") {
		w.t.Errorf("%s", b)
	}
	return len(b), nil
}

func answer(c net.Conn, r *http.Request) bool { return respond(c, r, 200, "ok") }

// Guards against a request that is refused because the one instance that was asked shuts down, has no memory left or has
// no configuration yet, although another one of its region takes it.
func TestRefusalOfOneInstanceLeavesItsRegionOpen(t *testing.T) {
	for name, refuse := range map[string]func(*Peer){
		"stopping":         func(p *Peer) { p.Stopping = func() bool { return true } },
		"no memory":        func(p *Peer) { p.Memory = NewBudget(10) },
		"no configuration": func(p *Peer) { p.Routes = &routes.Table{} },
	} {
		t.Run(name, func(t *testing.T) {
			server := startFakeServer(t, answer)
			p := newPeerPath(t, server)
			p.addPeer(t, refuse)
			p.addPeer(t, nil)
			resp, body, err := call(t, t.Context(), p.callers, "POST", "/order/1", strings.Repeat("b", 100))
			if err != nil || resp.StatusCode != http.StatusOK || body != "ok" {
				t.Errorf("%v, %q, %v", resp, body, err)
			}
			if n := len(server.requests()); n != 1 {
				t.Errorf("it was sent %d times", n)
			}
		})
	}
}

// Guards against a request that tries instance after instance of a region that shuts down while its own region could take it.
func TestRegionThatShutsDownIsTriedTwice(t *testing.T) {
	p := newPeerPath(t, startFakeServer(t, answer))
	var asked atomic.Int32
	for range 4 {
		p.addPeer(t, func(peer *Peer) {
			peer.Stopping = func() bool {
				asked.Add(1)
				return true
			}
		})
	}
	resp, body, err := call(t, t.Context(), p.callers, "POST", "/order/1", "x")
	if err != nil || resp.StatusCode != http.StatusServiceUnavailable || body != "stopping\n" {
		t.Errorf("%v, %q, %v", resp, body, err)
	}
	if n := asked.Load(); n != 2 {
		t.Errorf("%d instances were asked", n)
	}
}

// Guards against a refusal that is lost, or taken for an unknown outcome, because the peer has not read the body.
func TestPeerRefusesALargeBody(t *testing.T) {
	const size = 4 << 20
	p := newPeerPath(t, startFakeServer(t, answer))
	config := *p.front.Routes.Current()
	config.Version, config.Limits = 2, routes.Limits{}
	p.front.Routes.Offer(&config)
	p.addPeer(t, func(peer *Peer) { peer.Memory = NewBudget(1000) })
	for range 3 {
		resp, body, err := call(t, t.Context(), p.callers, "POST", "/order/1", strings.Repeat("b", size))
		if err != nil || resp.StatusCode != http.StatusServiceUnavailable || body != "memory\n" {
			t.Fatalf("%v, %q, %v", resp, body, err)
		}
	}
}

// Guards against a server that is ejected at a peer because callers leave while it answers them.
func TestCallersLeaveAServerOfAPeer(t *testing.T) {
	begun, left := make(chan struct{}), make(chan struct{})
	server := startFakeServer(t, func(c net.Conn, r *http.Request) bool {
		writeHead(c, r)
		writeEvent(c, 0)
		close(begun)
		_, _ = c.Read(make([]byte, 1)) // returns when the peer closes the connection
		close(left)
		return false
	})
	p := newPeerPath(t, server)
	inbound := p.addPeer(t, nil)
	ctx, leave := context.WithCancel(t.Context())
	go func() {
		<-begun
		leave()
	}()
	if _, _, err := call(t, ctx, p.callers, "POST", "/chat/1", "x"); err == nil {
		t.Error("the caller got a whole response")
	}
	<-left
	inbound.Close() // waits until the peer has ended the request
	if state := p.far.Local.Pool("svc").States(time.Now())[0]; state.Failures != 0 || state.InFlight != 0 {
		t.Errorf("%+v", state)
	}
}

// Guards against a sound peer that is taken for unreachable because its server broke off before the first byte of a body.
func TestServerOfAPeerBreaksOff(t *testing.T) {
	head := func(c net.Conn, r *http.Request) {
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: 10\r\n\r\n", r.Header.Get("Id"))
	}
	for name, script := range map[string]func(net.Conn, *http.Request) bool{
		"before its head": func(net.Conn, *http.Request) bool { return false },
		"after its head":  func(c net.Conn, r *http.Request) bool { head(c, r); return false },
		"within its body": func(c net.Conn, r *http.Request) bool {
			head(c, r)
			_, _ = io.WriteString(c, "half")
			return false
		},
	} {
		t.Run(name, func(t *testing.T) {
			server := startFakeServer(t, script)
			p := newPeerPath(t, server)
			p.addPeer(t, nil)
			for path, sends := range map[string]int{"/read/1": 2, "/order/1": 1, "/draft/1": 2, "/chat/1": 1} {
				before := len(server.requests())
				resp, _, err := call(t, t.Context(), p.callers, "POST", path, "x")
				if err != nil || resp.StatusCode != http.StatusBadGateway {
					t.Errorf("%s: %v, %v", path, resp, err)
				}
				if n := len(server.requests()) - before; n != sends {
					t.Errorf("%s: sent %d times, want %d", path, n, sends)
				}
			}
			if avoided := p.region.avoided(); len(avoided) > 0 {
				t.Errorf("taken for unreachable: %v", avoided)
			}
		})
	}
}
