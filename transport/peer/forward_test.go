package peer

import (
	"fmt"
	"io"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/basilroute/basilroute/protocol/frame"
	"github.com/basilroute/basilroute/protocol/peerpb"
	"github.com/basilroute/basilroute/protocol/refusal"
	"github.com/basilroute/basilroute/transport/dispatch"
)

// scriptedStream is a peer's stream that returns its frames, then its final error.
type scriptedStream struct {
	frames []*peerpb.ForwardFrame
	end    error
}

func (s *scriptedStream) Recv() (*peerpb.ForwardFrame, error) {
	if len(s.frames) == 0 {
		return nil, s.end
	}
	f := s.frames[0]
	s.frames = s.frames[1:]
	return f, nil
}

// recordingSink is a sink that records frames and counts bodies.
type recordingSink struct {
	frames []frame.Frame
	bodies int
}

func (g *recordingSink) Frame(_ string, f *frame.Frame) error {
	g.frames = append(g.frames, *f)
	return nil
}

func (g *recordingSink) Answer(string, []byte) error {
	g.bodies++
	return nil
}

const tokenFrames = 5

func tokenFrame(id string, seq int64) *peerpb.ForwardFrame {
	part := &peerpb.Tokens{Text: fmt.Sprint(seq), Count: 1}
	if seq == tokenFrames-1 {
		part.Finish = frame.FinishStop
	}
	return &peerpb.ForwardFrame{RequestId: id, Attempt: 1, Seq: seq, Server: "e", Part: &peerpb.ForwardFrame_Tokens{Tokens: part}}
}

func bodyFrame(id string) *peerpb.ForwardFrame {
	return &peerpb.ForwardFrame{RequestId: id, Attempt: 1, Part: &peerpb.ForwardFrame_Body{Body: []byte("{}")}}
}

func generationWork() *dispatch.Work {
	return &dispatch.Work{
		RequestID: "own", Attempt: 1, Hop: 1, Service: "s", Deadline: time.Now().Add(time.Minute),
		Generation: &dispatch.Generation{Prompt: "p", MaxTokens: tokenFrames},
	}
}

func operationWork() *dispatch.Work {
	return &dispatch.Work{
		RequestID: "own", Attempt: 1, Hop: 1, Service: "s", Deadline: time.Now().Add(time.Minute),
		Operation: &dispatch.Operation{Name: "buy", Body: []byte("{}")},
	}
}

// Guards against a forwarded response with missing frames, duplicates or frames of another
// request.
func TestForwardedStreamIsWholeOrBroken(t *testing.T) {
	var parts []*peerpb.ForwardFrame
	for seq := range int64(tokenFrames) {
		parts = append(parts, tokenFrame("own", seq), tokenFrame("own", seq), tokenFrame("other", seq))
	}
	parts = append(parts, bodyFrame("other"), bodyFrame("own"))
	rapid.Check(t, func(t *rapid.T) {
		var frames []*peerpb.ForwardFrame
		if rapid.Bool().Draw(t, "in order") {
			frames = parts[:rapid.IntRange(0, len(parts)).Draw(t, "cut")]
		} else {
			frames = rapid.SliceOfN(rapid.SampledFrom(parts), 0, 40).Draw(t, "frames")
		}
		end := rapid.SampledFrom([]error{io.EOF, io.ErrUnexpectedEOF}).Draw(t, "end")
		got := &recordingSink{}
		err := receive(&scriptedStream{frames: frames, end: end}, generationWork(), got)
		for i, f := range got.frames {
			if f.RequestID != "own" || f.Seq != int64(i) {
				t.Fatalf("frame %d is %+v", i, f)
			}
		}
		if complete := len(got.frames) == tokenFrames; complete != (err == nil) {
			t.Fatalf("%d frames, error %v", len(got.frames), err)
		}
		if got.bodies > 0 {
			t.Fatal("a generation was answered with a body")
		}
		if err != nil && refusal.FromError(err).RunState != refusal.RunUnknown {
			t.Fatalf("refused with %v", err)
		}
	})
}

// Guards against an operation without a response being taken for one with an empty response.
func TestForwardedOperationNeedsItsAnswer(t *testing.T) {
	for what, frames := range map[string][]*peerpb.ForwardFrame{
		"nothing": nil, "tokens": {tokenFrame("own", 0)}, "another's answer": {bodyFrame("other")},
	} {
		got := &recordingSink{}
		err := receive(&scriptedStream{frames: frames, end: io.EOF}, operationWork(), got)
		if err == nil || refusal.FromError(err).RunState != refusal.RunUnknown || got.bodies > 0 {
			t.Errorf("%s: %v, %d answers", what, err, got.bodies)
		}
	}
	got := &recordingSink{}
	if err := receive(&scriptedStream{frames: []*peerpb.ForwardFrame{bodyFrame("other"), bodyFrame("own")}, end: io.EOF}, operationWork(), got); err != nil || got.bodies != 1 {
		t.Errorf("%v, %d answers", err, got.bodies)
	}
}
