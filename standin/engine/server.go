package engine

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/basilroute/basilroute/protocol/engineapi"
	"github.com/basilroute/basilroute/protocol/frame"
	"github.com/basilroute/basilroute/transport/httpstream"
)

// Handler serves the engine's API, and /admin/ for injecting faults.
func (e *Engine) Handler() (http.Handler, error) {
	api, err := engineapi.NewServer(e)
	if err != nil {
		return nil, errors.Wrap(err, "engine stand-in")
	}
	mux := http.NewServeMux()
	mux.Handle("/v1/", e.intercept(httpstream.FlushHandler(api)))
	mux.HandleFunc("PUT /admin/faults", func(w http.ResponseWriter, r *http.Request) {
		var faults Faults
		if err := json.NewDecoder(r.Body).Decode(&faults); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		e.SetFaults(faults)
		w.WriteHeader(http.StatusNoContent)
	})
	mux.HandleFunc("GET /admin/stats", func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(e.Stats())
	})
	return mux, nil
}

// intercept drops connections while the engine is down, and counts requests that carry a
// caller's key.
func (e *Engine) intercept(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		e.mu.Lock()
		down := e.down()
		if r.Header.Get("Authorization") != "" {
			e.keysSeen++
		}
		e.mu.Unlock()
		if down {
			panic(http.ErrAbortHandler)
		}
		next.ServeHTTP(w, r)
	})
}

func apiError(status int, code engineapi.ErrorCode, message string) *engineapi.ErrorStatusCode {
	return &engineapi.ErrorStatusCode{
		StatusCode: status,
		Response:   engineapi.Error{Code: code, Message: message},
	}
}

// NewError implements engineapi.Handler.
func (e *Engine) NewError(_ context.Context, err error) *engineapi.ErrorStatusCode {
	var typed *engineapi.ErrorStatusCode
	if errors.As(err, &typed) {
		return typed
	}
	return apiError(http.StatusInternalServerError, engineapi.ErrorCodeInvalid, err.Error())
}

// Generate implements engineapi.Handler.
func (e *Engine) Generate(ctx context.Context, req *engineapi.GenerateRequest) (engineapi.GenerateOK, error) {
	g, faults, err := e.begin(req)
	if err != nil {
		return engineapi.GenerateOK{}, err
	}
	if faults.ResetAfterRead > 0 {
		panic(http.ErrAbortHandler)
	}
	if faults.Delay > 0 {
		time.Sleep(faults.Delay)
	}
	return engineapi.GenerateOK{Data: &frameReader{
		ctx: ctx, engine: e, generation: g, next: req.FromSeq.Or(0), faults: faults,
	}}, nil
}

// begin starts a generation, or returns the existing one to resume.
func (e *Engine) begin(req *engineapi.GenerateRequest) (*generation, Faults, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	faults := e.faults
	if e.down() { // the request was read before the crash: a crashed engine runs nothing and must not crash again
		panic(http.ErrAbortHandler)
	}
	if faults.CrashOn != "" && strings.Contains(req.Prompt, faults.CrashOn) {
		e.crash()
		panic(http.ErrAbortHandler)
	}
	if g, ok := e.generations[req.RequestID]; ok && g.attempt == req.Attempt {
		return g, faults, nil
	}
	if req.FromSeq.Or(0) > 0 {
		return nil, faults, apiError(http.StatusNotFound, engineapi.ErrorCodeNotFound, "no such generation")
	}
	if e.state.Draining || e.faults.Leaving {
		return nil, faults, apiError(http.StatusServiceUnavailable, engineapi.ErrorCodeLeaving, "the engine is leaving")
	}
	if faults.ResetAfterRead > 0 {
		e.faults.ResetAfterRead--
	}
	g := e.enqueue(req)
	return g, faults, nil
}

func (e *Engine) enqueue(req *engineapi.GenerateRequest) *generation {
	g := &generation{
		id: req.RequestID, attempt: req.Attempt, prompt: req.Prompt, promptHash: HashPrompt(req.Prompt), priority: req.Priority,
		outputTokens: req.MaxTokens, finishReason: frame.FinishLength, changed: make(chan struct{}),
	}
	if e.config.OutputTokens > 0 && e.config.OutputTokens < g.outputTokens {
		g.outputTokens, g.finishReason = e.config.OutputTokens, frame.FinishStop
	}
	e.generations[g.id] = g
	e.waiting = append(e.waiting, g)
	e.started++
	e.snapshotLoad(time.Now())
	e.workAvailable.Broadcast()
	return g
}

