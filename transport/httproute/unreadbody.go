package httproute

import (
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// maxDiscardBytes bounds what is read of the body of a refused request.
	maxDiscardBytes = 16 << 20
	// maxDiscardTime bounds for how long it is read.
	maxDiscardTime = 2500 * time.Millisecond
)

var errLongRest = errors.New("the rest of the body exceeds the limit")

// refuseAtOnce writes the final response of a request that was not served, without waiting for the rest of its body.
func refuseAtOnce(w http.ResponseWriter, refused *failure) {
	control := http.NewResponseController(w)
	_ = control.EnableFullDuplex() // not supported by writers of tests
	refuse(w, refused)
	_ = control.Flush() // fails only on a connection that has failed
}

// discardBody reads and drops the rest of a body whose request was refused: a connection that is closed while its caller is
// still sending is reset, and the caller may lose the refusal. After an error the connection has to be closed, as what
// follows on it is no request.
func discardBody(w http.ResponseWriter, hr *http.Request) error {
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(time.Now().Add(maxDiscardTime)) // not supported by writers of tests
	n, err := io.Copy(io.Discard, io.LimitReader(hr.Body, maxDiscardBytes))
	switch {
	case err != nil:
		return err // net/http waits for the rest no longer than the deadline, which is left set
	case n == maxDiscardBytes:
		return errLongRest
	}
	_ = control.SetReadDeadline(time.Time{}) // as above
	return nil
}
