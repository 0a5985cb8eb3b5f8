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

// checker compares an answer with what the engine stand-in says to a prompt.
type checker struct {
	mark engine.PromptHash
	next int
	bad  bool
}

func newChecker(prompt string) *checker { return &checker{mark: engine.HashPrompt(prompt)} }

func (c *checker) add(text string) {
	for len(text) > 0 {
		want := c.mark.Token(c.next)
		rest, ok := strings.CutPrefix(text, want)
		if !ok {
			c.bad = true
			return
		}
		text = rest
		c.next++
	}
}

// verdict is the code of an answer that ended as a whole one. The stand-in
// answers with as many tokens as were asked for.
func (c *checker) verdict(want int) string {
	if c.bad || c.next != want {
		return CodeWrongAnswer
	}
	return CodeDone
}

// event is what the load tool reads of a server-sent event.
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
	doneMark  = "[DONE]"
	lineBytes = 16 << 10
)

// readEvents reads a stream of server-sent events to its end.
func readEvents(r io.Reader, p *PlannedRequest, out *Outcome) {
	lines := bufio.NewReaderSize(r, lineBytes)
	check := newChecker(p.Prompt)
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
		if string(data) == doneMark {
			out.Code = check.verdict(p.MaxTokens)
			_, _ = io.Copy(io.Discard, lines) // to the end, so that the connection is used again
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
			out.token(time.Now(), 1)
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

// readFrames reads an engine's own stream to its end.
func readFrames(r io.Reader, p *PlannedRequest, out *Outcome) {
	lines := bufio.NewReaderSize(r, lineBytes)
	check := newChecker(p.Prompt)
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
			out.token(time.Now(), f.Tokens)
		}
		if f.Finish != "" {
			out.Code = check.verdict(p.MaxTokens)
			_, _ = io.Copy(io.Discard, lines) // to the end, so that the connection is used again
			return
		}
	}
}
