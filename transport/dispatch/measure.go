package dispatch

import (
	"time"

	"github.com/basilroute/basilroute/coordination/routing"
	"github.com/basilroute/basilroute/protocol/frame"
)

// minExpected bounds the expected time to the first token from below: against
// less than this a delay of the network would look like a slow server.
const minExpected = 20 * time.Millisecond

// measured watches for the first token of an answer.
type measured struct {
	Sink
	placed   *placed
	sent     time.Time
	alone    time.Duration // expected time to the first token with nothing ahead
	expected time.Duration // the same with what was ahead; 0 when not known
	latency  time.Duration
	begun    bool
	started  func() // called with the first part of the answer
}

func newMeasured(sink Sink, p *placed, started func()) *measured {
	now := time.Now()
	m := &measured{Sink: sink, placed: p, sent: now, started: started}
	if p.request.PromptTokens > 0 {
		m.alone = max(routing.UnloadedFirstToken(p.request, p.entry), minExpected)
		m.expected = max(routing.ExpectedFirstToken(p.request, p.entry, now), minExpected)
	}
	return m
}

// begin notes the first token, or that none will come. Only the first call counts.
func (m *measured) begin() {
	if m.begun {
		return
	}
	m.begun = true
	m.latency = time.Since(m.sent)
	m.placed.entry.EndPrefill(m.placed.prompt)
}

// first notes the first part of the answer.
func (m *measured) first() {
	if m.begun {
		return
	}
	m.begin()
	m.started()
}

// Frame implements Sink.
func (m *measured) Frame(server string, f *frame.Frame) error {
	m.first()
	return m.Sink.Frame(server, f)
}

// Answer implements Sink.
func (m *measured) Answer(server string, body []byte) error {
	m.first()
	return m.Sink.Answer(server, body)
}
