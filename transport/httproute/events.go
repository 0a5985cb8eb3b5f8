package httproute

import (
	"bytes"
	"strconv"
	"strings"
)

// maxEvent bounds an event that is not yet complete, in bytes: far above any token's.
const maxEvent = 1 << 20

// events cuts a stream of server-sent events behind whole events. A server that
// crashes leaves half an event; handed on, it would run into the first event of the
// server that goes on.
type events struct {
	partial []byte
	lastID  string // of the last whole event that had one
	count   int
}

// take returns the whole events among what is held and what is new. The result is
// valid until the next call.
func (e *events) take(b []byte) []byte {
	e.partial = append(e.partial, b...)
	end := lastBoundary(e.partial)
	whole := e.partial[:end]
	e.note(whole)
	return whole
}

// drop forgets the whole events that were taken.
func (e *events) drop(whole []byte) {
	e.partial = append(e.partial[:0], e.partial[len(whole):]...)
}

// reset forgets the half event of a server that broke off.
func (e *events) reset() { e.partial = e.partial[:0] }

// lastBoundary returns where the last whole event ends: behind an empty line.
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

func (e *events) note(whole []byte) {
	for line := range bytes.Lines(whole) {
		line = bytes.TrimRight(line, "\r\n")
		if id, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			e.lastID = string(bytes.TrimPrefix(id, []byte(" ")))
			e.count++
		}
	}
}

// firstID returns the id of the first event in whole events, empty when it has none.
func firstID(whole []byte) string {
	for line := range bytes.Lines(whole) {
		if id, ok := bytes.CutPrefix(bytes.TrimRight(line, "\r\n"), []byte("id:")); ok {
			return string(bytes.TrimPrefix(id, []byte(" ")))
		}
	}
	return ""
}

// follows tells whether an event id comes right after another. Ids that are no
// numbers cannot be told.
func follows(id, last string) bool {
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
