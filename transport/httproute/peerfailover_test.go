package httproute

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/basilroute/basilroute/state/backends"
)

// twoRegions are a near region, which is preferred, and a farther one.
type twoRegions struct {
	*peerRegion
	wait time.Duration // of a request in each of them
}

func (r twoRegions) Remotes(service string) []Remote {
	out := r.peerRegion.Remotes(service)
	if len(r.addresses) > 1 {
		last := len(r.addresses) - 1
		out = out[:0]
		for i, address := range []string{r.addresses[0], r.addresses[last]} {
			region := []string{"far", "farther"}[i]
			out = append(out, Remote{Region: region, Instance: region, Address: address, Servers: 1, FreeSlots: 8,
				RoundTrip: time.Duration(i) * time.Millisecond, Wait: r.wait, ReportedAt: time.Now()})
		}
	}
	return out
}

// firstEvents writes two events of a stream.
func firstEvents(c net.Conn, r *http.Request) {
	writeHead(c, r)
	writeEvent(c, 0)
	writeEvent(c, 1)
}

func isStream(r *http.Request) bool {
	return !slices.Contains([]string{"read", "order", "slow"}, strings.Split(r.RequestURI, "/")[1])
}

// awaitFirstByte waits until the first instance has got the head of a response and the events that came with it.
func (p *peerPath) awaitFirstByte(t *testing.T) {
	for samples(t, p.front.Metrics.steps, stepForwarded) == 0 {
		time.Sleep(time.Millisecond)
	}
}

// completes answers a request, and continues a stream after its last event.
func completes(c net.Conn, r *http.Request) bool {
	if !isStream(r) {
		return answer(c, r)
	}
	last, err := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	if err != nil {
		last = -1
	}
	writeEvents(c, r, last+1, 3, true)
	return true
}

// result is the one end of a request.
type result struct {
	status int // 0 for a response that was cut
	sends  int // to both regions' servers
}

// Guards against a request that ends in another way than its kind allows when the region that got it fails: a peer that is
// killed, whose server breaks off, that refuses or that has another configuration.
func TestForwardedRequestWhoseRegionFails(t *testing.T) {
	served, repeated := result{200, 1}, result{200, 2}
	refused := map[string]result{"/read/1": served, "/order/1": served, "/draft/1": served, "/chat/1": served}
	for name, c := range map[string]struct {
		script func(c net.Conn, r *http.Request, s scripted)
		change func(*Peer)
		want   map[string]result
	}{
		"killed at once": {
			script: func(_ net.Conn, _ *http.Request, s scripted) { s.kill() },
			want:   map[string]result{"/read/1": repeated, "/order/1": {502, 1}, "/draft/1": repeated, "/chat/1": {502, 1}},
		},
		"killed after the first events": {
			script: func(c net.Conn, r *http.Request, s scripted) {
				firstEvents(c, r)
				s.awaitFirstByte()
				s.kill()
			},
			want: map[string]result{"/draft/1": repeated, "/chat/1": {0, 1}},
		},
		"its server breaks off": {
			script: func(net.Conn, *http.Request, scripted) {},
			want:   map[string]result{"/read/1": repeated, "/order/1": {502, 1}, "/draft/1": repeated, "/chat/1": {502, 1}},
		},
		"its server breaks off after the first events": {
			script: func(c net.Conn, r *http.Request, s scripted) {
				firstEvents(c, r)
				s.awaitFirstByte()
			},
			want: map[string]result{"/draft/1": repeated, "/chat/1": {0, 1}},
		},
		"stopping":     {change: func(p *Peer) { p.Stopping = func() bool { return true } }, want: refused},
		"no memory":    {change: func(p *Peer) { p.Memory = NewBudget(0) }, want: refused},
		"other config": {change: func(p *Peer) { p.Local = emptyDispatcher(p.Local) }, want: refused},
	} {
		for path, want := range c.want {
			t.Run(name+path, func(t *testing.T) {
				if got := playRegionFailure(t, c.script, c.change, path); got != want {
					t.Errorf("%+v, want %+v", got, want)
				}
			})
		}
	}
}

// scripted is what the server of the region that fails can do.
type scripted struct{ kill, awaitFirstByte func() }

