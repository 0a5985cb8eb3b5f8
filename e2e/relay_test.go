package e2e

import (
	"io"
	"net"
	"sync"
	"testing"
)

// relay forwards TCP connections until it is cut. A cut closes both directions, as a
// network partition does, and new connections are closed until the relay is healed.
type relay struct {
	address string
	target  string

	mu    sync.Mutex
	isCut bool
	conns map[net.Conn]struct{}
}

func newRelay(t *testing.T, address, target string) *relay {
	t.Helper()
	listener, err := net.Listen("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	r := &relay{address: address, target: target, conns: make(map[net.Conn]struct{})}
	t.Cleanup(func() {
		_ = listener.Close()
		r.cut()
	})
	go r.serve(listener)
	return r
}

func (r *relay) serve(listener net.Listener) {
	for {
		in, err := listener.Accept()
		if err != nil {
			return
		}
		go r.connect(in)
	}
}

func (r *relay) connect(in net.Conn) {
	out, err := net.Dial("tcp", r.target)
	if err != nil {
		_ = in.Close()
		return
	}
	if !r.add(in, out) {
		return
	}
	go copyOneWay(in, out)
	copyOneWay(out, in)
}

// copyOneWay copies one direction and closes both connections at its end.
func copyOneWay(to, from net.Conn) {
	_, _ = io.Copy(to, from)
	_ = to.Close()
	_ = from.Close()
}

func (r *relay) add(in, out net.Conn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.isCut {
		_ = in.Close()
		_ = out.Close()
		return false
	}
	r.conns[in], r.conns[out] = struct{}{}, struct{}{}
	return true
}

func (r *relay) cut() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.isCut = true
	for c := range r.conns {
		_ = c.Close()
	}
	clear(r.conns)
}

func (r *relay) heal() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.isCut = false
}
