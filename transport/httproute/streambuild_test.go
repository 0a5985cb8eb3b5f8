package httproute

import (
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/basilroute/basilroute/coordination/placement"
	"github.com/basilroute/basilroute/state/backends"
)

// startBuildServers starts servers whose first tries break off after three events, in the order of their builds,
// and a front before them. builds returns the builds that wrote the events of each request, by its path.
func startBuildServers(t *testing.T, versions ...string) (front *httptest.Server, builds func(path string) []string) {
	t.Helper()
	var mu sync.Mutex
	wrote := make(map[string][]string)
	var servers []*fakeServer
	for _, version := range versions {
		servers = append(servers, startFakeServer(t, func(c net.Conn, r *http.Request) bool {
			mu.Lock()
			wrote[r.URL.Path] = append(wrote[r.URL.Path], version)
			mu.Unlock()
			last, err := strconv.Atoi(r.Header.Get("Last-Event-Id"))
			if err != nil {
				writeEvents(c, r, 0, 2, false)
				return false
			}
			writeEvents(c, r, last+1, 4, true)
			return true
		}))
	}
	f, front := newTestFront(t, servers...)
	configure(f)
	now := time.Now()
	for i, s := range servers {
		f.Local.Backends.Put(backends.Server{ID: fmt.Sprint("s", i), Service: "svc", Address: s.address, Domain: "d", Region: "r", Slots: 8,
			Version: versions[i]}, now)
	}
	f.Local.Pool("svc").Update(placement.Settings{Slots: 8}, f.Local.Backends.InRegion("r", now))
	return front, func(path string) []string {
		mu.Lock()
		defer mu.Unlock()
		return wrote[path]
	}
}

// Guards against a stream whose server broke off and that is resumed at a server of another build.
func TestResumedStreamKeepsItsBuild(t *testing.T) {
	front, builds := startBuildServers(t, "v1", "v2", "v1", "v2")
	for n := range 12 {
		path := fmt.Sprint("/draft/", n)
		_, body, err := call(t, t.Context(), front, "POST", path, "x", "Id", path)
		if got := builds(path); err != nil || strings.Count(body, "data:") != 5 || len(got) != 2 || got[0] != got[1] {
			t.Errorf("%s: builds %v, %d events, %v", path, got, strings.Count(body, "data:"), err)
		}
	}
	front, builds = startBuildServers(t, "v1", "v2") // no other server has the stream's build
	if _, body, err := call(t, t.Context(), front, "POST", "/draft/1", "x"); err == nil {
		t.Errorf("builds %v wrote one stream that looks complete: %q", builds("/draft/1"), body)
	}
}