func playRegionFailure(t *testing.T, script func(net.Conn, *http.Request, scripted), change func(*Peer), path string) result {
	var p *peerPath
	var inbound *httptest.Server
	near, far := startFakeServer(t, func(c net.Conn, r *http.Request) bool {
		script(c, r, scripted{inbound.CloseClientConnections, func() { p.awaitFirstByte(t) }})
		return false
	}), startFakeServer(t, completes)
	p = newPeerPath(t, near)
	other := newPeerPath(t, far)
	inbound = p.addPeer(t, change)
	other.addPeer(t, nil)
	p.region.addresses = append(p.region.addresses, other.region.addresses...)
	p.front.Remotes = twoRegions{peerRegion: p.region}
	p.front.Local.Backends.Put(backends.Server{ID: "s1", Service: "svc", Address: far.address, Domain: "d2", Region: "farther"}, time.Now())
	resp, body, err := call(t, t.Context(), p.callers, "POST", path, "x")
	got := result{sends: len(near.requests()) + len(far.requests())}
	if err == nil {
		got.status = resp.StatusCode
	}
	if got.status == 200 && strings.Contains(body, "id:") && strings.Count(body, "data:") != 4 {
		t.Errorf("not the whole stream: %q", body)
	}
	return got
}

// emptyDispatcher returns a dispatcher that knows neither the services nor the servers of another one.
func emptyDispatcher(l *LocalDispatcher) *LocalDispatcher {
	return &LocalDispatcher{Codec: l.Codec, Backends: l.Backends, Client: l.Client, Parts: l.Parts, Log: l.Log, Metrics: l.Metrics}
}

// Guards against a request that is taken away from a peer, and counts as sent to a server, while it waits there for a slot
// for as long as the peer has announced.
func TestForwardedRequestWaitsAsLongAsAnnounced(t *testing.T) {
	server, other := startFakeServer(t, func(c net.Conn, r *http.Request) bool {
		time.Sleep(minIdleTimeout + 200*time.Millisecond)
		return answer(c, r)
	}), startFakeServer(t, answer)
	p, second := newPeerPath(t, server), newPeerPath(t, other)
	p.addPeer(t, nil)
	second.addPeer(t, nil)
	p.region.addresses = append(p.region.addresses, second.region.addresses...)
	p.front.Remotes = twoRegions{peerRegion: p.region, wait: minIdleTimeout}
	if got := p.send(t, "/read/1", server); got != (result{200, 1}) || len(other.requests()) > 0 {
		t.Errorf("%+v, %d sends to the other region", got, len(other.requests()))
	}
}

// Guards against a caller that is held past its deadline, or a peer's server that goes on after it.
func TestDeadlineOfAForwardedRequest(t *testing.T) {
	dropped := make(chan struct{}, 1)
	server := startFakeServer(t, func(c net.Conn, r *http.Request) bool {
		if isStream(r) {
			firstEvents(c, r)
		}
		_, _ = c.Read(make([]byte, 1)) // returns when the peer closes the connection
		dropped <- struct{}{}
		return false
	})
	p := newPeerPath(t, server)
	inbound := p.addPeer(t, nil)
	for path, want := range map[string]int{"/slow/1": 504, "/order/1": 504, "/chat/1": 0} {
		const wait = 150 * time.Millisecond
		began := time.Now()
		resp, _, err := call(t, t.Context(), p.callers, "POST", path, "x", "Wait-Ms", strconv.Itoa(int(wait.Milliseconds())))
		status := 0
		if err == nil {
			status = resp.StatusCode
		}
		if took := time.Since(began); status != want || took < wait || took > 2*wait+time.Second {
			t.Errorf("%s: status %d after %v, want %d", path, status, took, want)
		}
		<-dropped
	}
	inbound.Close()
	if state := p.far.Local.Pool("svc").States(time.Now())[0]; state.InFlight != 0 {
		t.Errorf("%+v", state)
	}
}

// Guards against an operation that is given up when the instance that forwarded it ends: it may have taken effect, and its
// server is to finish it.
func TestOperationOutlivesTheInstanceThatForwardedIt(t *testing.T) {
	arrived, finish, ran := make(chan struct{}), make(chan struct{}), make(chan bool, 1)
	server := startFakeServer(t, func(c net.Conn, r *http.Request) bool {
		close(arrived)
		<-finish
		_ = c.SetReadDeadline(time.Now().Add(50 * time.Millisecond))
		_, err := c.Read(make([]byte, 1))
		ran <- err != io.EOF
		return answer(c, r)
	})
	p := newPeerPath(t, server)
	inbound := p.addPeer(t, nil)
	ctx, end := context.WithCancel(t.Context())
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, inbound.URL+"/order/1", strings.NewReader("x"))
	if err != nil {
		t.Fatal(err)
	}
	request.Header.Set("Id", "id-1")
	request.Header.Set(headerForward, fmt.Sprintf(`{"service":"svc","left_ms":%d,"detached":true}`, 5000))
	go func() {
		<-arrived
		end()
	}()
	if resp, err := http.DefaultTransport.RoundTrip(request); err == nil {
		_ = resp.Body.Close()
		t.Error("the instance that ended got a response")
	}
	close(finish)
	if !<-ran {
		t.Error("the peer closed the connection to the server")
	}
}
