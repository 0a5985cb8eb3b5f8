package httproute

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/testutil"

	"github.com/basilroute/basilroute/transport/backendhttp"
)

// Guards against series that hide how many forwarded requests paid for a new connection.
func TestPeerRequestsAreCountedByConnection(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	defer server.Close()
	client := backendhttp.New(backendhttp.Settings{DialTimeout: time.Second, UserTimeout: time.Second, MaxIdle: 1})
	defer client.Close()
	registry := prometheus.NewRegistry()
	RegisterPeerConns(registry, client)
	request := &backendhttp.Request{Method: http.MethodGet, Target: "/", Host: "h"}
	options := backendhttp.Options{MatchResponse: func(*http.Response) bool { return true }}
	for range 3 {
		resp, err := client.Do(t.Context(), server.Listener.Addr().String(), request, options)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := io.ReadAll(resp); err != nil {
			t.Fatal(err)
		}
		resp.Close()
	}
	want := `
# HELP basilroute_route_peer_requests_total Requests sent to instances of other regions, by the connection that they took.
# TYPE basilroute_route_peer_requests_total counter
basilroute_route_peer_requests_total{connection="ahead"} 0
basilroute_route_peer_requests_total{connection="new"} 1
basilroute_route_peer_requests_total{connection="reused"} 2
`
	if err := testutil.GatherAndCompare(registry, strings.NewReader(want), "basilroute_route_peer_requests_total"); err != nil {
		t.Error(err)
	}
}
