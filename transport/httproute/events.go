package httproute

import (
	"bytes"
	"net/http"
	"strconv"
	"strings"
)

// maxEvent bounds an incomplete event, in bytes. It is far above the size of any event
// with a token.
const maxEvent = 1 << 20

// eventBuffer splits a stream of server-sent events after complete events. A server that
// crashes leaves an incomplete event, which would run into the first event of the server
// that resumes the stream if it were passed on.
type eventBuffer struct {
	partial []byte
	lastID  string // of the last event with one that was passed on
	count   int    // events with an id that were passed on
}

// push appends b and returns the complete events in the buffer. The result is valid until
// the next call.
func (e *eventBuffer) push(b []byte) []byte {
	e.partial = append(e.partial, b...)
	return e.partial[:lastBoundary(e.partial)]
}

// consume removes complete events that push returned, after they were passed on.
func (e *eventBuffer) consume(complete []byte) {
	e.recordIDs(complete)
	e.partial = append(e.partial[:0], e.partial[len(complete):]...)
}

// reset discards the incomplete event of an aborted response.
func (e *eventBuffer) reset() { e.partial = e.partial[:0] }

// lastBoundary returns the offset at which the last complete event ends, which is after an
// empty line.
func lastBoundary(b []byte) int {
	end := 0
	if at := bytes.LastIndex(b, []byte("\n\n")); at >= 0 {
		end = at + 2
	}
	if at := bytes.LastIndex(b, []byte("\n\r\n")); at >= 0 {
		end = max(end, at+3)
	}
	return end
}

// streamTail is the end of what has arrived of a stream.
type streamTail []byte

// maxBoundary is the length of the longest end of an event.
const maxBoundary = len("\n\r\n")

func (t *streamTail) push(b []byte) {
	all := append(*t, b[max(len(b)-maxBoundary, 0):]...)
	*t = append((*t)[:0], all[max(len(all)-maxBoundary, 0):]...)
}

// endsEvent reports whether the stream ends with a complete event.
func (t streamTail) endsEvent() bool { return len(t) > 0 && lastBoundary(t) == len(t) }

// isEventStream reports whether a response is a stream of server-sent events.
func isEventStream(h http.Header) bool {
	return strings.HasPrefix(h.Get("Content-Type"), "text/event-stream")
}

func (e *eventBuffer) recordIDs(complete []byte) {
	for line := range bytes.Lines(complete) {
		line = bytes.TrimRight(line, "\r\n")
		if id, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			e.lastID = string(bytes.TrimPrefix(id, []byte(" ")))
			e.count++
		}
	}
}

// firstID returns the id of the first event in complete events, or an empty string if it
// has none.
func firstID(complete []byte) string {
	for line := range bytes.Lines(complete) {
		if id, ok := bytes.CutPrefix(bytes.TrimRight(line, "\r\n"), []byte("id:")); ok {
			return string(bytes.TrimPrefix(id, []byte(" ")))
		}
	}
	return ""
}

// isNextID reports whether an event id directly follows another. It returns true if the
// last id is not a number, since their order is then unknown.
func isNextID(id, last string) bool {
	before, err := strconv.ParseInt(last, 10, 64)
	if err != nil {
		return true
	}
	after, err := strconv.ParseInt(id, 10, 64)
	return err == nil && after == before+1
}

func splitList(value string) []string {
	var out []string
	for _, item := range strings.Split(value, ",") {
		if item = strings.TrimSpace(item); item != "" {
			out = append(out, item)
		}
	}
	return out
}
