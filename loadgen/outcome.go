package loadgen

import (
	"time"
)

// Codes that the load tool gives to outcomes besides the gateway's own.
const (
	CodeDone          = "done"
	CodeConnection    = "connection_failed" // no answer, or one that is no refusal
	CodeIncomplete    = "stream_incomplete" // the stream ended with an incomplete event
	CodeCut           = "stream_cut"        // the stream ended without its last event
	CodeWrongAnswer   = "wrong_answer"      // not the whole answer to this prompt, and only that
	CodeClientTimeout = "client_timeout"    // longer than the mix's timeout
)

// Outcome is what the caller saw of one request.
type Outcome struct {
	Status     int // of HTTP; 0 without an answer
	Code       string
	Run        string        // of a refusal
	Detail     string        // code of the incomplete event
	RetryAfter time.Duration // of a refusal
	Entries    []string      // addresses named by a refusal
	Attempts   int
	Tokens     int       // of output
	First      time.Time // first token; zero without one
	End        time.Time
	Gaps       []time.Duration // between tokens
}

// token notes the arrival of output.
func (o *Outcome) token(now time.Time, count int) {
	if o.Tokens == 0 {
		o.First = now
	} else {
		o.Gaps = append(o.Gaps, now.Sub(o.End))
	}
	o.Tokens += count
	o.End = now
}

// refused tells whether the request was refused rather than answered badly.
func (o *Outcome) refused() bool { return o.Status != 0 && o.Status != 200 }
