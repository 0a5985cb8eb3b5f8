// Package link is an in-memory network whose machines have links of a given rate. All
// connections of a machine share its link. No data leaves the process, so that a test in
// virtual time can measure how long a transfer takes while others use the same link.
package link

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// segmentBytes is how much a connection sends at once. Connections that share a link
	// alternate after each segment.
	segmentBytes = 4 << 10
	// windowSegments is the maximum of unread segments at the receiver.
	windowSegments = 16
	backlog        = 64 // maximum of connections that wait to be accepted
)

// errRefused is returned for a connection to an address without a listener.
var errRefused = errors.New("connection refused")

// Network connects machines by address. It is safe for concurrent use.
type Network struct {
	mu       sync.Mutex
	machines map[string]*Machine
}

// NewNetwork returns a network without machines.
func NewNetwork() *Network { return &Network{machines: make(map[string]*Machine)} }

// Machine has one link to the network and one listener. It is safe for concurrent use.
type Machine struct {
	network *Network
	address string
	out, in direction
	accept  chan net.Conn
	closed  chan struct{}
	once    sync.Once
}

// Add adds a machine with a link of the given rate in bytes per second, in each direction.
func (n *Network) Add(address string, rate float64) *Machine {
	m := &Machine{
		network: n, address: address, out: direction{rate: rate}, in: direction{rate: rate},
		accept: make(chan net.Conn, backlog), closed: make(chan struct{}),
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.machines[address] = m
	return m
}

// Dial connects the machine to another one.
func (m *Machine) Dial(ctx context.Context, address string) (net.Conn, error) {
	m.network.mu.Lock()
	to := m.network.machines[address]
	m.network.mu.Unlock()
	if to == nil {
		return nil, errors.Wrap(errRefused, address)
	}
	outbound, inbound := newPipe(&m.out, &to.in), newPipe(&to.out, &m.in)
	accepted := &conn{read: outbound, write: inbound, local: addr(address), remote: addr(m.address)}
	select {
	case <-to.closed:
		return nil, errors.Wrap(errRefused, address)
	case to.accept <- accepted:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	return &conn{read: inbound, write: outbound, local: addr(m.address), remote: addr(address)}, nil
}

// BytesSent returns how many bytes the machine's outgoing link has carried, reserved ones included.
func (m *Machine) BytesSent() int64 { return m.out.total() }

// Accept implements net.Listener.
func (m *Machine) Accept() (net.Conn, error) {
	select {
	case c := <-m.accept:
		return c, nil
	case <-m.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener. Accepted connections stay open.
func (m *Machine) Close() error {
	m.once.Do(func() { close(m.closed) })
	return nil
}

// Addr implements net.Listener.
func (m *Machine) Addr() net.Addr { return addr(m.address) }

// direction is one direction of a link.
type direction struct {
	mu      sync.Mutex
	rate    float64 // bytes per second
	freeAt  time.Time
	carried int64
}

// reserve queues the transfer of a number of bytes after those already reserved, and
// returns when it will be complete.
func (l *direction) reserve(bytes int) time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now := time.Now(); l.freeAt.Before(now) {
		l.freeAt = now
	}
	l.freeAt = l.freeAt.Add(time.Duration(float64(bytes) / l.rate * float64(time.Second)))
	l.carried += int64(bytes)
	return l.freeAt
}

func (l *direction) total() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.carried
}
