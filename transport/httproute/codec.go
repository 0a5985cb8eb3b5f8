// Package httproute serves HTTP routes: it takes the requests of callers, brings
// each to a backend server of its route's service, here or through one peer in
// another region, and hands the answer back unchanged.
//
// Bodies are opaque. What the decisions need beside the route (who calls, how long
// they wait, what the prompt shares with others) comes out of headers, by the Codec
// of the deployment.
package httproute

import (
	"net/http"
	"time"

	"github.com/basilroute/basilroute/coordination/placement"
)

// Call is what a caller's headers say of a request.
type Call struct {
	RequestID    string
	Key          string        // empty when none was presented
	Timeout      time.Duration // how long the caller waits; 0 when not said
	HasTokens    bool
	PromptTokens int
	OutputTokens int // at most
	Segments     []placement.PromptSegment
	LastEventID  string
}

// Tokens returns what the request counts against its account's rate.
func (c *Call) Tokens() int { return c.PromptTokens + c.OutputTokens }

// Outbound is what a request to a backend server says beside what its caller said.
type Outbound struct {
	Server      string        // id that the server has to have; another one does not run it
	Account     string        // empty when the request has none
	Timeout     time.Duration // how long the server may work
	Urgency     int           // 0 is the most urgent; below 0 leaves it to the server
	LastEventID string        // resume after this event; empty to begin
	FetchFrom   string        // address of a server to fetch cached parts from; may be empty
}

// ResponseMeta is what a backend server's headers say beside its answer.
type ResponseMeta struct {
	RequestID   string
	NotRun      bool // the server did not run the request and never will
	Misdirected bool // another server has the address now
	Stamped     bool // the answer bears the server's proof
	Load        *placement.ReportedLoad
}

// Codec translates the headers of a deployment. It decides nothing.
type Codec interface {
	// DecodeCall reads a caller's headers.
	DecodeCall(h http.Header) Call
	// Outbound turns a caller's headers into those for a backend server: without the
	// key and without what callers may not set.
	Outbound(h http.Header, o Outbound) http.Header
	// DecodeResponse reads a backend server's headers.
	DecodeResponse(status int, h http.Header) ResponseMeta
}

// hopHeaders concern one connection only (RFC 9110, section 7.6.1). Expect has been
// met when the body was read.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect", "Content-Length", "Host",
}

// EndToEnd returns a copy without the headers that concern one connection.
func EndToEnd(h http.Header) http.Header {
	out := make(http.Header, len(h)+8)
	for name, values := range h {
		out[name] = values
	}
	for _, value := range h["Connection"] {
		for _, name := range splitList(value) {
			delete(out, http.CanonicalHeaderKey(name))
		}
	}
	for _, name := range hopHeaders {
		delete(out, name)
	}
	return out
}
