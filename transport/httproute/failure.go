package httproute

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"
)

// runState says whether a request ran on a backend server.
type runState string

const (
	runNotRun  runState = "not_run" // and never will run
	runUnknown runState = "unknown" // may have run, or may still run
	runRan     runState = "ran"
)

// reason says why a request was not served.
type reason string

const (
	reasonNotReady    reason = "not_ready"      // no configuration is in force yet
	reasonNoRoute     reason = "no_route"       // no route matches
	reasonKey         reason = "unknown_key"    // no account has the key
	reasonBody        reason = "body_too_large" // above the limit in force
	reasonHeader      reason = "header_too_large"
	reasonInvalid     reason = "invalid_header" // a header that the request depends on cannot be read
	reasonMemory      reason = "memory"         // this instance has no memory left for the body
	reasonQuota       reason = "quota"          // the account has reached its rate
	reasonQuarantine  reason = "quarantined"    // it crashed the servers that ran it
	reasonNoServer    reason = "no_server"      // no usable server in a permitted region
	reasonResidency   reason = "residency"      // the homes of its route and of its account have no region in common
	reasonLoad        reason = "overloaded"     // it cannot be served in time
	reasonCold        reason = "cold"           // cold servers accept few requests
	reasonStopping    reason = "stopping"       // this instance is shutting down
	reasonCallerGone  reason = "caller_gone"    // the caller has closed at least its sending side
	reasonShed        reason = "shed"           // the server rejected it
	reasonUnreachable reason = "unreachable"    // nothing was sent: no connection
	reasonBroken      reason = "broken"         // the connection closed before the response was complete
	reasonSilent      reason = "silent"         // the server exceeded the idle timeout
	reasonMalformed   reason = "malformed"      // the data received is not a valid response
	reasonDeadline    reason = "deadline"       // the deadline passed
	reasonBuild       reason = "stream_build"   // the build that began the stream is not known, or has no part in the route
	reasonPeer        reason = "peer"           // the peer was unreachable or its response failed
	reasonPanic       reason = "panic"          // the handler of this instance or of a peer panicked
)

// failure describes an attempt, or a whole request, that got no response.
type failure struct {
	run             runState
	reason          reason
	retryAfter      time.Duration // 0 if unknown
	sent            bool          // it reached a backend server
	remote          bool          // reported by an instance of another region, for the whole region
	responseStarted bool          // the caller has received part of the response
	forwarded       bool          // the response that it broke off came by way of a peer
	server          string
	cause           error
}

func (f *failure) Error() string {
	return fmt.Sprintf("%s (%s)", f.reason, f.run)
}

// status returns the HTTP status for the caller. 429 and 503 guarantee that the request
// has not run and never will; every request that may have run gets 502 or 504.
func (f *failure) status() int {
	switch f.reason {
	case reasonNoRoute:
		return http.StatusNotFound
	case reasonKey:
		return http.StatusUnauthorized
	case reasonInvalid:
		return http.StatusBadRequest
	case reasonBody:
		return http.StatusRequestEntityTooLarge
	case reasonHeader:
		return http.StatusRequestHeaderFieldsTooLarge
	case reasonQuota:
		return http.StatusTooManyRequests
	}
	switch {
	case f.run == runNotRun:
		return http.StatusServiceUnavailable
	case f.reason == reasonDeadline:
		return http.StatusGatewayTimeout
	}
	return http.StatusBadGateway
}

const (
	// minRetryAfter is the minimum Retry-After. A caller that retried sooner would meet
	// the same load.
	minRetryAfter = 50 * time.Millisecond
	// defaultRetryAfter is used for refusals without a known retry time.
	defaultRetryAfter = 500 * time.Millisecond
	// residencyRetryAfter is the Retry-After of a request that no region may run: only a new
	// configuration changes that.
	residencyRetryAfter = time.Minute
	// retryJitter is the fraction by which Retry-After is randomly extended. Callers that
	// are refused at the same time would otherwise retry at the same time.
	retryJitter = 0.5
)

// refuse writes the final response for a request that was not served.
func refuse(w http.ResponseWriter, f *failure) {
	status := f.status()
	if status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests {
		w.Header().Set("Retry-After", retryAfter(f.retryAfter))
	}
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	text := string(f.reason) + "\n"
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	w.WriteHeader(status)
	_, _ = w.Write([]byte(text)) // a write error means that the caller has disconnected
}

func retryAfter(d time.Duration) string {
	if d <= 0 {
		d = defaultRetryAfter
	}
	d = max(d, minRetryAfter)
	spread := 1 + retryJitter*rand.Float64()
	return strconv.FormatFloat(d.Seconds()*spread, 'f', 3, 64)
}
