package backendhttp

import (
	"context"
	"io"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// A body with neither a length nor chunks ends with its connection. The kernel reports the failure of a connection to one
// call only, be it a write of the request's body or a look for unread data, and any later read finds the end of file. When a
// server's process ends, the kernel closes in order the connections of which it has read everything, even that of a server
// which was known to be leaving and was ended before it was done. The end of file is therefore the end of the response only
// if the server has taken the request, has closed the connection in order, and runs on.

// ErrProcessEnded means that a server's process ended with the connection of a response that nothing else shows to be whole.
var ErrProcessEnded = errors.New("the server's process ended with the connection")

var errProcessUnknown = errors.New("the connection ended, and the server did not answer whether its process runs")

// processTimeout bounds the question whether a server's process runs.
const processTimeout = 250 * time.Millisecond

// takenPoll is the time between two looks whether the server has acknowledged the request.
const takenPoll = 2 * time.Millisecond

// tcpStateClose is the state TCP_CLOSE of a connection that was reset or has timed out.
const tcpStateClose = 7

// confirmEnd returns io.EOF if the end of the connection is the end of the response, and otherwise why it is not. It waits
// until the server has taken the request, which ends with the connection at the latest.
func (a *Response) confirmEnd() error {
	a.conn.ended.Store(true)
	if err := a.bodyWritten.wait(); err != nil {
		return errors.Wrap(err, "the connection ended before the server had taken the request")
	}
	for {
		state, err := a.conn.endState()
		switch {
		case err != nil:
			return errors.Wrap(err, "the connection failed before the end of the response")
		case state == endUntaken:
			time.Sleep(takenPoll)
		default:
			return a.confirmProcess()
		}
	}
}

// confirmProcess returns io.EOF if the server's process runs. Without an answer that is not known, and a part of a response
// that looks whole can't be taken back.
func (a *Response) confirmProcess() error {
	ctx, cancel := context.WithTimeout(a.ctx, processTimeout)
	defer cancel()
	switch a.client.ProcessState(ctx, a.address) {
	case ProcessRunning:
		return io.EOF
	case ProcessEnded:
		return ErrProcessEnded
	}
	return errProcessUnknown
}

// endState is the state of a connection on which the end of file was read.
type endState int

const (
	endInOrder endState = iota // or the system doesn't tell
	endUntaken                 // the server hasn't acknowledged all of the request
)

// endState returns an error if the connection has failed or this side has closed it.
func (c *conn) endState() (endState, error) {
	if err := c.peekFailure.Load(); err != nil {
		return endInOrder, *err
	}
	if c.raw == nil {
		return endInOrder, nil
	}
	var info *unix.TCPInfo
	var unknown error
	if err := c.raw.Control(func(fd uintptr) {
		info, unknown = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
	}); err != nil {
		return endInOrder, err
	}
	switch {
	case unknown != nil: // not supported: only what calls have reported is known
		return endInOrder, nil
	case info.State == tcpStateClose:
		return endInOrder, unix.ECONNRESET
	case info.Unacked > 0 || info.Notsent_bytes > 0:
		return endUntaken, nil
	}
	return endInOrder, nil
}
