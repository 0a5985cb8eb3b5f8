package httproute

import (
	"io"
	"log/slog"

	"github.com/cockroachdb/errors"

	"github.com/basilroute/basilroute/coordination/placement"
	"github.com/basilroute/basilroute/transport/backendhttp"
)

// Senders of responses.
const (
	senderServer = "server"
	senderPeer   = "peer"
)

// responseReporter counts and logs what is to be known of the response to one request from one address.
type responseReporter struct {
	log              *slog.Logger
	metrics          *Metrics
	service, request string
	sender           string // senderServer or senderPeer
	name, address    string // of the server or the peer
}

// checkMalformed reports whether an error means that a response was malformed, and if so records it.
func (m *responseReporter) checkMalformed(err error) bool {
	if !errors.Is(err, backendhttp.ErrMalformed) {
		return false
	}
	m.metrics.malformed.WithLabelValues(m.service, m.sender).Inc()
	m.log.Info("malformed_response", "request", m.request, "service", m.service, "sender", m.sender, "name", m.name,
		"address", m.address, "error", err.Error())
	return true
}

// Ends of a response's body.
const (
	endWhole   = "whole"   // passed on as complete
	endPartial = "partial" // it ended and was not taken for whole
	endClosed  = "closed"  // the instance closed the connection, or did not read the body
)

// bodyEnd is what has been seen of the end of a response's body.
type bodyEnd struct {
	bytes int   // of the body that were read
	err   error // of the last read; io.EOF after the last byte
	cause error // why the response was not taken for whole; nil if it was
}

// record records a read.
func (b *bodyEnd) record(n int, err error) {
	b.bytes += n
	if err != nil {
		b.err = err
	}
}

// verdict returns what the response was taken for, given the outcome of its request.
func (b *bodyEnd) verdict(outcome placement.Outcome) string {
	switch {
	case b.err == nil, outcome == placement.OutcomeCancelled:
		return endClosed
	case b.cause == nil && errors.Is(b.err, io.EOF):
		return endWhole
	}
	return endPartial
}

// ended records how the body of a response ended. events is the number of events that the caller of this instance has got so far.
func (m *responseReporter) ended(resp *backendhttp.Response, body *bodyEnd, outcome placement.Outcome, events int) {
	verdict := body.verdict(outcome)
	m.metrics.responseEnds.WithLabelValues(m.service, m.sender, string(resp.Framing()), verdict).Inc()
	if resp.Framing() != backendhttp.FramedByConn || verdict == endClosed {
		return
	}
	attrs := []any{"request", m.request, "service", m.service, "sender", m.sender, "name", m.name, "address", m.address,
		"verdict", verdict, "status", resp.Status, "bytes", body.bytes, "events", events}
	if verdict == endPartial {
		cause := body.cause
		if cause == nil {
			cause = body.err
		}
		attrs = append(attrs, "error", cause.Error())
	}
	m.log.Info("response_ended_with_connection", attrs...)
}