// Cancel implements engineapi.Handler.
func (e *Engine) Cancel(_ context.Context, p engineapi.CancelParams) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	g, ok := e.generations[p.RequestID]
	if !ok || g.done || g.cancelled {
		return nil
	}
	g.cancelled = true
	e.cancels++
	return nil
}

// GetLoad implements engineapi.Handler.
func (e *Engine) GetLoad(context.Context) (*engineapi.Load, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	load := e.reportedLoad(time.Now())
	return &load, nil
}

// CacheEvents implements engineapi.Handler.
func (e *Engine) CacheEvents(_ context.Context, p engineapi.CacheEventsParams) ([]engineapi.CacheEvent, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	events := []engineapi.CacheEvent{}
	for _, event := range e.cache.events {
		missing := e.faults.DropCacheEventEvery > 0 && event.Seq%e.faults.DropCacheEventEvery == 0
		if event.Seq > p.After.Or(0) && !missing {
			events = append(events, event)
		}
	}
	return events, nil
}

// GetOrders implements engineapi.Handler.
func (e *Engine) GetOrders(context.Context) (*engineapi.EngineState, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	state := e.state
	return &state, nil
}

// Order implements engineapi.Handler.
func (e *Engine) Order(_ context.Context, order *engineapi.Order) (*engineapi.EngineState, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if order.Fencing < e.state.Fencing && !e.faults.IgnoreFencing {
		return nil, apiError(http.StatusConflict, engineapi.ErrorCodeStaleFencing, "an order with a newer fencing number was accepted")
	}
	e.state = engineapi.EngineState{Fencing: order.Fencing, Version: order.Version, Draining: order.Draining}
	state := e.state
	return &state, nil
}

// frameReader encodes a generation's frames as lines and applies the injected faults.
type frameReader struct {
	ctx        context.Context
	engine     *Engine
	generation *generation
	next       int64
	sent       int64
	faults     Faults
	pending    []byte
	finished   bool
}

// Read implements io.Reader.
func (r *frameReader) Read(p []byte) (int, error) {
	for len(r.pending) == 0 {
		if r.finished {
			return 0, io.EOF
		}
		if err := r.fill(); err != nil {
			return 0, err
		}
	}
	n := copy(p, r.pending)
	r.pending = r.pending[n:]
	return n, nil
}

func (r *frameReader) fill() error {
	for {
		f, changed, done := r.nextFrame()
		if f != nil {
			r.encode(f)
			return nil
		}
		if done {
			panic(http.ErrAbortHandler) // the engine crashed during the stream
		}
		select {
		case <-changed:
		case <-r.ctx.Done():
			return r.ctx.Err()
		}
	}
}

func (r *frameReader) nextFrame() (*frame.Frame, <-chan struct{}, bool) {
	r.engine.mu.Lock()
	defer r.engine.mu.Unlock()
	g := r.generation
	if r.next < int64(len(g.frames)) {
		f := g.frames[r.next]
		return &f, nil, false
	}
	return nil, g.changed, g.done
}

func (r *frameReader) encode(f *frame.Frame) {
	if r.faults.CutAfter > 0 && r.sent >= r.faults.CutAfter && r.takeCut() {
		panic(http.ErrAbortHandler)
	}
	if r.faults.ForeignFrames {
		foreign := *f
		foreign.RequestID, foreign.Text, foreign.Finish = "foreign", "not yours ", ""
		r.pending = foreign.AppendLine(r.pending[:0])
	}
	r.pending = f.AppendLine(r.pending)
	if r.faults.RepeatFrames && f.Finish == "" {
		r.pending = f.AppendLine(r.pending)
	}
	r.next++
	r.sent++
	r.finished = f.Finish != ""
}

func (r *frameReader) takeCut() bool {
	r.engine.mu.Lock()
	defer r.engine.mu.Unlock()
	if r.engine.faults.MaxCuts <= 0 {
		return false
	}
	r.engine.faults.MaxCuts--
	return true
}
