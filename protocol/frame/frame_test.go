package frame

import (
	"strings"
	"testing"
)

var sample = Frame{RequestID: "0193a1b2-7c1e-7f00-8000-0123456789ab", Attempt: 1, Seq: 41, Text: "token ", Tokens: 1}

func BenchmarkDecode(b *testing.B) {
	line := sample.AppendLine(nil)
	var f Frame
	b.SetBytes(int64(len(line)))
	b.ReportAllocs()
	for b.Loop() {
		if err := Decode(line, &f); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkAppendLine(b *testing.B) {
	buf := make([]byte, 0, 512)
	b.ReportAllocs()
	for b.Loop() {
		buf = sample.AppendLine(buf[:0])
	}
}

// An engine of another version may send unknown fields, and any byte may be corrupted.
// A decoded frame has to encode to the same frame, and it must not contain any value of
// the frame that was decoded into the same struct before.
func FuzzDecode(f *testing.F) {
	last := sample
	last.Finish, last.PromptTokens, last.CachedTokens = FinishLength, 12, 64
	for _, seed := range []string{
		string(sample.AppendLine(nil)), string(last.AppendLine(nil)), `{}`, `{"seq":1,"new":{"a":[1]}}`,
		`{"seq":-1}`, `{"seq":1e3}`, `{"text":"\ud800"}`, `{"text":null}`, `{"seq":1}{"seq":2}`, `[`, ``, "\x00",
		`{"request_id":"a","request_id":"b"}`, `{"tokens":99999999999999999999}`, strings.Repeat(`{"a":`, 2000),
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, line []byte) {
		var fresh Frame
		err := Decode(line, &fresh)
		used := last
		if usedErr := Decode(line, &used); (usedErr == nil) != (err == nil) {
			t.Fatalf("%v into a fresh frame, %v into a used one", err, usedErr)
		}
		if err != nil {
			return
		}
		if used != fresh {
			t.Fatalf("%+v into a fresh frame, %+v into a used one", fresh, used)
		}
		if fresh.Finish == "" && (fresh.PromptTokens != 0 || fresh.CachedTokens != 0) {
			return // these are encoded in the last frame only
		}
		var again Frame
		if err := Decode(fresh.AppendLine(nil), &again); err != nil || again != fresh {
			t.Fatalf("%+v became %+v (%v)", fresh, again, err)
		}
	})
}
