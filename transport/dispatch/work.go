// Package dispatch carries a request from the instance that the caller is connected to to
// a backend server. Front routes and retries, LocalDispatcher runs a request in the local
// failure domain, and a Forwarder reaches other domains.
package dispatch

import (
	"context"
	"slices"
	"time"

	"github.com/basilroute/basilroute/coordination/quarantine"
	"github.com/basilroute/basilroute/protocol/frame"
	"github.com/basilroute/basilroute/protocol/tokens"
	"github.com/basilroute/basilroute/service"
)

// Work is one request to be run.
type Work struct {
	RequestID string
	Attempt   int
	Hop       int // 0 at the instance that the caller is connected to
	Account   string
	KeyID     string
	Home      string // region the account's data must stay in; any region if empty
	Service   string
	Class     service.Class
	Deadline  time.Time
	MaxWait   time.Duration // maximum time in queues
	Via       string
	Trial     bool // it finds out whether the request or a part of its prompt still crashes servers

	ConfigRevision int64                // revision at the first instance, on forwarded work
	triedServers   []string             // servers of the local domain that failed this request
	fingerprint    string               // set by quarantineKey
	partKeys       []quarantine.PartKey // set by parts
	domain         string               // failure domain that it is forwarded to
	designated     bool                 // this instance was chosen to run the suspect request

	Generation *Generation // exactly one of Generation and Operation is set
	Operation  *Operation
}

// Generation is work for a model engine.
type Generation struct {
	Prompt    string
	MaxTokens int
	FromSeq   int64  // first frame wanted
	Server    string // server to resume on; empty for a new generation
}

// Operation is work for a plain service.
type Operation struct {
	Name           string
	Body           []byte
	IdempotencyKey string // as sent by the caller; empty for none
}

// Sink receives an answer. Frames arrive in order and exactly once.
type Sink interface {
	Frame(server string, f *frame.Frame) error
	Answer(server string, body []byte) error
}

// Restarter is a sink that may still buffer everything it received. Restart discards the
// buffer, so that another server can answer from the beginning, or returns false if part
// of it has reached the caller.
type Restarter interface {
	Restart() bool
}

// Forwarder runs work in a peer's failure domain.
type Forwarder interface {
	Forward(ctx context.Context, address string, w *Work, sink Sink) error
}

// Cost returns the maximum number of tokens that the work can use, or the fixed price of a
// plain operation.
func (w *Work) Cost(s *service.Service) float64 {
	if w.Generation != nil {
		return float64(tokens.Estimate(w.Generation.Prompt) + w.Generation.MaxTokens)
	}
	return float64(s.Operations[w.Operation.Name].Cost)
}

// Repeatable reports whether the work may run twice. A generation may, as long as none of
// it has reached the caller.
func (w *Work) Repeatable(s *service.Service) bool {
	if w.Generation != nil {
		return true
	}
	return s.Operations[w.Operation.Name].Repeatable
}

// Claimed reports whether the work is claimed in the store before it is dispatched: of all requests with its idempotency key one is
// dispatched, wherever they arrive.
func (w *Work) Claimed(s *service.Service) bool {
	return w.Operation != nil && w.Operation.IdempotencyKey != "" && !w.Repeatable(s)
}

// quarantineKey returns the fingerprint that identifies the work in the quarantine. It is
// computed once.
func (w *Work) quarantineKey() string {
	if w.fingerprint == "" {
		w.fingerprint = quarantine.Fingerprint(w.Account, w.Service, w.body())
	}
	return w.fingerprint
}

// partDepths are the lengths, in blocks, of the beginnings of a prompt that are judged as parts. Each is at most half as long
// again as the one before, so that one of them ends within any part that makes up a third of what it ends.
var partDepths = []int{1, 2, 3, 4, 6, 8, 12, 16, 24, 32, 48, 64, 96, 128}

// parts returns the parts of the prompt that may be blamed for a crash. They are computed once.
func (w *Work) parts() []quarantine.PartKey {
	if w.partKeys != nil || w.Generation == nil {
		return w.partKeys
	}
	blocks := promptBlocks(w.Generation.Prompt)
	var ids []uint64
	for _, depth := range partDepths {
		if depth <= len(blocks) {
			ids = append(ids, uint64(blocks[depth-1]))
		}
	}
	const rest = 0 // belongs to the request itself
	w.partKeys = quarantine.KeysOfParts(w.Service, append(ids, rest))
	return w.partKeys
}

// suspects returns the keys of all that may be blamed for a crash: the request and the parts of its prompt.
func (w *Work) suspects() []quarantine.PartKey {
	return append(slices.Clone(w.parts()), quarantine.RequestKey(w.quarantineKey()))
}

// body returns the content that the work's fingerprint covers.
func (w *Work) body() string {
	if w.Generation != nil {
		return w.Generation.Prompt
	}
	return string(w.Operation.Body)
}
