package dispatch

import (
	"context"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/basilroute/basilroute/coordination/quarantine"
	"github.com/basilroute/basilroute/protocol/frame"
	"github.com/basilroute/basilroute/protocol/refusal"
	"github.com/basilroute/basilroute/service"
	"github.com/basilroute/basilroute/standin/engine"
	"github.com/basilroute/basilroute/state/catalog"
	"github.com/basilroute/basilroute/state/servers"
	"github.com/basilroute/basilroute/transport/backend"
)

const localPrompt = "which lacquers may cross a border"

// localEngine returns a LocalDispatcher with one engine.
func localEngine(t *testing.T) (*LocalDispatcher, servers.Server, *engine.Engine) {
	e := engine.New(engine.DefaultConfig())
	handler, err := e.Handler()
	if err != nil {
		t.Fatal(err)
	}
	server := httptest.NewServer(handler)
	t.Cleanup(e.Close)
	t.Cleanup(server.Close)
	l := &LocalDispatcher{Catalog: catalog.New(), Servers: servers.New(), Backend: backend.New(), Quarantine: quarantine.New()}
	t.Cleanup(l.Backend.Close)
	l.Servers.Replace([]servers.Identity{{ID: "e", Service: "lm", Address: server.URL}}, time.Now())
	return l, servers.Server{ID: "e", Service: "lm", Address: server.URL}, e
}

func localWork(id string, tokens int) *Work {
	return &Work{RequestID: id, Attempt: 1, Service: "lm", Class: service.ClassInteractive, Generation: &Generation{Prompt: localPrompt, MaxTokens: tokens}}
}

// collectingSink collects an answer and signals its first frame.
type collectingSink struct {
	mu    sync.Mutex
	text  strings.Builder
	last  frame.Frame
	first chan struct{}
	once  sync.Once
}

func newCollectingSink() *collectingSink { return &collectingSink{first: make(chan struct{})} }

func (c *collectingSink) Frame(_ string, f *frame.Frame) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.text.WriteString(f.Text)
	c.last = *f
	c.once.Do(func() { close(c.first) })
	return nil
}

func (c *collectingSink) Answer(string, []byte) error { return nil }

// An engine's connection is cut several times; its frames are duplicated and interleaved
// with those of another generation. The caller gets the complete text once, from one
// generation.
func TestCutStreamIsResumedOnItsEngine(t *testing.T) {
	l, server, e := localEngine(t)
	e.SetFaults(engine.Faults{CutAfter: 5, MaxCuts: 3, RepeatFrames: true, ForeignFrames: true})
	sink := newCollectingSink()
	const tokens = 40
	if err := l.generate(t.Context(), localWork("r", tokens), server, sink); err != nil {
		t.Fatal(err)
	}
	var want strings.Builder
	for i := range tokens {
		want.WriteString(engine.Token(localPrompt, i))
	}
	if sink.text.String() != want.String() {
		t.Errorf("got %q", sink.text.String())
	}
	if started := e.Stats().Started; started != 1 {
		t.Errorf("%d generations", started)
	}
}

// The engine's connection stays cut after some frames: the caller gets an error, never an
// answer that looks complete.
func TestStreamThatStaysCutIsAnError(t *testing.T) {
	l, server, e := localEngine(t)
	e.SetFaults(engine.Faults{CutAfter: 1, MaxCuts: 100})
	sink := newCollectingSink()
	err := l.generate(t.Context(), localWork("r", 40), server, sink)
	if got := refusal.FromError(err); err == nil || got.RunState != refusal.RunUnknown || sink.last.Finish != "" {
		t.Errorf("ended with %v after %+v", err, sink.last)
	}
}

