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
	setVersions(f, versions...)
	return front, func(path string) []string {
		mu.Lock()
		defer mu.Unlock()
		return wrote[path]
	}
}

// setVersions sets the versions of a front's servers.
func setVersions(f *Front, versions ...string) {
	now := time.Now()
	for i, e := range f.Local.Backends.InRegion("r", now) {
		e.Version = versions[i]
		f.Local.Backends.Put(e.Server, now)
	}
	f.Local.Pool("svc").Update(placement.Settings{Slots: 8}, f.Local.Backends.InRegion("r", now))
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

// Guards against a silent server that is given up in the middle of a stream although the only other server has another
// build, where the stream cannot go on.
func TestSilentServerOfAStreamIsKeptWithoutAnotherOfItsBuild(t *testing.T) {
	script := func(c net.Conn, r *http.Request) bool {
		writeEvents(c, r, 0, 1, true)
		return true
	}
	silent := func(c net.Conn, r *http.Request) bool {
		writeHead(c, r)
		writeEvent(c, 0)
		time.Sleep(minGapTimeout + 200*time.Millisecond)
		writeEvent(c, 1)
		writeEnd(c)
		return true
	}
	f, front := newTestFront(t, startFakeServer(t, silent), startFakeServer(t, script))
	configure(f)
	setVersions(f, "v1", "v2")
	for range 8 {
		if _, body, err := call(t, t.Context(), front, "POST", "/draft/1", "x"); err != nil || strings.Count(body, "data:") != 2 {
			t.Errorf("%q, %v", body, err)
		}
	}
}
