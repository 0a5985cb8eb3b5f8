package httproute

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"
)

// run says whether a request ran at a backend server.
type run string

const (
	notRun  run = "not_run" // and never will
	unknown run = "unknown" // it may have run, or may yet
	hasRun  run = "ran"
)

// reason says why a request was not served.
type reason string

const (
	reasonNotReady    reason = "not_ready"      // no configuration is in force yet
	reasonNoRoute     reason = "no_route"       // no route matches
	reasonKey         reason = "unknown_key"    // no account holds the key
	reasonBody        reason = "body_too_large" // beyond the limit in force
	reasonHeader      reason = "header_too_large"
	reasonQuota       reason = "quota"       // the account is at its rate
	reasonQuarantine  reason = "quarantined" // it crashed the servers that ran it
	reasonNoServer    reason = "no_server"   // no usable server in a permitted region
	reasonLoad        reason = "overloaded"  // it cannot be served in time
	reasonCold        reason = "cold"        // cold servers take few requests
	reasonStopping    reason = "stopping"    // this instance stops
	reasonShed        reason = "shed"        // the server refused it
	reasonUnreachable reason = "unreachable" // nothing was sent: no connection
	reasonBroken      reason = "broken"      // the connection ended without an answer
	reasonSilent      reason = "silent"      // the server said nothing for too long
	reasonMalformed   reason = "malformed"   // what came back is no answer
	reasonDeadline    reason = "deadline"    // out of time
	reasonPeer        reason = "peer"        // the peer could not be reached or gave up
)

// failure is an attempt, or a whole request, without an answer.
type failure struct {
	run        run
	reason     reason
	retryAfter time.Duration // 0 when not known
	sent       bool          // it reached a backend server
	remote     bool          // the word of another region's instance
	begun      bool          // the caller has the beginning of an answer
	server     string
	cause      error
}

func (f *failure) Error() string {
	return fmt.Sprintf("%s (%s)", f.reason, f.run)
}

// status returns the status for the caller. 429 and 503 promise that the request
// has not run and never will; everything that may have run gets 502 or 504.
func (f *failure) status() int {
	switch f.reason {
	case reasonNoRoute:
		return http.StatusNotFound
	case reasonKey:
		return http.StatusUnauthorized
	case reasonBody:
		return http.StatusRequestEntityTooLarge
	case reasonHeader:
		return http.StatusRequestHeaderFieldsTooLarge
	case reasonQuota:
		return http.StatusTooManyRequests
	}
	switch {
	case f.run == notRun:
		return http.StatusServiceUnavailable
	case f.reason == reasonDeadline:
		return http.StatusGatewayTimeout
	}
	return http.StatusBadGateway
}

const (
	// leastRetryAfter is the least time to come back, so that a refused caller does
	// not find the same load.
	leastRetryAfter = 50 * time.Millisecond
	// defaultRetryAfter is for refusals without a known time.
	defaultRetryAfter = 500 * time.Millisecond
	// retrySpread is the part by which times to come back differ between callers:
	// refused together, they would otherwise come back together.
	retrySpread = 0.5
)

// refuse writes the final answer for a request that was not served.
func refuse(w http.ResponseWriter, f *failure) {
	status := f.status()
	if status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests {
		w.Header().Set("Retry-After", retryAfter(f.retryAfter))
	}
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	text := string(f.reason) + "\n"
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	w.WriteHeader(status)
	_, _ = w.Write([]byte(text)) // a caller that has gone needs no answer
}

func retryAfter(d time.Duration) string {
	if d <= 0 {
		d = defaultRetryAfter
	}
	d = max(d, leastRetryAfter)
	spread := 1 + retrySpread*rand.Float64()
	return strconv.FormatFloat(d.Seconds()*spread, 'f', 3, 64)
}
