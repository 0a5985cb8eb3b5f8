// Package dispatch carries a request from the instance that the caller talks to
// to a backend server: Front decides and retries, Local runs a request in the
// instance's own failure domain, and a Forwarder reaches other domains.
package dispatch

import (
	"context"
	"time"

	"github.com/basilroute/basilroute/coordination/quarantine"
	"github.com/basilroute/basilroute/protocol/frame"
	"github.com/basilroute/basilroute/protocol/tokens"
	"github.com/basilroute/basilroute/service"
)

// Work is one request on its way.
type Work struct {
	RequestID string
	Attempt   int
	Hop       int // 0 at the instance that the caller talks to
	Account   string
	KeyID     string
	Home      string // region the account's data must stay in; anywhere when empty
	Service   string
	Class     service.Class
	Deadline  time.Time
	MaxWait   time.Duration // in queues
	Via       string

	ConfigRevision int64    // of the first instance, on forwarded work
	tried          []string // servers of the own domain that failed this request
	fingerprint    string   // set by identity
	designated     bool     // this instance is the one that runs the suspect

	Generation *Generation // exactly one of the two is set
	Operation  *Operation
}

// Generation is work for a model engine.
type Generation struct {
	Prompt    string
	MaxTokens int
	FromSeq   int64  // first frame wanted
	Server    string // where to resume; empty for a new generation
}

// Operation is work for a plain service.
type Operation struct {
	Name           string
	Body           []byte
	IdempotencyKey string // as the caller sent it; empty for none
}

// Sink takes an answer. Frames come in order and once each.
type Sink interface {
	Frame(server string, f *frame.Frame) error
	Answer(server string, body []byte) error
}

// Restarter is a sink that may still hold all that it took. Restart drops it, so
// that another server can answer from the beginning, or returns false when some
// of it has reached the caller.
type Restarter interface {
	Restart() bool
}

// Forwarder runs work on a peer's failure domain.
type Forwarder interface {
	Forward(ctx context.Context, address string, w *Work, sink Sink) error
}

// Cost returns the most tokens that the work can use, and for a plain
// operation its fixed price.
func (w *Work) Cost(s *service.Service) float64 {
	if w.Generation != nil {
		return float64(tokens.Estimate(w.Generation.Prompt) + w.Generation.MaxTokens)
	}
	return float64(s.Operations[w.Operation.Name].Cost)
}

// Repeatable tells whether the work may run twice. A generation may as long as
// none of it has reached the caller.
func (w *Work) Repeatable(s *service.Service) bool {
	if w.Generation != nil {
		return true
	}
	return s.Operations[w.Operation.Name].Repeatable
}

// identity returns what identifies the work in the quarantine. It is worked out once.
func (w *Work) identity() string {
	if w.fingerprint == "" {
		w.fingerprint = quarantine.Fingerprint(w.Account, w.Service, w.body())
	}
	return w.fingerprint
}

// body is what the work's fingerprint covers.
func (w *Work) body() string {
	if w.Generation != nil {
		return w.Generation.Prompt
	}
	return string(w.Operation.Body)
}
