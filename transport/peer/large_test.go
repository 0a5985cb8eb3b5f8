package peer

import (
	"bytes"
	"context"
	"testing"

	"github.com/basilroute/basilroute/protocol/refusal"
	"github.com/basilroute/basilroute/transport/dispatch"
)

// largeBytes is more than grpc receives in a message by default, and less than an instance
// accepts from callers and from backend servers.
const largeBytes = 5 << 20

// answeringRunner answers each operation with the same body, and records the body it got.
type answeringRunner struct {
	answer   []byte
	received []byte
}

func (r *answeringRunner) RunForwarded(_ context.Context, w *dispatch.Work, sink dispatch.Sink) error {
	r.received = w.Operation.Body
	return sink.Answer("server", r.answer)
}

func (r *answeringRunner) CancelForwarded(string, string, string) bool { return false }

// bodySink is a sink that keeps the answer of an operation.
type bodySink struct {
	recordingSink
	body []byte
}

func (s *bodySink) Answer(server string, body []byte) error {
	s.body = body
	return s.recordingSink.Answer(server, body)
}

// Guards against the loss of a large answer that a server has given to a forwarded operation.
func TestLargeAnswerIsForwarded(t *testing.T) {
	r := &answeringRunner{answer: bytes.Repeat([]byte("7"), largeBytes)}
	sink := &bodySink{}
	err := newPool(t).Forward(t.Context(), startServer(t, r), operationWork(), sink)
	if err != nil || !bytes.Equal(sink.body, r.answer) {
		t.Errorf("%d of %d bytes, %v", len(sink.body), largeBytes, err)
	}
}

// Guards against a large request that is taken from its caller and cannot be forwarded.
func TestLargeRequestIsForwarded(t *testing.T) {
	r := &answeringRunner{answer: []byte("{}")}
	w := operationWork()
	w.Operation.Body = bytes.Repeat([]byte("7"), largeBytes)
	err := newPool(t).Forward(t.Context(), startServer(t, r), w, &bodySink{})
	if err != nil || !bytes.Equal(r.received, w.Operation.Body) {
		t.Errorf("%d of %d bytes, %v", len(r.received), largeBytes, refusal.FromError(err))
	}
}

// Guards against an empty answer being taken for a missing one after it was forwarded.
func TestEmptyAnswerIsForwarded(t *testing.T) {
	r := &answeringRunner{answer: []byte{}}
	sink := &bodySink{}
	if err := newPool(t).Forward(t.Context(), startServer(t, r), operationWork(), sink); err != nil || sink.body == nil {
		t.Errorf("body %v, %v", sink.body, err)
	}
}
