// Package slots decides which instance of a failure domain holds each of the
// domain's quota slots. At most one instance may mint for a slot at any instant,
// also when the platform's store is unreachable, instances pause or messages are
// lost.
//
// A slot is one key of the store. Its holder renews it by compare-and-swap and
// mints until the lease of the last acknowledged renewal expires. A renewal also
// writes a list of peers. When the store does not answer, the holder continues to
// mint with valid promises from enough of them. A listed peer takes the slot only
// after the lease, with consents from so many members of the list that the holder
// cannot collect enough promises any more.
//
// The package does no I/O: the time comes in with each call, and the caller
// carries out the returned actions and reports their outcome.
package slots

import (
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
)

// Member is one incarnation of an instance. A restarted instance is another member,
// since it has lost the promises and consents that it gave.
type Member struct {
	ID          string `json:"id"`
	Incarnation uint64 `json:"incarnation"`
}

// Record is a slot as stored. It has the bounds that its holder uses, so that a
// changed fleet document cannot shorten them for a member that takes the slot.
type Record struct {
	Holder    Member   `json:"holder"`
	Released  bool     `json:"released,omitempty"` // any instance may take the slot
	Epoch     uint64   `json:"epoch"`              // incremented with each change of the holder
	Seq       uint64   `json:"seq"`                // incremented with each write
	Writer    Member   `json:"writer"`
	Nonce     uint64   `json:"nonce"`    // distinguishes the writes of one writer
	List      []Member `json:"list"`     // peers that the holder requests promises from
	Promises  int      `json:"promises"` // number of promises that the holder needs while the store is unreachable
	LeaseMs   int64    `json:"lease_ms"`
	ReleaseMs int64    `json:"release_ms"` // from the end of the lease to the slot's expiry
}

func (r *Record) lease() time.Duration { return time.Duration(r.LeaseMs) * time.Millisecond }

// slotExpiry returns how long after a renewal any instance may take the slot. The holder
// stops before that, whatever promises it has.
func (r *Record) slotExpiry() time.Duration {
	return time.Duration(r.LeaseMs+r.ReleaseMs) * time.Millisecond
}

// promisesNeeded returns how many promises the holder needs to mint after its lease,
// H in the comments of the protocol.
func (r *Record) promisesNeeded() int { return min(r.Promises, len(r.List)) }

// consentsNeeded returns how many consents it takes to leave fewer than promisesNeeded
// members that can still promise.
func (r *Record) consentsNeeded() int { return len(r.List) - r.promisesNeeded() + 1 }

func (r *Record) isListed(m Member) bool { return slices.Contains(r.List, m) }

// Encode returns the record as it is stored.
func (r *Record) Encode() ([]byte, error) {
	data, err := json.Marshal(r)
	return data, errors.Wrap(err, "encode slot record")
}

// DecodeRecord decodes a stored record.
func DecodeRecord(data []byte) (Record, error) {
	var r Record
	err := json.Unmarshal(data, &r)
	return r, errors.Wrap(err, "decode slot record")
}

// Prefix returns the store prefix of a failure domain's slots.
func Prefix(domain string) string { return "slots/" + domain + "/" }

// Key returns the store key of a slot.
func Key(domain string, slot int) string { return fmt.Sprintf("%s%d", Prefix(domain), slot) }

// Bounds of clock drift. An instance that waits for the end of a period which another
// instance counts waits longer by a hundredth and by driftMargin. With clocks that
// each run fast or slow by up to 0.4%, the other instance then stops first.
const (
	driftDivisor = 100
	driftMargin  = 50 * time.Millisecond
)

// WithDrift returns how long to wait for the end of a period that another instance counts.
func WithDrift(d time.Duration) time.Duration { return d + d/driftDivisor + driftMargin }
