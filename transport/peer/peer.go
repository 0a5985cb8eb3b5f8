// Package peer carries the protocol between instances over gRPC.
package peer

import (
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/keepalive"

	"github.com/basilroute/basilroute/protocol/peerpb"
)

const (
	// idleTimeout is how long a connection without calls is kept: at a start an instance calls
	// many others once.
	idleTimeout  = 30 * time.Second
	pingInterval = 10 * time.Second
	pingTimeout  = 3 * time.Second
	// StreamWindow and ConnWindow are the flow-control windows in bytes. They are fixed because,
	// with grpc's dynamic window estimate, peers answer a ping for nearly every forwarded token.
	StreamWindow = 1 << 20
	ConnWindow   = 16 << 20 // for a round trip of 160 ms at 0.8 Gbit/s
	// readBufferBytes is the read buffer of each connection. In a large fleet most connections
	// carry a few small messages per second, and grpc's default of 32 KiB per connection would be
	// most of the heap.
	readBufferBytes = 4 << 10
	// maxMessageBytes is the size of the largest body that callers may send, 64 MiB, and its
	// envelope. With grpc's default of 4 MiB the answer of an operation that has run is dropped.
	maxMessageBytes = 65 << 20
)

// connectBackoff is the backoff between connection attempts. After a restart of the whole
// fleet each instance waits for reports from all others, and grpc's default base delay of one
// second would be most of that wait.
var connectBackoff = backoff.Config{BaseDelay: 100 * time.Millisecond, Multiplier: 1.6, Jitter: 0.2, MaxDelay: time.Second}

// connectTimeout bounds one connection attempt: three times the longest round trip. The first
// packet to an instance that is still powered off is lost, and TCP retransmits it only after
// a second.
const connectTimeout = 500 * time.Millisecond

// Pool holds one connection to each peer.
type Pool struct {
	// Revision returns the revision of the configuration in force on this instance. A peer
	// that has an older one waits for it before it refuses a key that it does not know.
	Revision func() int64

	options []grpc.DialOption

	mu    sync.Mutex
	conns map[string]*grpc.ClientConn
}

// NewPool returns a pool without connections. The additional options apply to every
// connection.
func NewPool(creds credentials.TransportCredentials, more ...grpc.DialOption) *Pool {
	options := []grpc.DialOption{
		grpc.WithTransportCredentials(creds),
		grpc.WithDisableRetry(), // only the first instance retries a forwarded request
		grpc.WithDisableServiceConfig(),
		grpc.WithInitialWindowSize(StreamWindow),
		grpc.WithInitialConnWindowSize(ConnWindow),
		grpc.WithReadBufferSize(readBufferBytes),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxMessageBytes)),
		grpc.WithIdleTimeout(idleTimeout),
		grpc.WithConnectParams(grpc.ConnectParams{Backoff: connectBackoff, MinConnectTimeout: connectTimeout}),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: pingInterval, Timeout: pingTimeout}),
	}
	return &Pool{
		Revision: func() int64 { return 0 }, options: append(options, more...), conns: make(map[string]*grpc.ClientConn),
	}
}

// Get returns a client for the peer at an address. It does not connect; the first call does.
func (p *Pool) Get(address string) (peerpb.PeerClient, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	conn, ok := p.conns[address]
	if !ok {
		var err error
		conn, err = grpc.NewClient("passthrough:///"+address, p.options...)
		if err != nil {
			return nil, errors.Wrapf(err, "peer %s", address)
		}
		p.conns[address] = conn
	}
	return peerpb.NewPeerClient(conn), nil
}

// Drop removes the connection to an address and closes it in the background; the next Get
// creates a new one. Before closing, grpc writes a last frame, which takes seconds over a
// saturated link, so the lock is not held meanwhile.
func (p *Pool) Drop(address string) {
	p.mu.Lock()
	conn := p.conns[address]
	delete(p.conns, address)
	p.mu.Unlock()
	if conn != nil {
		go func() { _ = conn.Close() }() // calls in flight fail
	}
}

// Close closes every connection.
func (p *Pool) Close() {
	p.mu.Lock()
	conns := p.conns
	p.conns = make(map[string]*grpc.ClientConn)
	p.mu.Unlock()
	var closing sync.WaitGroup
	for _, conn := range conns {
		closing.Go(func() { _ = conn.Close() })
	}
	closing.Wait()
}
