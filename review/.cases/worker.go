package main

import (
	"context"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// arrival is a request that a worker received.
type arrival struct {
	at     time.Time
	worker string
	id     string
	path   string
}

// worker is a stand-in for a worker. Requests are of three kinds, by the last element of their path: "work" takes
// the time in the query's parameter ms, "stream" sends events, and "poison" is a stream that crashes the worker just after
// its first event if the worker is set up for that.
type worker struct {
	run           *caseRun
	id, service   string
	zone, address string
	slots         int
	crashesOn     bool          // a poison request crashes it
	beforeEvents  bool          // it crashes before the first event, not after it
	downFor       time.Duration // after a crash

	mu       sync.Mutex
	born     int64
	seq      int64
	running  int
	crashes  int
	coldFrom time.Time
	coldFor  time.Duration
	conns    map[net.Conn]bool
	server   *http.Server
}

func startWorker(run *caseRun, id, service, zone string, slots int) (*worker, error) {
	w := &worker{run: run, id: id, service: service, zone: zone, slots: slots, downFor: 3 * time.Second}
	if err := w.listen(run.ip + ":0"); err != nil {
		return nil, err
	}
	w.announce("ready")
	return w, nil
}

func (w *worker) listen(address string) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.address, w.born, w.seq, w.running = l.Addr().String(), time.Now().UnixMilli(), 0, 0
	w.conns = make(map[net.Conn]bool)
	w.server = &http.Server{Handler: w, ErrorLog: log.New(io.Discard, "", 0), ConnState: w.track}
	server := w.server
	go func() { _ = server.Serve(l) }()
	return nil
}

func (w *worker) track(c net.Conn, state http.ConnState) {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch state {
	case http.StateNew:
		w.conns[c] = true
	case http.StateClosed, http.StateHijacked:
		delete(w.conns, c)
	}
}

// announce writes the worker's entry in the store.
func (w *worker) announce(state string) {
	w.mu.Lock()
	w.seq++
	entry := map[string]any{"service": w.service, "address": w.address, "zone": w.zone, "version": "v1", "slots": w.slots,
		"state": state, "cold_left_ms": max(time.Until(w.coldFrom.Add(w.coldFor)), 0).Milliseconds(), "seq": w.seq, "born": w.born}
	w.mu.Unlock()
	w.run.store.put("servers/"+w.id, entry)
}

// becomeCold lets the worker be cold for a time from now on.
func (w *worker) becomeCold(d time.Duration) {
	w.mu.Lock()
	w.coldFrom, w.coldFor = time.Now(), d
	w.mu.Unlock()
	w.announce("ready")
}

// removeEntry removes the worker's entry from the store. The worker goes on serving.
func (w *worker) removeEntry() { w.run.store.remove("servers/" + w.id) }

// crash ends the worker as a crash does: its channels are reset and nothing listens at its address. It is back after
// some seconds.
func (w *worker) crash() {
	w.mu.Lock()
	server, conns := w.server, make([]net.Conn, 0, len(w.conns))
	for c := range w.conns {
		conns = append(conns, c)
	}
	w.crashes++
	address := w.address
	w.mu.Unlock()
	for _, c := range conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
	}
	_ = server.Close()
	w.run.record("worker %s crashes", w.id)
	time.AfterFunc(w.downFor, func() {
		if err := w.listen(address); err != nil {
			w.run.record("worker %s does not come back: %v", w.id, err)
			return
		}
		w.announce("ready")
		w.run.record("worker %s is back", w.id)
	})
}

func (w *worker) crashCount() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.crashes
}

// ServeHTTP implements http.Handler.
func (w *worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/health" {
		rw.Header().Set("X-Basilroute-Instance-Id", w.id)
		return
	}
	id := r.Header.Get("X-Basilroute-Request-Id")
	rw.Header().Set("X-Basilroute-Request-Id", id)
	if expected := r.Header.Get("X-Basilroute-Expect-Instance"); expected != "" && expected != w.id {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	if !w.admit() {
		rw.Header().Set("X-Basilroute-Not-Executed", "1")
		rw.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer w.leave()
	w.run.arrived(arrival{time.Now(), w.id, id, r.URL.Path})
	rw.Header().Set("X-Basilroute-Server-Stamp", "stamp-"+w.id)
	rw.Header().Set("X-Basilroute-Server-Load", fmt.Sprintf("%d,0,%d", w.runningNow(), w.slots))
	ctx := r.Context()
	if ms, err := strconv.Atoi(r.Header.Get("X-Basilroute-Deadline-Ms")); err == nil {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, time.Duration(ms)*time.Millisecond)
		defer cancel()
	}
	switch kind := r.URL.Path[strings.LastIndexByte(r.URL.Path, '/')+1:]; kind {
	case "work":
		ms, _ := strconv.Atoi(r.URL.Query().Get("ms"))
		w.work(ctx, rw, id, time.Duration(ms)*time.Millisecond)
	default:
		w.stream(ctx, rw, r, id, kind == "poison" && w.crashesOn)
	}
}

func (w *worker) admit() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.running >= w.slots {
		return false
	}
	w.running++
	return true
}

func (w *worker) leave() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.running--
}

func (w *worker) runningNow() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.running
}

func (w *worker) work(ctx context.Context, rw http.ResponseWriter, id string, d time.Duration) {
	w.run.record("worker %s runs %s for %d ms", w.id, id, d.Milliseconds())
	select {
	case <-time.After(d):
		w.run.record("worker %s has run %s to its end", w.id, id)
		_, _ = fmt.Fprintf(rw, "done %s\n", id)
	case <-ctx.Done():
		w.run.record("worker %s stops its work on %s: %v", w.id, id, ctx.Err())
		if ctx.Err() == context.DeadlineExceeded {
			rw.WriteHeader(http.StatusGatewayTimeout)
			return
		}
		panic(http.ErrAbortHandler) // the channel is closed
	}
}

const (
	streamEvents = 5
	eventGap     = 60 * time.Millisecond
	// crashDelay is the time between the first event of a poison request and the crash.
	crashDelay = 60 * time.Millisecond
)

func (w *worker) stream(ctx context.Context, rw http.ResponseWriter, r *http.Request, id string, crashes bool) {
	rw.Header().Set("Content-Type", "text/event-stream")
	control := http.NewResponseController(rw)
	first, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	for n := first + 1; n <= streamEvents; n++ {
		select {
		case <-time.After(eventGap):
		case <-ctx.Done():
			panic(http.ErrAbortHandler)
		}
		if crashes && w.beforeEvents {
			w.crash()
			panic(http.ErrAbortHandler)
		}
		if _, err := fmt.Fprintf(rw, "id: %d\ndata: %s %d\n\n", n, id, n); err != nil {
			return
		}
		_ = control.Flush()
		if crashes {
			w.run.record("worker %s has sent event %d of %s", w.id, n, id)
			time.Sleep(crashDelay)
			w.crash()
			panic(http.ErrAbortHandler)
		}
	}
}
