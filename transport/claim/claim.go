// Package claim creates and retracts the claims of package once in the store.
package claim

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"github.com/basilroute/basilroute/coordination/once"
	"github.com/basilroute/basilroute/protocol/refusal"
	"github.com/basilroute/basilroute/transport/platform"
)

const (
	claimTimeout   = 2 * time.Second        // for a claim, lost answers and all
	comeBack       = 2 * time.Second        // told to callers when the store is out of reach
	retractTimeout = 2 * time.Second        // while the caller waits
	settleFor      = 30 * time.Second       // how long a claim of unknown fate is looked for
	settlePause    = 500 * time.Millisecond // before the second look; doubled each time
	maxSettling    = 1024
)

// Store is the part of the platform's store that claims need.
type Store interface {
	Get(ctx context.Context, key string) (platform.KeyValue, error)
	Put(ctx context.Context, w platform.Write) (int64, error)
	Grant(ctx context.Context, ttl time.Duration) (int64, error)
}

// Request is what a claim is made for.
type Request struct {
	Key       string // idempotency key as the caller sent it
	Account   string
	Service   string
	Operation string
	Body      []byte
	RequestID string
}

// Claimer makes claims for one instance. It is safe for concurrent use.
type Claimer struct {
	store    Store
	instance string
	log      *slog.Logger
	outcomes *once.Outcomes
	stop     context.Context

	mu       sync.Mutex
	lease    once.Lease
	settling int
	tasks    sync.WaitGroup
}

// New returns a claimer. Its background work ends with ctx.
func New(ctx context.Context, store Store, instance string, log *slog.Logger) *Claimer {
	return &Claimer{store: store, instance: instance, log: log, outcomes: once.NewOutcomes(), stop: ctx}
}

// Wait returns when all background work has ended.
func (c *Claimer) Wait() { c.tasks.Wait() }

// Handle is a claim that stands, made by this instance.
type Handle struct {
	claimer  *Claimer
	key      string
	nonce    string
	revision int64
}

// Claim creates the claim, or returns why the request must not be dispatched.
// Nothing has been dispatched when it refuses: the run state it gives speaks of
// what other requests under the same key may have done.
func (c *Claimer) Claim(ctx context.Context, r Request) (*Handle, error) {
	key, refused := once.ParseKey(r.Key, time.Now())
	if refused != nil {
		return nil, refused
	}
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	hash := once.Hash(r.Service, r.Operation, r.Body)
	held := &Handle{claimer: c, key: key.StoreKey(r.Account), nonce: uuid.NewString()}
	value := once.Claim{
		Hash: hash, Nonce: held.nonce, Instance: c.instance, RequestID: r.RequestID, AtUnixMs: time.Now().UnixMilli(),
	}
	revision, err := c.create(ctx, held.key, value.Encode())
	switch {
	case err == nil:
		held.revision = revision
		c.outcomes.Set(held.nonce, refusal.Unknown)
		return held, nil
	case errors.Is(err, platform.ErrConflict):
		return nil, c.standing(ctx, held.key, hash)
	case errors.IsAny(err, errNoLease, platform.ErrRejected):
		return nil, storeDown()
	}
	c.settle(held)
	return nil, storeDown()
}

func storeDown() *refusal.Refusal {
	return refusal.New(refusal.CodeStoreDown, "the store is out of reach, so the operation cannot be claimed").After(comeBack)
}

var errNoLease = errors.New("no lease for claims")

// create writes the claim. A lease that has ended in the meantime is replaced
// once; nothing was written in that case.
func (c *Claimer) create(ctx context.Context, key string, value []byte) (int64, error) {
	for again := false; ; again = true {
		lease, err := c.useLease(ctx, again)
		if err != nil {
			return 0, errors.CombineErrors(errNoLease, err)
		}
		revision, err := c.store.Put(ctx, platform.Write{Key: key, Value: value, Lease: lease})
		if errors.Is(err, platform.ErrLeaseNotFound) && !again {
			continue
		}
		if errors.Is(err, platform.ErrLeaseNotFound) {
			return 0, errNoLease
		}
		return revision, err
	}
}

