package loadgen

import (
	"bufio"
	"bytes"
	"io"
	"strings"
	"time"

	"github.com/go-faster/jx"

	"github.com/basilroute/basilroute/protocol/frame"
	"github.com/basilroute/basilroute/standin/engine"
)

// responseChecker compares a response with the tokens that the engine stand-in generates
// for a prompt.
type responseChecker struct {
	promptHash engine.PromptHash
	nextToken  int
	mismatch   bool
}

func newResponseChecker(prompt string) *responseChecker {
	return &responseChecker{promptHash: engine.HashPrompt(prompt)}
}

func (c *responseChecker) add(text string) {
	for len(text) > 0 {
		want := c.promptHash.Token(c.nextToken)
		rest, ok := strings.CutPrefix(text, want)
		if !ok {
			c.mismatch = true
			return
		}
		text = rest
		c.nextToken++
	}
}

// resultCode returns the outcome code of a response that ended normally. The stand-in
// generates exactly as many tokens as were requested.
func (c *responseChecker) resultCode(want int) string {
	if c.mismatch || c.nextToken != want {
		return CodeWrongAnswer
	}
	return CodeDone
}

// event holds the fields of a server-sent event that the load tool uses.
type event struct {
	text   string
	finish string
	code   string // of an incomplete event
}

var (
	dataPrefix  = []byte("data: ")
	eventPrefix = []byte("event: ")
)

const (
	doneSentinel = "[DONE]"
	maxLineBytes = 16 << 10
)

// readEvents reads a stream of server-sent events to its end.
func readEvents(r io.Reader, p *PlannedRequest, out *Outcome) {
	lines := bufio.NewReaderSize(r, maxLineBytes)
	check := newResponseChecker(p.Prompt)
	incomplete := false
	for {
		line, err := lines.ReadSlice('\n')
		if err != nil {
			out.Code = CodeCut
			return
		}
		line = bytes.TrimRight(line, "\r\n")
		if name, ok := bytes.CutPrefix(line, eventPrefix); ok {
			incomplete = string(name) == "incomplete"
			continue
		}
		data, ok := bytes.CutPrefix(line, dataPrefix)
		if !ok {
			continue
		}
		if string(data) == doneSentinel {
			out.Code = check.resultCode(p.MaxTokens)
			_, _ = io.Copy(io.Discard, lines) // drains the body, so that the connection is reused
			return
		}
		e, err := parseEvent(data)
		if err != nil {
			out.Code = CodeWrongAnswer
			return
		}
		if incomplete {
			out.Code, out.Detail = CodeIncomplete, e.code
			return
		}
		if e.text != "" {
			check.add(e.text)
			out.recordTokens(time.Now(), 1)
		}
	}
}

func parseEvent(data []byte) (event, error) {
	var e event
	err := jx.DecodeBytes(data).Obj(func(d *jx.Decoder, key string) error {
		switch key {
		case "choices":
			return d.Arr(e.choice)
		case "error":
			return d.Obj(func(d *jx.Decoder, key string) (err error) {
				if key != "code" {
					return d.Skip()
				}
				e.code, err = d.Str()
				return err
			})
		}
		return d.Skip()
	})
	return e, err
}

func (e *event) choice(d *jx.Decoder) error {
	return d.Obj(func(d *jx.Decoder, key string) (err error) {
		switch {
		case key == "text":
			e.text, err = d.Str()
		case key == "finish_reason" && d.Next() == jx.String:
			e.finish, err = d.Str()
		default:
			err = d.Skip()
		}
		return err
	})
}

// readFrames reads a stream of engine frames to its end.
func readFrames(r io.Reader, p *PlannedRequest, out *Outcome) {
	lines := bufio.NewReaderSize(r, maxLineBytes)
	check := newResponseChecker(p.Prompt)
	var f frame.Frame
	for {
		line, err := lines.ReadSlice('\n')
		if err != nil {
			out.Code = CodeCut
			return
		}
		if err := frame.Decode(line, &f); err != nil {
			out.Code = CodeWrongAnswer
			return
		}
		if f.Text != "" {
			check.add(f.Text)
			out.recordTokens(time.Now(), f.Tokens)
		}
		if f.Finish != "" {
			out.Code = check.resultCode(p.MaxTokens)
			_, _ = io.Copy(io.Discard, lines) // drains the body, so that the connection is reused
			return
		}
	}
}
