// Package link is a network in memory whose machines have links of a given rate. All
// connections of a machine share its link, and nothing in it leaves the process, so that
// a test in virtual time sees how long a transfer takes beside others.
package link

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// segment is what a connection sends at once, in bytes: connections that share a link take turns by it.
	segment = 4 << 10
	// window is how many segments may lie unread at the receiver.
	window  = 16
	backlog = 64 // connections that wait to be accepted
)

// errRefused is the error of a connection to an address at which nobody listens.
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
	out, in line
	accept  chan net.Conn
	closed  chan struct{}
	once    sync.Once
}

// Add adds a machine with a link of a rate in bytes a second, each way.
func (n *Network) Add(address string, rate float64) *Machine {
	m := &Machine{
		network: n, address: address, out: line{rate: rate}, in: line{rate: rate},
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
	there, back := newPipe(&m.out, &to.in), newPipe(&to.out, &m.in)
	far := &conn{read: there, write: back, local: addr(address), remote: addr(m.address)}
	select {
	case <-to.closed:
		return nil, errors.Wrap(errRefused, address)
	case to.accept <- far:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	return &conn{read: back, write: there, local: addr(m.address), remote: addr(address)}, nil
}

// BytesSent returns the bytes that the machine's link has carried out.
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

// Close implements net.Listener. Connections go on.
func (m *Machine) Close() error {
	m.once.Do(func() { close(m.closed) })
	return nil
}

// Addr implements net.Listener.
func (m *Machine) Addr() net.Addr { return addr(m.address) }

// line is one direction of a link.
type line struct {
	mu    sync.Mutex
	rate  float64 // bytes a second
	free  time.Time
	bytes int64
}

// reserve returns when so many more bytes will have passed.
func (l *line) reserve(bytes int) time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now := time.Now(); l.free.Before(now) {
		l.free = now
	}
	l.free = l.free.Add(time.Duration(float64(bytes) / l.rate * float64(time.Second)))
	l.bytes += int64(bytes)
	return l.free
}

func (l *line) total() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.bytes
}
