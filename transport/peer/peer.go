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
	pingAfter   = 10 * time.Second
	pingTimeout = 3 * time.Second
	// StreamWindow and ConnWindow are fixed: with grpc's own estimate of the
	// window, peers answer a ping for nearly every token that is forwarded.
	StreamWindow = 1 << 20
	ConnWindow   = 16 << 20 // for 160 ms there and back at 0.8 Gbit/s
	// readBuffer is of each connection, in bytes. In a large fleet most connections carry a few
	// small messages in a second, and grpc's own 32 KiB for each are most of the heap.
	readBuffer = 4 << 10
)

// redial is between tries to connect. After a restart of the whole fleet each
// instance waits for word from all others, and grpc's own first pause of a second
// would be most of that wait.
var redial = backoff.Config{BaseDelay: 100 * time.Millisecond, Multiplier: 1.6, Jitter: 0.2, MaxDelay: time.Second}

// connectTimeout bounds one try: three times the longest way there and back. The first
// packet to an instance that has no power yet is lost, and TCP sends it again only
// after a second.
const connectTimeout = 500 * time.Millisecond

// Pool holds one connection to each peer.
type Pool struct {
	// Revision is the configuration in force here. A peer that has an older one
	// waits for it before it refuses a key that it does not know.
	Revision func() int64

	options []grpc.DialOption

	mu    sync.Mutex
	conns map[string]*grpc.ClientConn
}

// NewPool returns a pool without connections. More options than the pool's own apply to each.
func NewPool(creds credentials.TransportCredentials, more ...grpc.DialOption) *Pool {
	options := []grpc.DialOption{
		grpc.WithTransportCredentials(creds),
		grpc.WithDisableRetry(), // a forwarded request is retried by the first instance only
		grpc.WithDisableServiceConfig(),
		grpc.WithInitialWindowSize(StreamWindow),
		grpc.WithInitialConnWindowSize(ConnWindow),
		grpc.WithReadBufferSize(readBuffer),
		grpc.WithConnectParams(grpc.ConnectParams{Backoff: redial, MinConnectTimeout: connectTimeout}),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: pingAfter, Timeout: pingTimeout}),
	}
	return &Pool{
		Revision: func() int64 { return 0 }, options: append(options, more...), conns: make(map[string]*grpc.ClientConn),
	}
}

// Get returns a client for the peer at an address. It makes no call.
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

// Drop gives up the connection to an address; the next call makes a new one. grpc writes a last
// frame before it closes, which takes seconds over a link that is full: closing does not hold the lock.
func (p *Pool) Drop(address string) {
	p.mu.Lock()
	conn := p.conns[address]
	delete(p.conns, address)
	p.mu.Unlock()
	if conn != nil {
		go func() { _ = conn.Close() }() // calls under way fail
	}
}

// Close ends every connection.
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