// A caller disconnects in the middle of a stream: the engine has been told to cancel when
// generate returns. If only the link to the first instance broke, the generation continues
// and can be resumed from the next frame, also through another instance.
func TestCancelReachesTheEngine(t *testing.T) {
	l, server, e := localEngine(t)
	run := func(id string, cause error) *collectingSink {
		ctx, cancel := context.WithCancelCause(t.Context())
		sink := newCollectingSink()
		ended := make(chan error, 1)
		go func() { ended <- l.generate(ctx, localWork(id, 4000), server, sink) }()
		<-sink.first
		cancel(cause)
		if err := <-ended; err == nil {
			t.Errorf("%s ended without an error", id)
		}
		return sink
	}
	run("gone", nil)
	if n := e.Stats().Cancelled; n != 1 {
		t.Fatalf("%d generations cancelled", n)
	}
	cut := run("detached", ErrDetached)
	if n := e.Stats().Cancelled; n != 1 {
		t.Fatal("a detached generation was cancelled")
	}
	rest := newCollectingSink()
	again := localWork("detached", 4000)
	again.Generation.FromSeq, again.Generation.Server = cut.last.Seq+1, "e"
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- l.generate(ctx, again, server, rest) }()
	<-rest.first
	if started := e.Stats().Started; started != 2 {
		t.Errorf("%d generations for two requests", started)
	}
	cancel()
	<-ended
}

// A resumed generation runs on its own engine or fails.
func TestResumeNeedsItsEngine(t *testing.T) {
	l, _, _ := localEngine(t)
	w := localWork("r", 4)
	w.Generation.Server = "e"
	if server, refused, ok := l.pinnedServer(w); !ok || refused != nil || server.ID != "e" {
		t.Errorf("%v %v %v", server, refused, ok)
	}
	w.Generation.Server = "another"
	if _, refused, ok := l.pinnedServer(w); !ok || refused == nil || refused.RunState != refusal.Ran {
		t.Errorf("%v %v", refused, ok)
	}
}

// Guards against giving up a long generation because its connections have broken a few times
// in all, with many frames between them.
func TestLongStreamOutlastsManyCuts(t *testing.T) {
	const cuts, framesPerCut = 10, 20
	l, server, e := localEngine(t)
	e.SetFaults(engine.Faults{CutAfter: framesPerCut, MaxCuts: cuts})
	sink := newCollectingSink()
	err := l.generate(t.Context(), localWork("r", (cuts+1)*framesPerCut), server, sink)
	if stats := e.Stats(); err != nil || sink.last.Finish == "" || stats.Started != 1 || stats.Cancelled != 0 {
		t.Errorf("%v after frame %d, %+v", err, sink.last.Seq, stats)
	}
}

// Guards against giving up a generation whose engine is no longer listed but still runs it.
func TestResumeOnAnUnlistedEngine(t *testing.T) {
	const tokens = 200
	l, server, e := localEngine(t)
	ctx, detach := context.WithCancelCause(t.Context())
	begun := newCollectingSink()
	ended := make(chan error, 1)
	go func() { ended <- l.generate(ctx, localWork("r", tokens), server, begun) }()
	<-begun.first
	detach(ErrDetached)
	<-ended
	l.Servers.Replace(nil, time.Now())
	w := localWork("r", tokens)
	w.Generation.FromSeq, w.Generation.Server = begun.last.Seq+1, server.ID
	rest := newCollectingSink()
	err := l.Run(t.Context(), w, rest)
	if stats := e.Stats(); err != nil || rest.last.Finish == "" || stats.Started != 1 || stats.Cancelled != 0 {
		t.Errorf("%v, last frame %+v, %+v", err, rest.last, stats)
	}
}

// Guards against giving up a generation because the configuration has no such service any
// more.
func TestResumeAfterTheServiceWasRemoved(t *testing.T) {
	l, server, _ := localEngine(t)
	w := localWork("r", 4)
	w.Generation.Server = server.ID
	sink := newCollectingSink()
	if err := l.Run(t.Context(), w, sink); err != nil || sink.last.Finish == "" {
		t.Errorf("%v, last frame %+v", err, sink.last)
	}
}

// Guards against taking an instance without its list of servers for one that knows that the
// engine has gone.
func TestResumeWaitsForTheListOfServers(t *testing.T) {
	l := &LocalDispatcher{Catalog: catalog.New(), Servers: servers.New()}
	w := localWork("r", 4)
	w.Generation.FromSeq, w.Generation.Server = 2, "e"
	err := l.Run(t.Context(), w, newCollectingSink())
	p := &progress{Sink: newCollectingSink(), next: 2}
	if r := &(Resumer{}); !r.resumable(t.Context(), err, p) {
		t.Errorf("not resumed after %v", err)
	}
}
