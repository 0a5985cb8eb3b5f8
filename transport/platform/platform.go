// Package platform is the client of the platform's services: the key-value store with
// compare-and-swap, leases and watches, and the list of instances.
//
// Every call has a deadline and is counted against a rate limit; a waiting watch counts as one
// call. When the response to a write is lost, the writer reads the value back: every value is
// stored with a nonce of its write, so that the writer can distinguish its own value from
// another's.
package platform

import (
	"bytes"
	"cmp"
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/semaphore"
	"golang.org/x/time/rate"

	"github.com/basilroute/basilroute/protocol/platformapi"
	"github.com/basilroute/basilroute/transport/httpbound"
	"github.com/basilroute/basilroute/transport/httpidle"
)

// KeyValue is a stored value with the revision that wrote it.
type KeyValue struct {
	Key      string
	Value    []byte
	Revision int64
	Lease    int64
	Deleted  bool
	Nonce    string // of the write, a UUIDv7 that orders writes; empty when another program wrote the value

	writeNonce string // nonce of the write, if it differs from Nonce
}

// Write is a compare-and-swap of one key.
type Write struct {
	Key            string
	Value          []byte
	ExpectRevision int64 // revision that the key must have; 0 when it must not exist, ExpectAny for any
	Lease          int64 // the key is deleted when the lease expires; 0 for none
	Delete         bool
	AfterNonce     string // nonce that the new one must sort after, whatever the clocks say; may be empty
	Nonce          string // of a value that is written back unchanged; a new one when empty
}

// ExpectAny makes a write take effect whatever revision the key has.
const ExpectAny = -1

// Errors of the store. After any other error the outcome of a write is unknown.
var (
	ErrNotFound      = errors.New("key not found")
	ErrConflict      = errors.New("the key has another revision")
	ErrLeaseNotFound = errors.New("the lease has ended")
	ErrRejected      = errors.New("the store rejected the call")
	ErrCompacted     = errors.New("the store has dropped this history")
)

// Store is the key-value service.
type Store interface {
	Get(ctx context.Context, key string) (KeyValue, error)
	// List returns the keys under a prefix that changed after a revision, and the store's revision.
	List(ctx context.Context, prefix string, after int64) ([]KeyValue, int64, error)
	// Watch is List, but waits up to wait for a change. A store that compacts its history
	// returns ErrCompacted when it no longer has all changes since after.
	Watch(ctx context.Context, prefix string, after int64, wait time.Duration) ([]KeyValue, int64, error)
	// Put returns the revision written. It retries after lost responses until ctx ends.
	Put(ctx context.Context, w Write) (int64, error)
	Grant(ctx context.Context, ttl time.Duration) (int64, error)
	KeepAlive(ctx context.Context, lease int64) error
	Revoke(ctx context.Context, lease int64) error
}

// Lister is the platform's list of instances.
type Lister interface {
	Instances(ctx context.Context) ([]platformapi.Instance, error)
}

// Settings of a Client.
type Settings struct {
	URL         string
	CallTimeout time.Duration // without a byte of a response, on top of a watch's wait
	CallRate    float64       // calls per second
	CallBurst   int
}

const (
	// maxResponseBytes bounds a response of the platform. The largest is a list of all keys: 11,000
	// accounts of 1.5 KB, in base64. The generated client needs up to three times as much for a moment.
	maxResponseBytes = 24 << 20
	// maxLargeResponses bounds how many responses above smallResponseBytes are read at a time.
	maxLargeResponses  = 1
	smallResponseBytes = 2 << 20

	nonceBytes     = 36 // text form of a UUID
	minBackoff     = 20 * time.Millisecond
	maxBackoff     = time.Second
	headerEnd      = '\n'
	nonceSeparator = ' '
	maxHeader      = 2*nonceBytes + 1
)

// Client implements Store and Lister over HTTP.
type Client struct {
	settings Settings
	api      *platformapi.Client
	budget   *rate.Limiter
}

// New returns a client. It makes no call.
func New(settings Settings, transport http.RoundTripper) (*Client, error) {
	api, err := platformapi.NewClient(settings.URL, platformapi.WithClient(&http.Client{
		Transport: httpidle.Transport{Next: httpbound.Transport{
			Next: transport, MaxBody: maxResponseBytes,
			Large: semaphore.NewWeighted(maxLargeResponses), SmallBody: smallResponseBytes,
		}},
	}))
	if err != nil {
		return nil, errors.Wrap(err, "platform client")
	}
	return &Client{
		settings: settings,
		api:      api,
		budget:   rate.NewLimiter(rate.Limit(settings.CallRate), settings.CallBurst),
	}, nil
}

