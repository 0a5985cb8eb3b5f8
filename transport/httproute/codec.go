// Package httproute serves HTTP routes. It accepts the requests of callers, sends each to
// a backend server of its route's service, in the local region or through one peer in
// another region, and returns the response unchanged.
//
// Bodies are opaque. Everything that routing decisions need besides the route (the caller,
// its timeout, the prompt segments shared with other requests) comes from headers, decoded
// by the Codec of the deployment.
package httproute

import (
	"net/http"
	"time"

	"github.com/basilroute/basilroute/coordination/placement"
)

// Call is what a caller's headers say about a request.
type Call struct {
	RequestID     string
	Key           string        // empty if none was sent
	CallerTimeout time.Duration // how long the caller waits; 0 if not specified
	HasTokens     bool
	PromptTokens  int
	OutputTokens  int // upper bound
	Segments      []placement.PromptSegment
	LastEventID   string
	InvalidHeader string // name of a header that makes the request invalid; empty if there is none
	Resumes       string // id of the request that brought the first event of a stream that is taken up again
}

// Tokens returns the number of tokens that the request counts against its account's rate.
func (c *Call) Tokens() int { return c.PromptTokens + c.OutputTokens }

// Outbound is what a request to a backend server carries in addition to the caller's
// headers.
type Outbound struct {
	Server      string        // id of the server; a server with another id does not run the request
	Account     string        // empty if the request has none
	Timeout     time.Duration // how long the server may work on the request
	Urgency     int           // 0 is the most urgent; negative for the server's default
	LastEventID string        // resume after this event; empty to start from the beginning
	FetchFrom   string        // address of a server to fetch cached prompt segments from; may be empty
}

// ResponseMeta is what a backend server's headers say about its response.
type ResponseMeta struct {
	RequestID   string
	NotRun      bool          // the server did not run the request and never will
	Misdirected bool          // another server now has the address
	Unproven    bool          // the response is a success and lacks the server's proof
	Leaving     bool          // the server is about to shut down
	Rest        time.Duration // how long the server wants no requests from this instance; 0 if it does not say
	Load        *placement.ReportedLoad
}

// Codec translates the headers of a deployment. It makes no decisions.
type Codec interface {
	// DecodeCall decodes a caller's headers.
	DecodeCall(h http.Header) Call
	// Outbound converts a caller's headers into those for a backend server. It removes the
	// key and headers that callers may not set.
	Outbound(h http.Header, o Outbound) http.Header
	// DecodeResponse decodes a backend server's response headers.
	DecodeResponse(status int, h http.Header) ResponseMeta
}

// hopByHopHeaders apply to a single connection (RFC 9110, section 7.6.1). Expect is
// included because it is satisfied once the body has been read.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect", "Content-Length", "Host",
}

// EndToEnd returns a copy without hop-by-hop headers.
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
	for _, name := range hopByHopHeaders {
		delete(out, name)
	}
	return out
}
