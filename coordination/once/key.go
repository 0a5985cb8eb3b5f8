// Package once runs operations at most once. A caller identifies such an operation by
// an idempotency key; before it is dispatched, a claim is created under that key in the
// platform's store by compare-and-swap. An instance that finds an existing claim does
// not dispatch.
//
// A claim is not a lease: it is not renewed, and a paused or dead claimant does no
// harm, because no other instance takes a claim over. It expires once its key is too
// old to be accepted by any instance.
//
// The package does no I/O; callers pass the time.
package once

import (
	"time"

	"github.com/google/uuid"

	"github.com/basilroute/basilroute/protocol/refusal"
)

const (
	// MaxKeyAge is the maximum age of an idempotency key.
	MaxKeyAge = time.Hour
	// MaxAhead is how far a caller's clock may be ahead of an instance's.
	MaxAhead = time.Minute
	// MaxSkew is how far apart the clocks of two instances may be.
	MaxSkew = time.Minute
	// LeaseReusePeriod is how long new claims are bound to one store lease, so that a
	// claim costs one write and not two.
	LeaseReusePeriod = 10 * time.Minute
	// LeaseTTL lets a claim expire only after every instance rejects its key as too
	// old: the lease takes claims for LeaseReusePeriod, a key is at most MaxAhead
	// younger than its claim, and another instance's clock may be MaxSkew behind.
	LeaseTTL = LeaseReusePeriod + MaxAhead + MaxKeyAge + MaxSkew
)

const (
	keyVersion = 7
	keyPrefix  = "once/"
)

// Key is a valid idempotency key.
type Key struct {
	id uuid.UUID
}

// ParseKey checks an idempotency key. It has to be a UUIDv7, whose age is known. The
// operation of a key that is too old may have run while its claim was stored, so its run
// state is unknown; so is that of a key from the future. A malformed key is accepted by no
// instance, so its operation has not run.
func ParseKey(text string, now time.Time) (Key, *refusal.Refusal) {
	id, err := uuid.Parse(text)
	if err != nil || id.Version() != keyVersion {
		return Key{}, refusal.New(refusal.CodeInvalid, "the Idempotency-Key has to be a UUIDv7")
	}
	age := now.Sub(created(id))
	if age > MaxKeyAge {
		return Key{}, refusal.New(refusal.CodeInvalid, "the Idempotency-Key is older than %s", MaxKeyAge).WithRunState(refusal.RunUnknown)
	}
	if age < -MaxAhead {
		return Key{}, refusal.New(refusal.CodeInvalid, "the Idempotency-Key is from the future").WithRunState(refusal.RunUnknown)
	}
	return Key{id}, nil
}

// created returns the creation time in a UUIDv7, which is in milliseconds.
func created(id uuid.UUID) time.Time {
	var ms int64
	for _, b := range id[:6] {
		ms = ms<<8 | int64(b)
	}
	return time.UnixMilli(ms)
}

// StoreKey returns the store key of the claim. It contains the account, so that keys of
// different accounts never collide.
func (k Key) StoreKey(account string) string {
	return keyPrefix + account + "/" + k.id.String()
}

// String returns the key in its usual form.
func (k Key) String() string { return k.id.String() }
