// Package claim creates and retracts idempotency claims (package once) in the store.
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
	claimTimeout    = 2 * time.Second        // for a claim, including retries after lost responses
	storeRetryAfter = 2 * time.Second        // Retry-After for callers when the store is unreachable
	retractTimeout  = 2 * time.Second        // while the caller waits
	settleTimeout   = 30 * time.Second       // how long a claim of unknown outcome is searched for
	settleBackoff   = 500 * time.Millisecond // before the second lookup; doubled each time
	maxSettleTasks  = 1024
)

// Store is the part of the platform's store that claims need.
type Store interface {
	Get(ctx context.Context, key string) (platform.KeyValue, error)
	Put(ctx context.Context, w platform.Write) (int64, error)
	Grant(ctx context.Context, ttl time.Duration) (int64, error)
}

// Request identifies the operation that a claim is made for.
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
	store      Store
	instance   string
	log        *slog.Logger
	outcomes   *once.Outcomes
	background context.Context

	mu          sync.Mutex
	lease       once.Lease
	settleTasks int
	tasks       sync.WaitGroup
}

// New returns a claimer. Its background work ends with ctx.
func New(ctx context.Context, store Store, instance string, log *slog.Logger) *Claimer {
	return &Claimer{store: store, instance: instance, log: log, outcomes: once.NewOutcomes(), background: ctx}
}

// Wait returns when all background work has ended.
func (c *Claimer) Wait() { c.tasks.Wait() }

// Handle is a stored claim that this instance created.
type Handle struct {
	claimer  *Claimer
	key      string
	nonce    string
	revision int64
}

// Claim creates the claim, or returns why the request must not be dispatched. When it returns a
// refusal, this request has not been dispatched: the refusal's run state describes what other
// requests with the same key may have done.
func (c *Claimer) Claim(ctx context.Context, r Request) (*Handle, error) {
	key, refused := once.ParseKey(r.Key, time.Now())
	if refused != nil {
		return nil, refused
	}
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	hash := once.Hash(r.Service, r.Operation, r.Body)
	handle := &Handle{claimer: c, key: key.StoreKey(r.Account), nonce: uuid.NewString()}
	value := once.Claim{
		Hash: hash, Nonce: handle.nonce, Instance: c.instance, RequestID: r.RequestID, AtUnixMs: time.Now().UnixMilli(),
	}
	revision, err := c.create(ctx, handle.key, value.Encode())
	switch {
	case err == nil:
		handle.revision = revision
		c.outcomes.Set(handle.nonce, refusal.RunUnknown)
		return handle, nil
	case errors.Is(err, platform.ErrConflict):
		return nil, c.duplicateRefusal(ctx, handle.key, hash)
	case errors.IsAny(err, errNoLease, platform.ErrRejected):
		return nil, storeUnreachable()
	}
	c.settle(handle)
	return nil, storeUnreachable()
}

func storeUnreachable() *refusal.Refusal {
	return refusal.New(refusal.CodeStoreDown, "the store is out of reach, so the operation cannot be claimed").WithRetryAfter(storeRetryAfter)
}

var errNoLease = errors.New("no lease for claims")

