package backend

import (
	"bufio"
	"bytes"
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"github.com/basilroute/basilroute/protocol/frame"
	"github.com/basilroute/basilroute/protocol/refusal"
)

const frameCount = 6

func framesOf(requestID string, attempt int) []frame.Frame {
	frames := make([]frame.Frame, frameCount)
	for i := range frames {
		frames[i] = frame.Frame{RequestID: requestID, Attempt: attempt, Seq: int64(i), Text: fmt.Sprint(i), Tokens: 1}
	}
	frames[frameCount-1].Finish = frame.FinishStop
	return frames
}

// An engine's stream arrives with frames late, crossed with those of another
// request or attempt, repeated, lost, or cut in the middle of a line. The caller
// gets its own frames in order and once each. It gets them as a whole answer
// only if they are one; every other end is an error.
func TestMangledStreamIsWholeOrBroken(t *testing.T) {
	own := framesOf("own", 2)
	foreign := append(framesOf("other", 2), framesOf("own", 1)...)
	rapid.Check(t, func(t *rapid.T) {
		var wire []byte
		for _, f := range rapid.SliceOfN(rapid.SampledFrom(append(own, foreign...)), 0, 40).Draw(t, "frames") {
			wire = f.AppendLine(wire)
		}
		wire = wire[:rapid.IntRange(0, len(wire)).Draw(t, "cut")]
		checkStream(t, wire)
	})
	for _, ordered := range [][]byte{wireOf(own), wireOf(foreign, own), wireOf(own[:3], own)} {
		rapid.Check(t, func(t *rapid.T) {
			checkStream(t, ordered[:rapid.IntRange(0, len(ordered)).Draw(t, "cut")])
			checkStream(t, ordered)
		})
	}
}

func wireOf(parts ...[]frame.Frame) []byte {
	var wire []byte
	for _, part := range parts {
		for _, f := range part {
			wire = f.AppendLine(wire)
		}
	}
	return wire
}

func checkStream(t *rapid.T, wire []byte) {
	var got []frame.Frame
	var stats StreamStats
	next := int64(0)
	err := readFrames(bufio.NewReader(bytes.NewReader(wire)), Generation{RequestID: "own", Attempt: 2}, &next, &stats,
		func(f *frame.Frame) error { got = append(got, *f); return nil })
	for i, f := range got {
		if f.RequestID != "own" || f.Attempt != 2 || f.Seq != int64(i) || f.Text != fmt.Sprint(i) {
			t.Fatalf("frame %d is %+v", i, f)
		}
	}
	if whole := len(got) == frameCount; whole != (err == nil) {
		t.Fatalf("%d frames, error %v", len(got), err)
	}
	if err != nil && refusal.From(err).Run != refusal.Unknown {
		t.Fatalf("refused with %v", err)
	}
}

// A generation that somebody cancelled on its engine ends with a frame like a
// whole answer's. The caller must get an error, not a short answer.
func TestCancelledGenerationIsNotWhole(t *testing.T) {
	frames := framesOf("own", 1)[:3]
	frames[2].Finish = frame.FinishCancelled
	var stats StreamStats
	next := int64(0)
	err := readFrames(bufio.NewReader(bytes.NewReader(wireOf(frames))), Generation{RequestID: "own", Attempt: 1}, &next, &stats,
		func(*frame.Frame) error { return nil })
	if err == nil || refusal.From(err).Code != refusal.CodeIncomplete {
		t.Errorf("ended with %v", err)
	}
}
