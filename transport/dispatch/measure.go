package dispatch

import (
	"time"

	"github.com/basilroute/basilroute/coordination/routing"
	"github.com/basilroute/basilroute/protocol/frame"
)

// minExpectedFirstToken is the minimum expected time to the first token. Below it, a
// network delay would look like a slow server.
const minExpectedFirstToken = 20 * time.Millisecond

// latencySink measures the time to the first token of an answer.
type latencySink struct {
	Sink
	placement    *placement
	sent         time.Time
	unloaded     time.Duration // expected time to the first token on an idle server
	expected     time.Duration // the same under the load at dispatch; 0 if unknown
	latency      time.Duration
	prefillEnded bool
	onFirst      func() // called with the first output of the answer
}

func newLatencySink(sink Sink, p *placement, started func()) *latencySink {
	now := time.Now()
	m := &latencySink{Sink: sink, placement: p, sent: now, onFirst: started}
	if p.request.PromptTokens > 0 {
		m.unloaded = max(routing.UnloadedFirstToken(p.request, p.entry), minExpectedFirstToken)
		m.expected = max(routing.ExpectedFirstToken(p.request, p.entry, now), minExpectedFirstToken)
	}
	return m
}

// endPrefill records the end of prefill, at the first token or when none will arrive. Only
// the first call has an effect.
func (m *latencySink) endPrefill() {
	if m.prefillEnded {
		return
	}
	m.prefillEnded = true
	m.latency = time.Since(m.sent)
	m.placement.entry.EndPrefill(m.placement.prompt)
}

// recordFirst records the first output of the answer.
func (m *latencySink) recordFirst() {
	if m.prefillEnded {
		return
	}
	m.endPrefill()
	m.onFirst()
}

// Frame implements Sink.
func (m *latencySink) Frame(server string, f *frame.Frame) error {
	m.recordFirst()
	return m.Sink.Frame(server, f)
}

// Answer implements Sink.
func (m *latencySink) Answer(server string, body []byte) error {
	m.recordFirst()
	return m.Sink.Answer(server, body)
}
