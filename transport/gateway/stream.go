package gateway

import (
	"context"
	"io"
	"sync"
	"time"

	"github.com/go-faster/jx"

	"github.com/basilroute/basilroute/protocol/frame"
	"github.com/basilroute/basilroute/protocol/refusal"
	"github.com/basilroute/basilroute/transport/dispatch"
	"github.com/basilroute/basilroute/transport/httpstream"
)

// maxBufferedBytes bounds the events that are buffered for a slow caller. When the buffer is
// full, reading from the engine's stream blocks.
const maxBufferedBytes = 256 << 10

// eventStream is a stream of server-sent events: dispatch writes frames to it as a sink, and
// the HTTP server reads it.
type eventStream struct {
	id, model, object string
	created           int64
	cancel            context.CancelFunc
	finished          chan struct{} // closed when the request has ended

	mu           sync.Mutex
	buffered     []byte
	encoder      jx.Writer // reused, since an encoder per frame would cost an allocation per token
	outputTokens int
	frames       int
	complete     bool // the last frame was received
	ended        bool
	wake         chan struct{} // capacity 1: there is something to read
	drained      chan struct{} // capacity 1: the buffer has space again
	callerGone   <-chan struct{}
	call         *callEnd
}

// stream starts the work and returns once its first event is buffered, so that a refusal
// before the first event still gets its own HTTP status.
func (g *Gateway) stream(ctx context.Context, w *dispatch.Work, object string) (io.ReadCloser, error) {
	ctx, cancel := context.WithCancel(ctx)
	e := &eventStream{
		id: w.RequestID, model: w.Service, object: object, created: time.Now().Unix(),
		cancel: cancel, finished: make(chan struct{}), callerGone: ctx.Done(), call: endOf(ctx),
		wake: make(chan struct{}, 1), drained: make(chan struct{}, 1),
	}
	var runErr error
	go func() {
		defer close(e.finished)
		runErr = g.run(ctx, w, e)
		e.end(runErr)
	}()
	select {
	case <-e.wake:
		signal(e.wake)
	case <-e.finished:
	}
	if !e.started() {
		<-e.finished
		cancel()
		return nil, runErr
	}
	return httpstream.SendEvents(ctx, e), nil
}

func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

func (e *eventStream) started() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.frames > 0
}

// Complete reports whether the response has its last frame.
func (e *eventStream) Complete() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.complete
}

// Frame implements dispatch.Sink.
func (e *eventStream) Frame(_ string, f *frame.Frame) error {
	for {
		e.mu.Lock()
		if len(e.buffered) < maxBufferedBytes {
			e.outputTokens += f.Tokens
			e.frames++
			e.complete = f.Finish != ""
			e.buffered = e.appendFrame(e.buffered, f)
			e.mu.Unlock()
			signal(e.wake)
			return nil
		}
		e.mu.Unlock()
		select {
		case <-e.drained:
		case <-e.callerGone:
			return refusal.New(refusal.CodeIncomplete, "the caller went away").WithRunState(refusal.Ran)
		}
	}
}

// Answer implements dispatch.Sink. Operations are not streamed.
func (e *eventStream) Answer(string, []byte) error { return nil }

func (e *eventStream) appendFrame(buf []byte, f *frame.Frame) []byte {
	w := &e.encoder
	w.Buf = buf
	w.RawStr(`data: {"id":`)
	w.Str(e.id)
	w.RawStr(`,"object":`)
	w.Str(e.object)
	w.RawStr(`,"created":`)
	w.Int64(e.created)
	w.RawStr(`,"model":`)
	w.Str(e.model)
	w.RawStr(`,"choices":[{"index":0,`)
	if e.object == objectChatChunk {
		w.RawStr(`"delta":{"content":`)
		w.Str(f.Text)
		w.RawStr(`}`)
	} else {
		w.RawStr(`"text":`)
		w.Str(f.Text)
	}
	w.RawStr(`,"finish_reason":`)
	if f.Finish == "" {
		w.RawStr(`null}]}`)
	} else {
		w.Str(f.Finish)
		w.RawStr(`}],"usage":`)
		e.appendUsage(w, f)
		w.RawStr(`}`)
	}
	w.RawStr("\n\n")
	return w.Buf
}

func (e *eventStream) appendUsage(w *jx.Writer, f *frame.Frame) {
	w.RawStr(`{"prompt_tokens":`)
	w.Int(f.PromptTokens)
	w.RawStr(`,"completion_tokens":`)
	w.Int(e.outputTokens)
	w.RawStr(`,"total_tokens":`)
	w.Int(f.PromptTokens + e.outputTokens)
	w.RawStr(`,"cached_tokens":`)
	w.Int(f.CachedTokens)
	w.RawStr(`}`)
}

// end writes the last event: [DONE] for a complete response, or an explicit event that the
// response is incomplete.
func (e *eventStream) end(err error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.ended = true
	switch {
	case err == nil:
		e.buffered = append(e.buffered, "data: [DONE]\n\n"...)
	case e.frames > 0:
		refused := classify(err)
		e.call.refused, e.call.cut = refused, true
		e.buffered = appendIncomplete(e.buffered, refused)
	}
	signal(e.wake)
}

func appendIncomplete(buf []byte, r *refusal.Refusal) []byte {
	w := jx.Writer{Buf: buf}
	w.RawStr("event: incomplete\ndata: {\"error\":{\"code\":")
	w.Str(string(r.Code))
	w.RawStr(`,"message":`)
	w.Str(r.Message)
	w.RawStr(`,"run":`)
	w.Str(string(r.RunState))
	w.RawStr("}}\n\n")
	return w.Buf
}

// Read implements io.Reader.
func (e *eventStream) Read(p []byte) (int, error) {
	for {
		n, ended := e.takeBuffered(p)
		if n > 0 {
			return n, nil
		}
		if ended {
			return 0, io.EOF
		}
		select {
		case <-e.wake:
		case <-e.finished:
		}
	}
}

func (e *eventStream) takeBuffered(p []byte) (int, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	n := copy(p, e.buffered)
	if n > 0 {
		rest := copy(e.buffered, e.buffered[n:])
		e.buffered = e.buffered[:rest]
		signal(e.drained)
	}
	return n, e.ended && len(e.buffered) == 0
}

// Close implements io.Closer. It cancels the request and waits for its end.
func (e *eventStream) Close() error {
	e.cancel()
	<-e.finished
	return nil
}
