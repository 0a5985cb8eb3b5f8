package peer

import (
	"context"
	"net"
	"sync"
	"testing"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	"github.com/basilroute/basilroute/protocol/peerpb"
)

// blockingConn is a connection whose writes block once stuck is closed, until the connection
// is closed.
type blockingConn struct {
	net.Conn
	stuck       <-chan struct{}
	closing     chan struct{} // closed at the first write deadline, which a transport sets to close
	closed      chan struct{}
	closingOnce sync.Once
	closedOnce  sync.Once
}

func (c *blockingConn) Write(b []byte) (int, error) {
	select {
	case <-c.stuck:
		<-c.closed
		return 0, net.ErrClosed
	default:
		return c.Conn.Write(b)
	}
}

func (c *blockingConn) SetWriteDeadline(time.Time) error {
	c.closingOnce.Do(func() { close(c.closing) })
	return nil
}

func (c *blockingConn) Close() error {
	c.closedOnce.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

// Guards against Drop of a peer on a saturated link blocking calls to all other peers.
func TestDroppingAStuckConnectionHoldsUpNoOther(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := grpc.NewServer()
	peerpb.RegisterPeerServer(server, peerpb.UnimplementedPeerServer{})
	go func() { _ = server.Serve(l) }()
	t.Cleanup(server.Stop)

	stuck, closing := make(chan struct{}), make(chan struct{})
	pool := NewPool(insecure.NewCredentials(), grpc.WithContextDialer(func(ctx context.Context, address string) (net.Conn, error) {
		c, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
		return &blockingConn{Conn: c, stuck: stuck, closing: closing, closed: make(chan struct{})}, err
	}))
	client, err := pool.Get(l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	_, _ = client.Exchange(t.Context(), &peerpb.ExchangeRequest{}) // the response, Unimplemented, shows that the connection is up
	close(stuck)

	go pool.Drop(l.Addr().String())
	<-closing
	got := make(chan error)
	go func() {
		_, err := pool.Get("192.0.2.1:1")
		got <- err
	}()
	const getTimeout = 2 * time.Second // shorter than grpc waits for the last write
	select {
	case err := <-got:
		if err != nil {
			t.Error(err)
		}
	case <-time.After(getTimeout):
		t.Error("another peer waits for the end of the dropped connection")
	}
}
