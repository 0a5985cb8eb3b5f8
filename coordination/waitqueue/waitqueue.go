// Package waitqueue decides which requests of one service wait at one instance for a slot of a
// backend server, in which order they start, and when a refused caller may return.
//
// # Workload
//
// A burst brings twice as many patient requests as the servers can run. Each of them holds its slot
// for seconds, its caller waits for some seconds for the first event, and a refused caller returns
// once. If each request that finds no slot is refused, slots that are freed go to whoever arrives in
// that moment, and callers that return meet the same full servers.
//
// So requests wait that are expected to start while their response can still be on time; the others
// are refused at once. Those that can be on time start first, fair between accounts by their rates.
// A request that has become late starts when no other one waits; it is refused as soon as that
// cannot be expected. Callers that return after a refusal cannot return again, so that they may wait
// until their response is late.
//
// The package does no I/O: the time is passed to each call. A Queue is not safe for concurrent use.
package waitqueue

import "time"

// Settings bounds a queue.
type Settings struct {
	MaxWaiting int // requests
	MaxBytes   int // bodies of all waiting requests
}

// Request is a request that no server takes now.
type Request struct {
	Account  string
	Weight   float64   // the account's rate; 0 for an account without one
	Bytes    int       // size of the body
	OnTime   time.Time // latest start for a response that is on time
	Latest   time.Time // latest start that the caller waits for
	Returned bool      // the caller was refused before
}

// Refusal says why a request does not wait.
type Refusal struct {
	Reason     Reason
	RetryAfter time.Duration // after which a request like this is expected to start in time
}

// Reason is the reason for a refusal.
type Reason string

// Reasons for a refusal.
const (
	ReasonTooLate Reason = "too_late" // it is not expected to start in time
	ReasonFull    Reason = "full"     // the queue has reached its bounds
)
