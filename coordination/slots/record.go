// Package slots decides which instance of a failure domain holds each of the
// domain's quota slots. At most one instance may mint for a slot at any instant,
// also when the platform's store is out of reach, instances pause or messages
// are lost.
//
// A slot is one key of the store. Its holder renews it by compare-and-swap and
// mints while the lease of the last acknowledged renewal runs. A renewal also
// writes the list of the peers that the holder will ask when the store does not
// answer: with fresh promises from enough of them it goes on minting. A listed
// peer takes the slot only after the lease, with consents from so many of the
// list that the holder can no longer collect its promises.
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

// Member is one run of an instance. A restarted instance is another member,
// since it has forgotten the promises and consents that it gave.
type Member struct {
	ID          string `json:"id"`
	Incarnation uint64 `json:"incarnation"`
}

// Record is what the store holds of a slot. The bounds that the holder goes by
// stand in it, so that a changed fleet document cannot shorten them for a taker.
type Record struct {
	Holder    Member   `json:"holder"`
	Released  bool     `json:"released,omitempty"` // free for anyone to take
	Epoch     uint64   `json:"epoch"`              // rises with each change of the holder
	Seq       uint64   `json:"seq"`                // rises with each write
	Writer    Member   `json:"writer"`
	Nonce     uint64   `json:"nonce"`    // of the writer's own; tells its writes apart
	List      []Member `json:"list"`     // peers that the holder asks for promises
	Promises  int      `json:"promises"` // of the list that the holder needs without the store
	LeaseMs   int64    `json:"lease_ms"`
	ReleaseMs int64    `json:"release_ms"` // after the lease, when anyone may take the slot
}

func (r *Record) lease() time.Duration { return time.Duration(r.LeaseMs) * time.Millisecond }

// lapse is how long after a renewal anyone may take the slot. The holder stops
// before, promises or not.
func (r *Record) lapse() time.Duration {
	return time.Duration(r.LeaseMs+r.ReleaseMs) * time.Millisecond
}

// promisesNeeded is H of the protocol.
func (r *Record) promisesNeeded() int { return min(r.Promises, len(r.List)) }

// consentsNeeded is so many that fewer than promisesNeeded members are left.
func (r *Record) consentsNeeded() int { return len(r.List) - r.promisesNeeded() + 1 }

func (r *Record) lists(m Member) bool { return slices.Contains(r.List, m) }

// Encode returns the stored form.
func (r *Record) Encode() ([]byte, error) {
	data, err := json.Marshal(r)
	return data, errors.Wrap(err, "slot record")
}

// DecodeRecord reads the stored form.
func DecodeRecord(data []byte) (Record, error) {
	var r Record
	err := json.Unmarshal(data, &r)
	return r, errors.Wrap(err, "slot record")
}

// Prefix returns the store prefix of a failure domain's slots.
func Prefix(domain string) string { return "slots/" + domain + "/" }

// Key returns the store key of a slot.
func Key(domain string, slot int) string { return fmt.Sprintf("%s%d", Prefix(domain), slot) }

// Bounds of clock drift. An instance that counts a time in another's stead
// counts it longer by a hundredth and by driftMargin: two clocks that each run
// wrong by up to 0.4% then still agree on who stops first.
const (
	driftDivisor = 100
	driftMargin  = 50 * time.Millisecond
)

// WithDrift returns how long to wait for a time that another instance counts.
func WithDrift(d time.Duration) time.Duration { return d + d/driftDivisor + driftMargin }