// create writes the claim. If the lease has expired in the meantime, nothing was written, and
// create tries once more with a new lease.
func (c *Claimer) create(ctx context.Context, key string, value []byte) (int64, error) {
	for retried := false; ; retried = true {
		lease, err := c.useLease(ctx, retried)
		if err != nil {
			return 0, errors.CombineErrors(errNoLease, err)
		}
		revision, err := c.store.Put(ctx, platform.Write{Key: key, Value: value, Lease: lease})
		if errors.Is(err, platform.ErrLeaseNotFound) && !retried {
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
	requestedAt := time.Now()
	if lease.Usable(requestedAt) && !renew {
		return lease.ID, nil
	}
	id, err := c.store.Grant(ctx, once.LeaseTTL)
	if err != nil { // retry once: a lease whose response was lost holds no key and expires
		id, err = c.store.Grant(ctx, once.LeaseTTL)
	}
	if err != nil {
		return 0, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lease = once.NewLease(id, requestedAt)
	return id, nil
}

// Standing returns the refusal of a request as a duplicate, or nil if no claim of its key is known to stand.
func (c *Claimer) Standing(ctx context.Context, r Request) *refusal.Refusal {
	key, refused := once.ParseKey(r.Key, time.Now())
	if refused != nil {
		return nil // no claim can have such a key
	}
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	kv, err := c.store.Get(ctx, key.StoreKey(r.Account))
	if err != nil {
		if !errors.Is(err, platform.ErrNotFound) {
			c.log.Info("claim_not_read", "request", r.RequestID, "error", err.Error())
		}
		return nil
	}
	return c.describe(kv, once.Hash(r.Service, r.Operation, r.Body))
}

// duplicateRefusal returns the refusal of a duplicate request, with what is known of the
// existing claim. A claim that was retracted in between was never dispatched.
func (c *Claimer) duplicateRefusal(ctx context.Context, key, hash string) *refusal.Refusal {
	kv, err := c.store.Get(ctx, key)
	if errors.Is(err, platform.ErrNotFound) {
		return refusal.New(refusal.CodeConflict, "another request under this key gave up just now").WithRetryAfter(storeRetryAfter)
	}
	if err != nil {
		return refusal.New(refusal.CodeConflict, "a claim under this key stands").WithRunState(refusal.RunUnknown)
	}
	return c.describe(kv, hash)
}

// describe returns the refusal of a duplicate of the request that made a claim.
func (c *Claimer) describe(kv platform.KeyValue, hash string) *refusal.Refusal {
	found, err := once.Decode(kv.Value)
	if err != nil {
		return refusal.New(refusal.CodeConflict, "a claim under this key stands").WithRunState(refusal.RunUnknown)
	}
	return once.DuplicateRefusal(found, hash, c.outcomes.Run(found.Nonce))
}

// Finish records how the claimed operation ended. The claim of an operation that has certainly
// not run is retracted, so that the caller may send it again.
func (h *Handle) Finish(run refusal.RunState) {
	h.claimer.outcomes.Set(h.nonce, run)
	if run != refusal.NotRun {
		return
	}
	ctx, cancel := context.WithTimeout(h.claimer.background, retractTimeout)
	defer cancel()
	if err := h.claimer.delete(ctx, h); err != nil {
		h.claimer.settle(h)
	}
}

// delete retracts the claim. The compare-and-swap expects the revision that this attempt
// wrote, so the claim of another request is never deleted.
func (c *Claimer) delete(ctx context.Context, h *Handle) error {
	_, err := c.store.Put(ctx, platform.Write{Key: h.key, ExpectRevision: h.revision, Delete: true})
	if errors.Is(err, platform.ErrConflict) {
		return nil // already deleted
	}
	return err
}

// settle searches in the background for a claim whose creation or deletion has an unknown
// outcome and deletes it: its operation has not run. Without this, a caller that was told "not
// run" retries and finds its key taken by a request that never ran. A claim that appears
// after settleTimeout stays; its key then counts as unknown, never as free.
func (c *Claimer) settle(h *Handle) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.settleTasks >= maxSettleTasks || c.background.Err() != nil {
		return
	}
	c.settleTasks++
	c.tasks.Go(func() {
		c.retract(h)
		c.mu.Lock()
		c.settleTasks--
		c.mu.Unlock()
	})
}

func (c *Claimer) retract(h *Handle) {
	ctx, cancel := context.WithTimeout(c.background, settleTimeout)
	defer cancel()
	for backoff := settleBackoff; ; backoff *= 2 {
		switch c.lookUp(ctx, h) {
		case foundOther:
			return
		case foundOwn:
			if c.delete(ctx, h) == nil {
				return
			}
		}
		select {
		case <-time.After(backoff):
		case <-ctx.Done():
			c.log.Info("claim of unknown outcome not found in the store", "key", h.key)
			return
		}
	}
}

// lookupResult says which claim is stored under a key.
type lookupResult int

const (
	foundNone lookupResult = iota // or the store did not respond
	foundOwn
	foundOther
)

func (c *Claimer) lookUp(ctx context.Context, h *Handle) lookupResult {
	kv, err := c.store.Get(ctx, h.key)
	if err != nil {
		return foundNone
	}
	claim, err := once.Decode(kv.Value)
	if err != nil || !claim.HasNonce(h.nonce) {
		return foundOther
	}
	h.revision = kv.Revision
	return foundOwn
}
