package backend

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"net/url"
	"sync"

	"github.com/cockroachdb/errors"

	"github.com/basilroute/basilroute/protocol/engineapi"
	"github.com/basilroute/basilroute/protocol/frame"
	"github.com/basilroute/basilroute/protocol/refusal"
)

const (
	lineBufferBytes = 4 << 10
	maxFrameBytes   = 256 << 10
)

var lineReaders = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, lineBufferBytes) }}

// Generation is one attempt of a request on an engine.
type Generation struct {
	RequestID string
	Attempt   int
	Account   string
	Version   string
	Prompt    string
	MaxTokens int
	Priority  int
	Via       string
}

// FrameFunc handles a frame. An error ends the stream and is returned unchanged.
type FrameFunc func(f *frame.Frame) error

// StreamStats counts frames that were dropped because they did not belong to the stream.
type StreamStats struct {
	Foreign  int64 // of another request or attempt
	Repeated int64 // received before
}

// Generate runs a generation and passes every frame to handle, in order and once each. next
// is the sequence number of the next frame; it advances with each frame that handle gets, so
// that an interrupted stream can be resumed. The error is a *refusal.Refusal, or what handle
// returned.
func (c *Client) Generate(ctx context.Context, address string, g Generation, next *int64, stats *StreamStats, handle FrameFunc) error {
	resp, err := c.openStream(ctx, address, g, *next)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	lines := lineReaders.Get().(*bufio.Reader)
	lines.Reset(resp.Body)
	defer lineReaders.Put(lines)
	return readFrames(lines, g, next, stats, handle)
}

func (c *Client) openStream(ctx context.Context, address string, g Generation, from int64) (*http.Response, error) {
	body, err := (&engineapi.GenerateRequest{
		RequestID: g.RequestID, Attempt: g.Attempt, Account: g.Account,
		Version: engineapi.NewOptString(g.Version), Prompt: g.Prompt, MaxTokens: g.MaxTokens,
		Priority: g.Priority, FromSeq: engineapi.NewOptInt64(from), Via: engineapi.NewOptString(g.Via),
	}).MarshalJSON()
	if err != nil {
		return nil, refusal.New(refusal.CodeInternal, "%v", err)
	}
	req, err := post(ctx, address+"/v1/generate", body)
	if err != nil {
		return nil, refusal.New(refusal.CodeInternal, "%v", err)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, connectionRefusal(err)
	}
	if resp.StatusCode != http.StatusOK {
		defer resp.Body.Close()
		return nil, statusRefusal(resp)
	}
	return resp, nil
}

// readFrames drops frames of other requests and duplicates. A gap in the sequence means that
// frames were lost: the stream then counts as broken, since a caller must get the complete
// response or an error.
func readFrames(lines *bufio.Reader, g Generation, next *int64, stats *StreamStats, handle FrameFunc) error {
	var f frame.Frame
	for {
		line, err := readLine(lines)
		if err != nil {
			return refusal.New(refusal.CodeBackendFailed, "the stream broke").WithRunState(refusal.RunUnknown)
		}
		if err := frame.Decode(line, &f); err != nil {
			return refusal.New(refusal.CodeBackendFailed, "a frame cannot be read").WithRunState(refusal.RunUnknown)
		}
		switch {
		case f.RequestID != g.RequestID || f.Attempt != g.Attempt:
			stats.Foreign++
			continue
		case f.Seq < *next:
			stats.Repeated++
			continue
		case f.Seq > *next:
			return refusal.New(refusal.CodeBackendFailed, "frames are missing").WithRunState(refusal.RunUnknown)
		}
		if f.Finish == frame.FinishCancelled {
			return refusal.New(refusal.CodeIncomplete, "the generation was cancelled on its engine").WithRunState(refusal.Ran)
		}
		*next++
		if err := handle(&f); err != nil {
			return err
		}
		if f.Finish != "" {
			return nil
		}
	}
}

func readLine(lines *bufio.Reader) ([]byte, error) {
	line, err := lines.ReadSlice('\n')
	if !errors.Is(err, bufio.ErrBufferFull) {
		return line, err
	}
	long := append([]byte(nil), line...)
	for errors.Is(err, bufio.ErrBufferFull) && len(long) < maxFrameBytes {
		line, err = lines.ReadSlice('\n')
		long = append(long, line...)
	}
	return long, err
}

// Cancel tells an engine that the caller no longer waits for the generation.
func (c *Client) Cancel(ctx context.Context, address, requestID string) error {
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodDelete, address+"/v1/generate/"+url.PathEscape(requestID), nil)
	if err != nil {
		return errors.Wrap(err, "cancel")
	}
	resp, err := c.control.Do(req)
	if err != nil {
		return errors.Wrap(err, "cancel")
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return err
}
