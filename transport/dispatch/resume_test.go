package dispatch

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/basilroute/basilroute/protocol/frame"
	"github.com/basilroute/basilroute/protocol/refusal"
)

const (
	answerFrames   = 8
	framesPerBreak = 10 // of a long stream whose connections break
	peersDomain    = "north-2"
)

// fakePeers is a failure domain with one engine, reached through peers whose links break
// after some frames.
type fakePeers struct {
	breakAfter map[string]int // frames until the link to a peer breaks; -1 for never
	thenDead   bool           // a peer whose link broke delivers nothing more
	asked      []string
	started    int
	cancelled  []string
}

func (f *fakePeers) Forward(_ context.Context, address string, w *Work, sink Sink) error {
	f.asked = append(f.asked, address)
	if w.Generation.FromSeq == 0 {
		f.started++
	} else if w.Generation.Server != "engine" {
		return refusal.New(refusal.CodeInternal, "resumed without its engine")
	}
	left := f.breakAfter[address]
	frames := int64(w.Generation.MaxTokens)
	for seq := w.Generation.FromSeq; seq < frames; seq++ {
		if left == 0 {
			if f.thenDead {
				f.breakAfter[address] = 0
			}
			return refusal.New(refusal.CodePeerUnreachable, "cut").WithRunState(refusal.RunUnknown)
		}
		left--
		part := &frame.Frame{RequestID: w.RequestID, Attempt: w.Attempt, Seq: seq, Text: fmt.Sprint(seq), Tokens: 1}
		if seq == frames-1 {
			part.Finish = frame.FinishStop
		}
		if err := sink.Frame("engine", part); err != nil {
			return err
		}
	}
	return nil
}

func (f *fakePeers) Cancel(_ context.Context, address string, _ *Work, server string) error {
	f.cancelled = append(f.cancelled, server+" through "+address)
	return nil
}

type textSink struct {
	frames []int64
	err    error // returned from the second frame on
}

func (s *textSink) Frame(_ string, f *frame.Frame) error {
	s.frames = append(s.frames, f.Seq)
	if len(s.frames) > 1 {
		return s.err
	}
	return nil
}

func (s *textSink) Answer(string, []byte) error { return nil }

func newResumer(f *fakePeers) *Resumer {
	return &Resumer{Next: f, Peers: func(domain, address string) []string {
		if domain != peersDomain {
			return nil
		}
		others := slices.DeleteFunc([]string{"a", "b", "c"}, func(p string) bool { return p == address })
		return append(others, address)
	}}
}

func streamWork() *Work {
	return &Work{RequestID: "r", Attempt: 1, Hop: 1, domain: peersDomain, Generation: &Generation{Prompt: "p", MaxTokens: answerFrames}}
}

// The link to the forwarding peer breaks during a stream, possibly more than once. The
// caller gets each frame once and in order: the rest comes through another peer from the
// same engine. The generation is started once, and is cancelled if the answer cannot be
// completed. Before the first frame nothing is resumed, since the first instance can
// restart on any engine.
func TestBrokenForwardIsResumedOnItsEngine(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) { checkBrokenForward(t, rt) })
}

func checkBrokenForward(outer *testing.T, t *rapid.T) {
	peers := &fakePeers{breakAfter: make(map[string]int)}
	for _, p := range []string{"a", "b", "c"} {
		peers.breakAfter[p] = rapid.IntRange(-1, 4).Draw(t, p)
	}
	peers.thenDead = rapid.Bool().Draw(t, "then dead")
	sink := &textSink{}
	var err error
	synctest.Test(outer, func(*testing.T) {
		err = newResumer(peers).Forward(context.Background(), "a", streamWork(), sink)
	})
	for i, seq := range sink.frames {
		if seq != int64(i) {
			t.Fatalf("frames %v", sink.frames)
		}
	}
	if whole := len(sink.frames) == answerFrames; whole != (err == nil) {
		t.Fatalf("%d frames, error %v", len(sink.frames), err)
	}
	if peers.started != 1 {
		t.Fatalf("started %d times", peers.started)
	}
	if abandoned := err != nil && len(sink.frames) > 0; abandoned != (len(peers.cancelled) == 1) {
		t.Fatalf("%v after %d frames, cancelled %v", err, len(sink.frames), peers.cancelled)
	}
}

// The forwarding peer fails in the middle of a stream and another peer of its failure
// domain is available. The caller gets the complete answer.
func TestDeadPeerIsReplaced(t *testing.T) {
	peers := &fakePeers{breakAfter: map[string]int{"a": 3, "b": -1}}
	sink := &textSink{}
	if err := newResumer(peers).Forward(t.Context(), "a", streamWork(), sink); err != nil {
		t.Fatal(err)
	}
	if len(sink.frames) != answerFrames || !slices.Equal(peers.asked, []string{"a", "b"}) || len(peers.cancelled) > 0 {
		t.Errorf("%v through %v, cancelled %v", sink.frames, peers.asked, peers.cancelled)
	}
}

// The caller disconnects: nothing is resumed and the generation is cancelled.
func TestNoResumeAfterCallerDisconnects(t *testing.T) {
	peers := &fakePeers{breakAfter: map[string]int{"a": -1}}
	sink := &textSink{err: refusal.New(refusal.CodePeerUnreachable, "the caller went away")}
	if err := newResumer(peers).Forward(t.Context(), "a", streamWork(), sink); err == nil {
		t.Fatal("no error")
	}
	if len(peers.asked) != 1 || len(peers.cancelled) != 1 {
		t.Errorf("asked %v, cancelled %v", peers.asked, peers.cancelled)
	}
}

// Guards against resuming through two dead peers in turn while a third one is well.
func TestResumeTriesEachPeer(t *testing.T) {
	peers := &fakePeers{breakAfter: map[string]int{"a": 3, "b": 0, "c": -1}, thenDead: true}
	sink := &textSink{}
	if err := newResumer(peers).Forward(t.Context(), "a", streamWork(), sink); err != nil || len(sink.frames) != answerFrames {
		t.Errorf("%d frames through %v, %v", len(sink.frames), peers.asked, err)
	}
}

// Guards against giving up a long stream because its connections have broken a few times in
// all, with many frames between them.
func TestResumesAreCountedBetweenFrames(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		peers := &fakePeers{breakAfter: map[string]int{"a": framesPerBreak, "b": framesPerBreak, "c": framesPerBreak}}
		w := streamWork()
		w.Generation.MaxTokens = 20 * framesPerBreak
		sink := &textSink{}
		if err := newResumer(peers).Forward(t.Context(), "a", w, sink); err != nil || len(sink.frames) != w.Generation.MaxTokens {
			t.Errorf("%d of %d frames, %v", len(sink.frames), w.Generation.MaxTokens, err)
		}
	})
}

// Guards against giving up a generation, which its engine continues, while the only peer
// restarts.
func TestResumeOutlastsARestart(t *testing.T) {
	const restart = 2 * time.Second
	synctest.Test(t, func(t *testing.T) {
		peers := &fakePeers{breakAfter: map[string]int{"a": 3}, thenDead: true}
		up := time.Now().Add(restart)
		resumer := newResumer(peers)
		resumer.Peers = func(string, string) []string {
			if time.Now().After(up) {
				peers.breakAfter["a"] = -1
			}
			return []string{"a"}
		}
		sink := &textSink{}
		if err := resumer.Forward(t.Context(), "a", streamWork(), sink); err != nil || len(sink.frames) != answerFrames {
			t.Errorf("%d frames, %d attempts, %v", len(sink.frames), len(peers.asked), err)
		}
	})
}
