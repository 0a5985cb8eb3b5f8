package peer

import (
	"context"
	"fmt"
	"net"
	"runtime"
	"testing"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	"github.com/basilroute/basilroute/protocol/peerpb"
)

// maxConnBytes is what both ends of a connection without calls may take of the heap: in a large fleet an
// instance has hundreds, within 5 MB.
const maxConnBytes = 48 << 10

// idleConns opens connections with one call each, and returns what they take of the heap.
func idleConns(t testing.TB, count int) uint64 {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := grpc.NewServer(ServerOptions()...)
	peerpb.RegisterPeerServer(server, peerpb.UnimplementedPeerServer{})
	go func() { _ = server.Serve(l) }()
	defer server.Stop()
	pool := NewPool(insecure.NewCredentials(), grpc.WithContextDialer(func(ctx context.Context, _ string) (net.Conn, error) {
		return (&net.Dialer{}).DialContext(ctx, "tcp", l.Addr().String())
	}))
	defer pool.Close()
	before := heap()
	for i := range count {
		client, err := pool.Get(fmt.Sprint("front-", i))
		if err != nil {
			t.Fatal(err)
		}
		_, _ = client.Consent(t.Context(), &peerpb.ConsentRequest{}) // refused as unimplemented
	}
	return heap() - before
}

func heap() uint64 {
	runtime.GC()
	runtime.GC() // the first one only moves pooled buffers aside
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// Guards against buffers that each connection holds while nothing is sent on it.
func TestIdleConnectionsTakeLittleMemory(t *testing.T) {
	const count = 100
	if got := idleConns(t, count) / count; got > maxConnBytes {
		t.Errorf("%d bytes for both ends of a connection, want at most %d", got, maxConnBytes)
	}
}
