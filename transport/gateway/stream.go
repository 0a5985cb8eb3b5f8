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

// maxBuffered is how many bytes of events may wait for a slow caller before the
// engine's stream is held back.
const maxBuffered = 256 << 10

// events is a stream of server-sent events: dispatch writes frames into it as a
// sink, the HTTP server reads it.
type events struct {
	id, model, object string
	created           int64
	cancel            context.CancelFunc
	finished          chan struct{} // closed when the request has ended

	mu      sync.Mutex
	buf     []byte
	encoder jx.Writer // kept, since one a frame would be an allocation a token
	output  int
	frames  int
	whole   bool // the last frame is there
	ended   bool
	wake    chan struct{} // capacity 1: there is something to read
	drained chan struct{} // capacity 1: there is room again
	gone    <-chan struct{}
}

// stream starts the work and returns when its first event is there, so that a
// refusal before that still gets its own status.
func (g *Gateway) stream(ctx context.Context, w *dispatch.Work, object string) (io.ReadCloser, error) {
	ctx, cancel := context.WithCancel(ctx)
	e := &events{
		id: w.RequestID, model: w.Service, object: object, created: time.Now().Unix(),
		cancel: cancel, finished: make(chan struct{}), gone: ctx.Done(),
		wake: make(chan struct{}, 1), drained: make(chan struct{}, 1),
	}
	var failed error
	go func() {
		defer close(e.finished)
		failed = g.run(ctx, w, e)
		e.end(failed)
	}()
	select {
	case <-e.wake:
		signal(e.wake)
	case <-e.finished:
	}
	if !e.begun() {
		<-e.finished
		cancel()
		return nil, failed
	}
	return httpstream.SendEvents(ctx, e), nil
}

func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

func (e *events) begun() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.frames > 0
}

// Whole tells whether the answer has its end.
func (e *events) Whole() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.whole
}

// Frame implements dispatch.Sink.
func (e *events) Frame(_ string, f *frame.Frame) error {
	for {
		e.mu.Lock()
		if len(e.buf) < maxBuffered {
			e.output += f.Tokens
			e.frames++
			e.whole = f.Finish != ""
			e.buf = e.appendFrame(e.buf, f)
			e.mu.Unlock()
			signal(e.wake)
			return nil
		}
		e.mu.Unlock()
		select {
		case <-e.drained:
		case <-e.gone:
			return refusal.New(refusal.CodeIncomplete, "the caller went away").WithRun(refusal.Ran)
		}
	}
}

// Answer implements dispatch.Sink. Operations are not streamed.
func (e *events) Answer(string, []byte) error { return nil }

func (e *events) appendFrame(buf []byte, f *frame.Frame) []byte {
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
	if e.object == objectChatPart {
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

func (e *events) appendUsage(w *jx.Writer, f *frame.Frame) {
	w.RawStr(`{"prompt_tokens":`)
	w.Int(f.PromptTokens)
	w.RawStr(`,"completion_tokens":`)
	w.Int(e.output)
	w.RawStr(`,"total_tokens":`)
	w.Int(f.PromptTokens + e.output)
	w.RawStr(`,"cached_tokens":`)
	w.Int(f.CachedTokens)
	w.RawStr(`}`)
}

// end writes the last event: the usual mark of a whole answer, or an explicit
// event that the answer is not whole.
func (e *events) end(err error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.ended = true
	switch {
	case err == nil:
		e.buf = append(e.buf, "data: [DONE]\n\n"...)
	case e.frames > 0:
		e.buf = appendIncomplete(e.buf, classify(err))
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
	w.Str(string(r.Run))
	w.RawStr("}}\n\n")
	return w.Buf
}

// Read implements io.Reader.
func (e *events) Read(p []byte) (int, error) {
	for {
		n, ended := e.take(p)
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

func (e *events) take(p []byte) (int, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	n := copy(p, e.buf)
	if n > 0 {
		rest := copy(e.buf, e.buf[n:])
		e.buf = e.buf[:rest]
		signal(e.drained)
	}
	return n, e.ended && len(e.buf) == 0
}

// Close implements io.Closer. It cancels what still runs and waits for its end.
func (e *events) Close() error {
	e.cancel()
	<-e.finished
	return nil
}