// call waits for the rate limit and makes one call, which times out when no byte of its response
// arrives in time.
func (c *Client) call(ctx context.Context, extra time.Duration, do func(context.Context) error) error {
	if err := c.budget.Wait(ctx); err != nil {
		return errors.Wrap(err, "platform call budget")
	}
	return typedError(do(httpidle.WithTimeouts(ctx, c.settings.CallTimeout+extra, c.settings.CallTimeout)))
}

func typedError(err error) error {
	var status *platformapi.ErrorStatusCode
	if !errors.As(err, &status) {
		return err
	}
	switch status.Response.Code {
	case platformapi.ErrorCodeNotFound:
		return ErrNotFound
	case platformapi.ErrorCodeConflict:
		return ErrConflict
	case platformapi.ErrorCodeLeaseNotFound:
		return ErrLeaseNotFound
	case platformapi.ErrorCodeTooLarge, platformapi.ErrorCodeInvalid:
		return errors.Wrap(ErrRejected, status.Response.Message)
	}
	return err
}

// Get implements Store.
func (c *Client) Get(ctx context.Context, key string) (KeyValue, error) {
	var found *platformapi.KeyValue
	err := c.call(ctx, 0, func(ctx context.Context) (err error) {
		found, err = c.api.GetKey(ctx, platformapi.GetKeyParams{Key: key})
		return err
	})
	if err != nil {
		return KeyValue{}, err
	}
	return decodeValue(*found), nil
}

// decodeValue splits a stored value into its header and the value itself.
func decodeValue(stored platformapi.KeyValue) KeyValue {
	kv := KeyValue{
		Key: stored.Key, Value: stored.Value, Revision: stored.Revision,
		Lease: stored.Lease.Or(0), Deleted: stored.Deleted.Or(false),
	}
	header, value, ok := bytes.Cut(stored.Value, []byte{headerEnd})
	if !ok || len(header) > maxHeader {
		return kv
	}
	nonce, write, _ := bytes.Cut(header, []byte{nonceSeparator})
	if len(nonce) != nonceBytes {
		return kv
	}
	kv.Value, kv.Nonce, kv.writeNonce = value, string(nonce), string(write)
	return kv
}

// encodeValue prefixes the value with a header: the nonce of the value and, for a value that
// is written back, also the nonce of this write.
func encodeValue(nonce, write string, value []byte) []byte {
	sealed := make([]byte, 0, maxHeader+1+len(value))
	sealed = append(sealed, nonce...)
	if write != nonce {
		sealed = append(sealed, nonceSeparator)
		sealed = append(sealed, write...)
	}
	sealed = append(sealed, headerEnd)
	return append(sealed, value...)
}

// writerNonce returns the nonce of the write that stored the value.
func (kv KeyValue) writerNonce() string {
	if kv.writeNonce != "" {
		return kv.writeNonce
	}
	return kv.Nonce
}

func decodeValues(list *platformapi.KeyList) ([]KeyValue, int64) {
	out := make([]KeyValue, len(list.Items))
	for i, item := range list.Items {
		out[i] = decodeValue(item)
	}
	return out, list.Revision
}

// List implements Store.
func (c *Client) List(ctx context.Context, prefix string, after int64) ([]KeyValue, int64, error) {
	var list *platformapi.KeyList
	err := c.call(ctx, 0, func(ctx context.Context) (err error) {
		list, err = c.api.ListKeys(ctx, platformapi.ListKeysParams{Prefix: prefix, After: platformapi.NewOptInt64(after)})
		return err
	})
	if err != nil {
		return nil, 0, err
	}
	items, revision := decodeValues(list)
	return items, revision, nil
}

// Watch implements Store.
func (c *Client) Watch(ctx context.Context, prefix string, after int64, wait time.Duration) ([]KeyValue, int64, error) {
	var list *platformapi.KeyList
	err := c.call(ctx, wait, func(ctx context.Context) (err error) {
		list, err = c.api.WatchKeys(ctx, platformapi.WatchKeysParams{Prefix: prefix, After: after, WaitMs: wait.Milliseconds()})
		return err
	})
	if err != nil {
		return nil, 0, err
	}
	items, revision := decodeValues(list)
	return items, revision, nil
}

