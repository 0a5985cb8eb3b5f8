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

func makeFrames(requestID string, attempt int) []frame.Frame {
	frames := make([]frame.Frame, frameCount)
	for i := range frames {
		frames[i] = frame.Frame{RequestID: requestID, Attempt: attempt, Seq: int64(i), Text: fmt.Sprint(i), Tokens: 1}
	}
	frames[frameCount-1].Finish = frame.FinishStop
	return frames
}

// An engine's stream arrives with frames reordered, mixed with those of another request or
// attempt, duplicated, lost, or truncated in the middle of a line. The caller must get its own
// frames in order and once each, and no error only if the response is complete.
func TestMangledStreamIsWholeOrBroken(t *testing.T) {
	own := makeFrames("own", 2)
	foreign := append(makeFrames("other", 2), makeFrames("own", 1)...)
	rapid.Check(t, func(t *rapid.T) {
		var wire []byte
		for _, f := range rapid.SliceOfN(rapid.SampledFrom(append(own, foreign...)), 0, 40).Draw(t, "frames") {
			wire = f.AppendLine(wire)
		}
		wire = wire[:rapid.IntRange(0, len(wire)).Draw(t, "cut")]
		checkStream(t, wire)
	})
	for _, ordered := range [][]byte{encodeFrames(own), encodeFrames(foreign, own), encodeFrames(own[:3], own)} {
		rapid.Check(t, func(t *rapid.T) {
			checkStream(t, ordered[:rapid.IntRange(0, len(ordered)).Draw(t, "cut")])
			checkStream(t, ordered)
		})
	}
}

func encodeFrames(parts ...[]frame.Frame) []byte {
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
	if complete := len(got) == frameCount; complete != (err == nil) {
		t.Fatalf("%d frames, error %v", len(got), err)
	}
	if err != nil && refusal.FromError(err).RunState != refusal.RunUnknown {
		t.Fatalf("refused with %v", err)
	}
}

// A generation that was cancelled on its engine ends with a final frame, as a complete
// response does. The caller must get an error, not a short response.
func TestCancelledGenerationIsIncomplete(t *testing.T) {
	frames := makeFrames("own", 1)[:3]
	frames[2].Finish = frame.FinishCancelled
	var stats StreamStats
	next := int64(0)
	err := readFrames(bufio.NewReader(bytes.NewReader(encodeFrames(frames))), Generation{RequestID: "own", Attempt: 1}, &next, &stats,
		func(*frame.Frame) error { return nil })
	if err == nil || refusal.FromError(err).Code != refusal.CodeIncomplete {
		t.Errorf("ended with %v", err)
	}
}

func handleNothing(*frame.Frame) error { return nil }
