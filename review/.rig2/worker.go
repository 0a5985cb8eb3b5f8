package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const heartbeat = 1200 * time.Millisecond

// worker is a stand-in for a worker of a service. Each start is a new lifetime with a new id.
type worker struct {
	rig     *rig
	name    string
	service string
	zone    string
	address string
	// handle answers a request. It returns false if the channel has to be closed.
	handle func(w *worker, life int, c net.Conn, r *http.Request, body string) bool

	mu       sync.Mutex
	life     int
	listener net.Listener
	conns    map[net.Conn]bool
	down     bool
}

func (w *worker) id(life int) string { return fmt.Sprintf("%s-%d", w.name, life) }

// start begins a new lifetime at the same address.
func (w *worker) start() {
	w.mu.Lock()
	defer w.mu.Unlock()
	l := w.listen()
	w.address, w.listener, w.conns, w.down = l.Addr().String(), l, make(map[net.Conn]bool), false
	w.life++
	go w.serve(l, w.life)
	go w.register(w.life)
}

// listen listens at the worker's address, at the first start at a free one.
func (w *worker) listen() net.Listener {
	if w.address == "" {
		return listen()
	}
	var l net.Listener
	var err error
	for range 50 {
		if l, err = net.Listen("tcp", w.address); err == nil {
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	check(err)
	return l
}

func (w *worker) serve(l net.Listener, life int) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		w.mu.Lock()
		if w.down || w.life != life {
			w.mu.Unlock()
			_ = c.Close()
			continue
		}
		w.conns[c] = true
		w.mu.Unlock()
		go w.serveConn(c, life)
	}
}

func (w *worker) serveConn(c net.Conn, life int) {
	defer func() {
		_ = c.Close()
		w.mu.Lock()
		delete(w.conns, c)
		w.mu.Unlock()
	}()
	reader := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		expected := r.Header.Get("X-Basilroute-Expect-Instance")
		if expected != "" && expected != w.id(life) {
			fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\nX-Basilroute-Not-Executed: 1\r\nX-Basilroute-Request-Id: %s\r\nContent-Length: 0\r\n\r\n",
				r.Header.Get("X-Basilroute-Request-Id"))
			continue
		}
		w.rig.note("%s (%s) runs %s", w.id(life), w.service, r.Header.Get("X-Basilroute-Request-Id"))
		if !w.handle(w, life, c, r, string(body)) {
			return
		}
	}
}

// register keeps the worker's entry in the store for as long as the lifetime lasts.
func (w *worker) register(life int) {
	born := time.Now().UnixMilli()
	for seq := 1; ; seq++ {
		w.mu.Lock()
		over := w.down || w.life != life
		w.mu.Unlock()
		if over {
			break
		}
		w.rig.store.set("servers/"+w.id(life), map[string]any{
			"service": w.service, "address": w.address, "zone": w.zone, "version": "v1", "slots": 16,
			"state": "ready", "cold_left_ms": 0, "seq": seq, "born": born,
		})
		time.Sleep(heartbeat)
	}
	time.Sleep(3 * heartbeat)
	w.rig.store.remove("servers/" + w.id(life))
}

// crash ends the lifetime at once: nothing listens any more, and all channels are reset.
func (w *worker) crash(life int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.down || w.life != life {
		return
	}
	w.down = true
	_ = w.listener.Close()
	for c := range w.conns {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
		_ = c.Close()
	}
}

// head returns the head of a success.
func head(w *worker, life int, r *http.Request, fields ...string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Basilroute-Request-Id: %s\r\nX-Basilroute-Server-Stamp: stamp-%s\r\nX-Basilroute-Server-Load: 1,0,16\r\n%s\r\n",
		r.Header.Get("X-Basilroute-Request-Id"), w.id(life), strings.Join(fields, ""))
}

// chunk encodes a chunk of a body.
func chunk(text string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(text), text) }