// Put implements Store.
//
// When the response is lost, it is unknown whether the write took effect. Put sends the same
// write again with the same nonce: a compare-and-swap takes effect once, and after a conflict
// the stored nonce tells whose write it was.
func (c *Client) Put(ctx context.Context, w Write) (int64, error) {
	nonce, err := newNonce(w.AfterNonce)
	if err != nil {
		return 0, err
	}
	backoff := minBackoff
	for first := true; ; first = false {
		revision, err := c.putOnce(ctx, w, nonce)
		switch {
		case err == nil:
			return revision, nil
		case errors.Is(err, ErrConflict) && !first:
			return c.resolveConflict(ctx, w, nonce)
		case errors.IsAny(err, ErrConflict, ErrLeaseNotFound, ErrRejected):
			return 0, err
		}
		if !sleep(ctx, backoff) {
			return 0, errors.Wrapf(err, "outcome of the write of %s is unknown", w.Key)
		}
		backoff = min(2*backoff, maxBackoff)
	}
}

func (c *Client) putOnce(ctx context.Context, w Write, nonce string) (int64, error) {
	var result *platformapi.PutResult
	err := c.call(ctx, 0, func(ctx context.Context) (err error) {
		result, err = c.api.PutKey(ctx, &platformapi.PutRequest{
			Key: w.Key, Value: encodeValue(cmp.Or(w.Nonce, nonce), nonce, w.Value), Expect: w.ExpectRevision,
			Lease: platformapi.NewOptInt64(w.Lease), Delete: platformapi.NewOptBool(w.Delete),
		})
		return err
	})
	if err != nil {
		return 0, err
	}
	return result.Revision, nil
}

// resolveConflict finds out which write is stored after a conflict that the caller's own
// earlier attempt may have caused.
func (c *Client) resolveConflict(ctx context.Context, w Write, nonce string) (int64, error) {
	for {
		kv, err := c.readStored(ctx, w)
		switch {
		case err == nil && kv.writerNonce() == nonce:
			return kv.Revision, nil
		case err == nil, errors.Is(err, ErrNotFound):
			return 0, ErrConflict
		}
		if !sleep(ctx, minBackoff) {
			return 0, errors.Wrapf(err, "outcome of the write of %s is unknown", w.Key)
		}
	}
}

// readStored reads what is stored in place of a write. A deletion leaves only a marker in the
// list of changes, which Get does not return.
func (c *Client) readStored(ctx context.Context, w Write) (KeyValue, error) {
	if !w.Delete {
		return c.Get(ctx, w.Key)
	}
	changes, _, err := c.List(ctx, w.Key, w.ExpectRevision)
	if err != nil {
		return KeyValue{}, err
	}
	for _, kv := range changes {
		if kv.Key == w.Key {
			return kv, nil
		}
	}
	return KeyValue{}, ErrNotFound
}

func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// Grant implements Store.
func (c *Client) Grant(ctx context.Context, ttl time.Duration) (int64, error) {
	var lease *platformapi.Lease
	err := c.call(ctx, 0, func(ctx context.Context) (err error) {
		lease, err = c.api.GrantLease(ctx, &platformapi.LeaseRequest{TTLMs: ttl.Milliseconds()})
		return err
	})
	if err != nil {
		return 0, err
	}
	return lease.ID, nil
}

// KeepAlive implements Store.
func (c *Client) KeepAlive(ctx context.Context, lease int64) error {
	return c.call(ctx, 0, func(ctx context.Context) error {
		_, err := c.api.KeepAlive(ctx, platformapi.KeepAliveParams{ID: lease})
		return err
	})
}

// Revoke implements Store.
func (c *Client) Revoke(ctx context.Context, lease int64) error {
	return c.call(ctx, 0, func(ctx context.Context) error {
		return c.api.RevokeLease(ctx, platformapi.RevokeLeaseParams{ID: lease})
	})
}

// Instances implements Lister.
func (c *Client) Instances(ctx context.Context) ([]platformapi.Instance, error) {
	var list []platformapi.Instance
	err := c.call(ctx, 0, func(ctx context.Context) (err error) {
		list, err = c.api.ListInstances(ctx)
		return err
	})
	return list, err
}
