package loadgen

import (
	"time"
)

// Codes of outcomes in addition to the gateway's refusal codes.
const (
	CodeDone          = "done"
	CodeConnection    = "connection_failed" // no response, or an error response that is not a refusal
	CodeIncomplete    = "stream_incomplete" // the stream ended with an incomplete event
	CodeCut           = "stream_cut"        // the stream ended without its last event
	CodeWrongAnswer   = "wrong_answer"      // response is not exactly the complete one to this prompt
	CodeClientTimeout = "client_timeout"    // longer than the mix's timeout
)

// Outcome is what the caller saw of one request.
type Outcome struct {
	Status     int // HTTP status; 0 without a response
	Code       string
	Run        string        // run state of a refusal
	Detail     string        // code of the incomplete event
	RetryAfter time.Duration // of a refusal
	Entries    []string      // addresses named by a refusal
	Attempts   int
	Tokens     int       // output tokens
	First      time.Time // arrival of the first token; zero without one
	End        time.Time
	Gaps       []time.Duration // between tokens
}

// recordTokens records the arrival of count output tokens.
func (o *Outcome) recordTokens(now time.Time, count int) {
	if o.Tokens == 0 {
		o.First = now
	} else {
		o.Gaps = append(o.Gaps, now.Sub(o.End))
	}
	o.Tokens += count
	o.End = now
}

// refused reports whether the gateway refused the request.
func (o *Outcome) refused() bool { return o.Status != 0 && o.Status != 200 }