func (c *Claimer) useLease(ctx context.Context, renew bool) (int64, error) {
	c.mu.Lock()
	lease := c.lease
	c.mu.Unlock()
	asked := time.Now()
	if lease.Usable(asked) && !renew {
		return lease.ID, nil
	}
	id, err := c.store.Grant(ctx, once.LeaseTTL)
	if err != nil { // once more: a lease whose answer was lost holds no key and ends by itself
		id, err = c.store.Grant(ctx, once.LeaseTTL)
	}
	if err != nil {
		return 0, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lease = once.NewLease(id, asked)
	return id, nil
}

// standing tells a second comer what is known of the claim it found. A claim
// that was retracted in between is one that nobody dispatched.
func (c *Claimer) standing(ctx context.Context, key, hash string) *refusal.Refusal {
	kv, err := c.store.Get(ctx, key)
	if errors.Is(err, platform.ErrNotFound) {
		return refusal.New(refusal.CodeConflict, "another request under this key gave up just now").After(comeBack)
	}
	if err != nil {
		return refusal.New(refusal.CodeConflict, "a claim under this key stands").WithRun(refusal.Unknown)
	}
	found, err := once.Decode(kv.Value)
	if err != nil {
		return refusal.New(refusal.CodeConflict, "a claim under this key stands").WithRun(refusal.Unknown)
	}
	return once.DuplicateRefusal(found, hash, c.outcomes.Run(found.Nonce))
}

// Finish notes how the claimed operation ended. One that has certainly not run
// is retracted, so that the caller may send it again.
func (h *Handle) Finish(run refusal.Run) {
	h.claimer.outcomes.Set(h.nonce, run)
	if run != refusal.NotRun {
		return
	}
	ctx, cancel := context.WithTimeout(h.claimer.stop, retractTimeout)
	defer cancel()
	if err := h.claimer.delete(ctx, h); err != nil {
		h.claimer.settle(h)
	}
}

// delete retracts the claim. The store's compare-and-swap names the revision
// that this attempt wrote, so the claim of another is never deleted.
func (c *Claimer) delete(ctx context.Context, h *Handle) error {
	_, err := c.store.Put(ctx, platform.Write{Key: h.key, ExpectRevision: h.revision, Delete: true})
	if errors.Is(err, platform.ErrConflict) {
		return nil // it has gone already
	}
	return err
}

// settle looks in the background for a claim whose fate is unknown and retracts
// it: its operation was never dispatched. Symptom without it: a caller told
// "not run" comes back and finds the key taken by nobody. A claim that shows up
// after settleFor stays; its key then counts as unknown, never as free.
func (c *Claimer) settle(h *Handle) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.settling >= maxSettling || c.stop.Err() != nil {
		return
	}
	c.settling++
	c.tasks.Go(func() {
		c.retract(h)
		c.mu.Lock()
		c.settling--
		c.mu.Unlock()
	})
}

func (c *Claimer) retract(h *Handle) {
	ctx, cancel := context.WithTimeout(c.stop, settleFor)
	defer cancel()
	for pause := settlePause; ; pause *= 2 {
		switch c.look(ctx, h) {
		case foundOther:
			return
		case foundOwn:
			if c.delete(ctx, h) == nil {
				return
			}
		}
		select {
		case <-time.After(pause):
		case <-ctx.Done():
			c.log.Info("claim not found while settling", "key", h.key)
			return
		}
	}
}

// found is what stands under a claim's key.
type found int

const (
	foundNothing found = iota // or the store did not answer
	foundOwn
	foundOther
)

func (c *Claimer) look(ctx context.Context, h *Handle) found {
	kv, err := c.store.Get(ctx, h.key)
	if err != nil {
		return foundNothing
	}
	claim, err := once.Decode(kv.Value)
	if err != nil || !claim.HasNonce(h.nonce) {
		return foundOther
	}
	h.revision = kv.Revision
	return foundOwn
}
