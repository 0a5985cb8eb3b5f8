// Package streambuild finds the build of the servers' software that began a stream. A stream that was
// interrupted may go on only at a server of that build: what two builds write does not fit together, and
// servers do not check it.
//
// # Who knows the build
//
// The instance that passes a stream's first event on to its caller knows the build. A caller that takes the
// stream up again, at any instance, names the request that brought the first event, so the build is recorded
// under that request's id. The record has to be where the next instance finds it when the first one has ended
// or cannot be reached, and in another region when a whole region is lost. So the first instance also sends
// it to a few others, its keepers. Rendezvous hashing over the members names them, and the instance at which
// the stream is taken up asks the instances that the hash names from its own view of the members.
//
// # When records are sent
//
// While a service has had one build only for StreamLifetime, every stream began there, and no record is needed:
// History decides that. An instance sends its records from when it cannot rule out a second build, at first those of
// all streams that are still running.
//
// A stream that was refused because nobody knew its build stays refused, however long its caller waits: later the
// builds of its time are forgotten, and one that came after it would be taken for its own. That is recorded as an
// origin without a service.
//
// # What is kept
//
// A record is kept for StreamLifetime to twice as long, and at most maxRecords of each half. Records are not
// replicated further, and are lost with their keepers. A stream whose build nobody knows does not go on.
package streambuild

import (
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
)

// Errors of a search for the build of a stream.
var (
	ErrUnknown  = errors.New("no instance knows the stream's build")
	ErrNoAnswer = errors.New("no instance answers a question about the stream's build")
)

// StreamLifetime is the longest time between two requests of a caller for one stream. It exceeds the timeouts of requests and
// the Retry-After of refused ones by far: a stream that goes on at another build reads as if it were whole.
const StreamLifetime = 15 * time.Minute

// StreamID identifies a stream: the hash of the id of the request that brought its first event.
type StreamID uint64

// IDOf returns the id of the stream that a request began.
func IDOf(requestID string) StreamID { return StreamID(xxhash.Sum64String(requestID)) }

// Origin is where a stream began.
type Origin struct {
	Service string
	Build   string // version of the server's software
}

// IsRefused reports whether the stream was refused as nobody knew its origin.
func (o Origin) IsRefused() bool { return o.Service == "" }

// Record is the origin of one stream.
type Record struct {
	Stream StreamID
	Origin Origin
}

// Answer is what one instance knows of a stream and of the builds of its service.
type Answer struct {
	From    netip.AddrPort // zero if this instance's own
	Known   bool
	Origin  Origin // if Known
	Builds  Builds
	Current bool // the instance reads the store at present, where builds appear first
}

// Builds is what one instance knows of the builds that a service had for StreamLifetime.
type Builds struct {
	Count   int    // that this instance has seen
	One     string // the only one, if Count is 1
	Covered bool   // this instance has seen all of them
}

// AnyCurrent reports whether one of those that know the builds reads the store at present. Instances that are all cut off from it agree
// on what they saw before.
func AnyCurrent(own Answer, answers []Answer) bool {
	return own.Current || slices.ContainsFunc(answers, func(a Answer) bool { return a.Current })
}

// Agreed returns the one build that a service had by what this instance knows and what others have answered, if it had
// one: somebody has to know of all builds, and nobody may have seen another. Without an answer it returns false if the
// instance has peers: it may be cut off from news of another build.
func Agreed(own Builds, answers []Answer, hasPeers bool) (string, bool) {
	if hasPeers && len(answers) == 0 {
		return "", false
	}
	all := []Builds{own}
	for _, a := range answers {
		all = append(all, a.Builds)
	}
	build, seen, covered := "", false, false
	for _, b := range all {
		if b.Count == 0 {
			continue
		}
		if b.Count > 1 || seen && b.One != build {
			return "", false
		}
		build, seen, covered = b.One, true, covered || b.Covered
	}
	return build, covered
}
