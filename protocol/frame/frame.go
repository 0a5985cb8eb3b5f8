// Package frame encodes and decodes the frames of an engine's stream, one JSON
// object a line, as protocol/openapi/engine.yaml describes them.
package frame

import (
	"github.com/go-faster/jx"
)

// Reasons why a generation finished.
const (
	FinishStop      = "stop"
	FinishLength    = "length"
	FinishCancelled = "cancelled"
)

// Frame is one chunk of a generation.
type Frame struct {
	RequestID    string
	Attempt      int
	Seq          int64 // from 0, rises by one
	Text         string
	Tokens       int    // in this frame
	PromptTokens int    // set on the last frame
	CachedTokens int    // prompt tokens found in the cache, set on the last frame
	Finish       string // set on the last frame
}

// AppendLine appends the encoded frame and a newline to buf.
func (f *Frame) AppendLine(buf []byte) []byte {
	w := jx.Writer{Buf: buf}
	w.RawStr(`{"request_id":`)
	w.Str(f.RequestID)
	w.RawStr(`,"attempt":`)
	w.Int(f.Attempt)
	w.RawStr(`,"seq":`)
	w.Int64(f.Seq)
	w.RawStr(`,"text":`)
	w.Str(f.Text)
	w.RawStr(`,"tokens":`)
	w.Int(f.Tokens)
	if f.Finish != "" {
		w.RawStr(`,"finish":`)
		w.Str(f.Finish)
		w.RawStr(`,"prompt_tokens":`)
		w.Int(f.PromptTokens)
		w.RawStr(`,"cached_tokens":`)
		w.Int(f.CachedTokens)
	}
	w.RawStr("}\n")
	return w.Buf
}

// Decode parses one line into f and skips unknown fields. It reuses the request id
// string that f held before if the id is the same, as it is in all frames of a stream,
// to avoid an allocation.
func Decode(line []byte, f *Frame) error {
	previous := f.RequestID
	*f = Frame{}
	d := jx.GetDecoder()
	defer jx.PutDecoder(d)
	d.ResetBytes(line)
	return d.ObjBytes(func(d *jx.Decoder, key []byte) error {
		return f.decodeField(d, key, previous)
	})
}

// reuseOrAllocate decodes a string and allocates only if it differs from previous.
func reuseOrAllocate(d *jx.Decoder, previous string) (string, error) {
	encoded, err := d.StrBytes()
	if string(encoded) == previous {
		return previous, err
	}
	return string(encoded), err
}

func (f *Frame) decodeField(d *jx.Decoder, key []byte, previous string) (err error) {
	switch string(key) {
	case "request_id":
		f.RequestID, err = reuseOrAllocate(d, previous)
	case "attempt":
		f.Attempt, err = d.Int()
	case "seq":
		f.Seq, err = d.Int64()
	case "text":
		f.Text, err = d.Str()
	case "tokens":
		f.Tokens, err = d.Int()
	case "prompt_tokens":
		f.PromptTokens, err = d.Int()
	case "cached_tokens":
		f.CachedTokens, err = d.Int()
	case "finish":
		f.Finish, err = d.Str()
	default:
		err = d.Skip()
	}
	return err
}
