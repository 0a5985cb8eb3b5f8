// Package once decides about operations that may run at most once. A caller
// names such an operation by an idempotency key; before it is dispatched, a
// claim is created under that key in the platform's store by compare-and-swap.
// Whoever finds a claim of another does not dispatch.
//
// A claim is no lease: it is not renewed, and a paused or dead claimant harms
// nothing, because nobody takes a claim over. It ends by itself once its key is
// too old to be accepted by any instance.
//
// The package does no I/O; the time is handed in.
package once

import (
	"time"

	"github.com/google/uuid"

	"github.com/basilroute/basilroute/protocol/refusal"
)

const (
	// MaxKeyAge is how old an idempotency key may be.
	MaxKeyAge = time.Hour
	// MaxAhead is how far a caller's clock may be ahead of an instance's.
	MaxAhead = time.Minute
	// MaxSkew is how far apart the clocks of two instances may be.
	MaxSkew = time.Minute
	// LeaseReusePeriod is how long one store lease takes new claims, so that a claim
	// costs one write and not two.
	LeaseReusePeriod = 10 * time.Minute
	// LeaseTTL ends a claim after its key has become too old everywhere: the
	// lease takes claims for LeaseUse, a key is at most MaxAhead younger than
	// its claim, and another instance's clock may be MaxSkew behind.
	LeaseTTL = LeaseReusePeriod + MaxAhead + MaxKeyAge + MaxSkew
)

const (
	keyVersion = 7
	keyPrefix  = "once/"
)

// Key is a checked idempotency key.
type Key struct {
	id uuid.UUID
}

// ParseKey checks an idempotency key: a UUIDv7, because its age is known. A key
// that is too old may have run while its claim stood, so its run state is
// unknown; one that no instance accepts has not run.
func ParseKey(text string, now time.Time) (Key, *refusal.Refusal) {
	id, err := uuid.Parse(text)
	if err != nil || id.Version() != keyVersion {
		return Key{}, refusal.New(refusal.CodeInvalid, "the Idempotency-Key has to be a UUIDv7")
	}
	age := now.Sub(created(id))
	if age > MaxKeyAge {
		return Key{}, refusal.New(refusal.CodeInvalid, "the Idempotency-Key is older than %s", MaxKeyAge).WithRun(refusal.Unknown)
	}
	if age < -MaxAhead {
		return Key{}, refusal.New(refusal.CodeInvalid, "the Idempotency-Key is from the future").WithRun(refusal.Unknown)
	}
	return Key{id}, nil
}

// created returns the time that a UUIDv7 carries, in milliseconds.
func created(id uuid.UUID) time.Time {
	var ms int64
	for _, b := range id[:6] {
		ms = ms<<8 | int64(b)
	}
	return time.UnixMilli(ms)
}

// StoreKey returns where the claim stands. Keys of different accounts never meet.
func (k Key) StoreKey(account string) string {
	return keyPrefix + account + "/" + k.id.String()
}

// String returns the key in its usual form.
func (k Key) String() string { return k.id.String() }
