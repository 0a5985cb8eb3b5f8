package routed

import (
	"log/slog"
	"net"
	"net/http"
	"testing"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/testutil"

	"github.com/basilroute/basilroute/state/mirror"
)

// Copies that bring nothing new are counted apart from those that do.
func TestRedundantCopiesAreCounted(t *testing.T) {
	m := newSyncMetrics(prometheus.NewRegistry())
	copied, from := mirror.New(), origin{source: sourceExchange, peer: "front-2"}
	d := mirror.Delta{Revision: 3, Full: true, Items: []mirror.Item{{Key: "config/current", Value: make([]byte, 100), Revision: 3}}}
	for range 3 {
		m.countItems("config/", from, d, copied.Apply(d))
	}
	for result, want := range map[string]float64{itemsNew: 100, itemsRedundant: 200} {
		if got := testutil.ToFloat64(m.bytes.WithLabelValues("config/", sourceExchange, result)); got != want {
			t.Errorf("%s: %v bytes, want %v", result, got, want)
		}
	}
}

// An instance whose metrics address is in use still serves its callers.
func TestTakenMetricsAddressStopsNothing(t *testing.T) {
	taken, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = taken.Close() }()
	settings := DefaultSettings()
	const free = "127.0.0.1:0"
	settings.ID, settings.Listen = "front-1", Listen{
		Callers: free, Ready: free, Directory: free, Peers: free, Relay: free, Metrics: taken.Addr().String(),
	}
	n, err := New(settings, emptySource{}, nil, Endpoints{
		Ready:     func(func() bool) http.Handler { return http.NotFoundHandler() },
		Directory: func(func(DirectoryQuery) DirectoryAnswer) http.Handler { return http.NotFoundHandler() },
	}, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	n.Kill()
}

// emptySource is the source of an empty store.
type emptySource struct{ Source }

func (emptySource) ConfigPrefix() string  { return "config/" }
func (emptySource) ServersPrefix() string { return "servers/" }
