package httproute

import (
	"bytes"
	"net/http"
	"strings"
)

const (
	// maxEvent bounds an incomplete event, in bytes. It is far above the size of any event
	// with a token.
	maxEvent = 256 << 10
	// freeEventBytes is the part of an incomplete event that is not taken from the budget.
	freeEventBytes = 16 << 10
)

// eventBuffer splits a stream of server-sent events after complete events. A server that
// crashes leaves an incomplete event, which would run into the first event of the server
// that resumes the stream if it were passed on.
type eventBuffer struct {
	partial    []byte
	lastID     string // of the last complete event that had one
	count      int
	order      eventOrder
	ordered    bool // the order of the events is checked
	outOfOrder bool // the next event does not follow the last one
}

// push appends b and returns the complete events in the buffer, up to one that is out of order.
// The result is valid until the next call.
func (e *eventBuffer) push(b []byte) []byte {
	e.partial = append(e.partial, b...)
	return e.recordEvents(e.partial[:lastBoundary(e.partial)])
}

// consume removes complete events that push returned.
func (e *eventBuffer) consume(complete []byte) {
	e.partial = append(e.partial[:0], e.partial[len(complete):]...)
}

// reset discards what was not passed on of an aborted response.
func (e *eventBuffer) reset() { e.partial, e.outOfOrder = e.partial[:0], false }

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

// recordEvents records the ids of complete events and returns those up to one that is out of order.
func (e *eventBuffer) recordEvents(complete []byte) []byte {
	var event sseEvent
	begin, at := 0, 0
	for line := range bytes.Lines(complete) {
		at += len(line)
		line = bytes.TrimRight(line, "\r\n")
		if len(line) > 0 {
			event.addLine(line)
			continue
		}
		if !e.recordEvent(event) {
			e.outOfOrder = true
			return complete[:begin]
		}
		event, begin = sseEvent{}, at
	}
	return complete
}

// recordEvent records an event. It returns false if the event is out of order.
func (e *eventBuffer) recordEvent(event sseEvent) bool {
	if !event.hasID {
		return !e.ordered || !event.hasData || !e.order.resumed
	}
	if e.ordered && !e.order.accept(event.id) {
		return false
	}
	e.lastID = event.id
	e.count++
	return true
}

// sseEvent is what the order of an event depends on.
type sseEvent struct {
	id             string
	hasID, hasData bool
}

// addLine adds a line of the event, without its end.
func (v *sseEvent) addLine(line []byte) {
	name, value, _ := bytes.Cut(line, []byte(":"))
	switch string(name) {
	case "id":
		v.id, v.hasID = string(bytes.TrimPrefix(value, []byte(" "))), true
	case "data":
		v.hasData = true
	}
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
