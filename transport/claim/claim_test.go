package claim

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"github.com/basilroute/basilroute/coordination/once"
	"github.com/basilroute/basilroute/protocol/refusal"
	"github.com/basilroute/basilroute/transport/platform"
)

var errNoResponse = errors.New("no response")

// fakeStore is a store that can lose responses and apply writes late.
type fakeStore struct {
	mu            sync.Mutex
	rng           *rand.Rand
	failPercent   int // percentage of calls that fail
	down          bool
	loseResponses bool // writes take effect, but their responses are lost
	revision      int64
	keys          map[string]platform.KeyValue
	puts          int
	grants        int
}

func newFakeStore(seed uint64, failPercent int) *fakeStore {
	return &fakeStore{rng: rand.New(rand.NewPCG(seed, 1)), failPercent: failPercent, keys: make(map[string]platform.KeyValue)}
}

func (s *fakeStore) Get(_ context.Context, key string) (platform.KeyValue, error) {
	time.Sleep(time.Millisecond)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down || s.rng.IntN(100) < s.failPercent {
		return platform.KeyValue{}, errNoResponse
	}
	kv, ok := s.keys[key]
	if !ok {
		return kv, platform.ErrNotFound
	}
	return kv, nil
}

func (s *fakeStore) Grant(context.Context, time.Duration) (int64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.grants++
	if s.down {
		return 0, errNoResponse
	}
	return 1, nil
}

// Put fails in three ways: the write is not applied, applied at once, or applied late.
func (s *fakeStore) Put(_ context.Context, w platform.Write) (int64, error) {
	time.Sleep(time.Millisecond)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.puts++
	if s.down {
		return 0, errNoResponse
	}
	if s.loseResponses {
		_, _ = s.apply(w)
		return 0, errNoResponse
	}
	if s.rng.IntN(100) >= s.failPercent {
		return s.apply(w)
	}
	switch s.rng.IntN(3) {
	case 0:
	case 1:
		_, _ = s.apply(w)
	case 2:
		delay := time.Duration(s.rng.IntN(3000)) * time.Millisecond
		time.AfterFunc(delay, func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			_, _ = s.apply(w)
		})
	}
	return 0, errNoResponse
}

func (s *fakeStore) apply(w platform.Write) (int64, error) {
	current := s.keys[w.Key]
	if current.Revision != w.ExpectRevision {
		return 0, platform.ErrConflict
	}
	s.revision++
	if w.Delete {
		delete(s.keys, w.Key)
		return s.revision, nil
	}
	s.keys[w.Key] = platform.KeyValue{Key: w.Key, Value: w.Value, Revision: s.revision}
	return s.revision, nil
}

func newKey(t *testing.T) string {
	t.Helper()
	id, err := uuid.NewV7()
	if err != nil {
		t.Fatal(err)
	}
	return id.String()
}

// keyAt returns a UUIDv7 with the given time. uuid.NewV7 may use a cached time that differs
// from the virtual clock of synctest.
func keyAt(at time.Time) string {
	var id uuid.UUID
	ms := at.UnixMilli()
	for i := range 6 {
		id[i] = byte(ms >> (40 - 8*i))
	}
	id[6], id[8], id[15] = 0x70, 0x80, byte(ms)
	return id.String()
}

// callers repeatedly send the same purchase order through random instances.
type callers struct {
	store     *fakeStore
	instances []*Claimer
	mu        sync.Mutex
	runs      int
	refused   int
}

// send simulates one request: claim, dispatch, end. The dispatch runs, fails before it is
// started, or loses its response.
func (c *callers) send(rng *rand.Rand, key string) error {
	claimer := c.instances[rng.IntN(len(c.instances))]
	handle, err := claimer.Claim(context.Background(), Request{Key: key, Account: "a", Service: "s", Operation: "buy", Body: []byte("resin"), RequestID: "r"})
	if err != nil {
		return err
	}
	time.Sleep(time.Duration(rng.IntN(20)) * time.Millisecond)
	switch rng.IntN(4) {
	case 0: // the server could not be reached
		handle.Finish(refusal.NotRun)
		return refusal.New(refusal.CodeBackendFailed, "not reached")
	case 1: // the instance is killed between claim and dispatch
		return refusal.New(refusal.CodePeerUnreachable, "killed").WithRunState(refusal.RunUnknown)
	}
	c.mu.Lock()
	c.runs++
	c.mu.Unlock()
	handle.Finish(refusal.Ran)
	return nil
}

func (c *callers) count(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if err != nil {
		c.refused++
	}
}

// Callers send a purchase order several times, concurrently and in sequence, through three
// instances, while the store loses responses and applies writes late, backend servers are
// unreachable, and instances crash between claim and dispatch. The order must run at most
// once: only the attempt whose own write created the claim dispatches, and only the claim of
// an operation that certainly did not run is deleted.
func TestAtMostOnceUnderFaults(t *testing.T) {
	ran, refused := 0, 0
	for seed := range uint64(300) {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			c := &callers{store: newFakeStore(seed, 30)}
			for n := range 3 {
				c.instances = append(c.instances, New(ctx, c.store, fmt.Sprint(n), slog.New(slog.DiscardHandler)))
			}
			key := keyAt(time.Now())
			var all sync.WaitGroup
			for n := range 8 {
				all.Go(func() {
					rng := rand.New(rand.NewPCG(seed, uint64(n)))
					for range 4 {
						c.count(c.send(rng, key))
						time.Sleep(time.Duration(rng.IntN(2000)) * time.Millisecond)
					}
				})
			}
			all.Wait()
			if c.runs > 1 {
				t.Errorf("seed %d: the order ran %d times", seed, c.runs)
			}
			ran += c.runs
			refused += c.refused
			cancel()
			for _, i := range c.instances {
				i.Wait()
			}
			time.Sleep(time.Minute) // late writes
		})
	}
	if ran == 0 || refused == 0 {
		t.Errorf("nothing shown: %d ran, %d refused", ran, refused)
	}
}

// The store is unreachable. The caller is told "not run" with a Retry-After; once the store is
// reachable again the same key must be accepted, also when the write whose response was lost
// had taken effect: the attempt retracts it.
func TestLostClaimIsRetracted(t *testing.T) {
	for _, lose := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			store := newFakeStore(1, 0)
			store.down, store.loseResponses = !lose, lose
			c := New(ctx, store, "i", slog.New(slog.DiscardHandler))
			r := Request{Key: keyAt(time.Now()), Account: "a", Service: "s", Operation: "buy"}
			_, err := c.Claim(ctx, r)
			got := refusal.FromError(err)
			if got.Code != refusal.CodeStoreDown || got.RunState != refusal.NotRun || got.RetryAfter == 0 {
				t.Fatalf("store out of reach: %v", err)
			}
			time.Sleep(3 * time.Second)
			store.mu.Lock()
			store.down, store.loseResponses = false, false
			store.mu.Unlock()
			time.Sleep(settleTimeout)
			if _, err := c.Claim(ctx, r); err != nil {
				t.Errorf("the key is still taken: %v", err)
			}
			cancel()
			c.Wait()
		})
	}
}

// A duplicate request is told what is known: that another one is running, that it ran, or that
// the key was used for another operation. The same key of another account must not interfere.
func TestSecondComerIsTold(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	store := newFakeStore(1, 0)
	first := New(ctx, store, "first", slog.New(slog.DiscardHandler))
	second := New(ctx, store, "second", slog.New(slog.DiscardHandler))
	r := Request{Key: newKey(t), Account: "a", Service: "s", Operation: "buy", Body: []byte("1")}
	handle, err := first.Claim(ctx, r)
	if err != nil {
		t.Fatal(err)
	}
	check := func(what string, c *Claimer, r Request, code refusal.Code, run refusal.RunState) {
		t.Helper()
		_, err := c.Claim(ctx, r)
		if got := refusal.FromError(err); err == nil || got.Code != code || got.RunState != run {
			t.Errorf("%s: %v", what, err)
		}
	}
	check("in flight", first, r, refusal.CodeConflict, refusal.RunUnknown)
	handle.Finish(refusal.Ran)
	check("ran, same instance", first, r, refusal.CodeConflict, refusal.Ran)
	check("ran, other instance", second, r, refusal.CodeConflict, refusal.RunUnknown)
	other := r
	other.Body = []byte("2")
	check("other body", second, other, refusal.CodeInvalid, refusal.NotRun)
	other = r
	other.Account = "b"
	if _, err := second.Claim(ctx, other); err != nil {
		t.Errorf("another account: %v", err)
	}
}

// A claim costs one write; claims share the lease that expires them.
func TestOneWritePerOperation(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	store := newFakeStore(1, 0)
	c := New(ctx, store, "i", slog.New(slog.DiscardHandler))
	for range 100 {
		handle, err := c.Claim(ctx, Request{Key: newKey(t), Account: "a"})
		if err != nil {
			t.Fatal(err)
		}
		handle.Finish(refusal.Ran)
	}
	if store.puts != 100 || store.grants != 1 {
		t.Errorf("%d writes and %d leases for 100 operations", store.puts, store.grants)
	}
}

// A caller retries with a key whose claim has expired in the store. Every instance must refuse
// the key as too old before that: the claim outlives its key.
func TestClaimOutlivesItsKey(t *testing.T) {
	now := time.UnixMilli(1_800_000_000_000)
	youngest := keyAt(now.Add(once.MaxAhead)) // the claimant's clock is behind the caller's
	if _, refused := once.ParseKey(youngest, now); refused != nil {
		t.Fatal(refused)
	}
	lastUse := now.Add(-once.LeaseReusePeriod)
	ends := lastUse.Add(once.LeaseTTL)
	if _, refused := once.ParseKey(youngest, ends.Add(-once.MaxSkew+time.Millisecond)); refused == nil {
		t.Error("the key is accepted after its claim has ended")
	} else if refused.RunState != refusal.RunUnknown {
		t.Errorf("too old: %v", refused)
	}
	for _, text := range []string{"", "x", uuid.NewString()} {
		if _, refused := once.ParseKey(text, now); refused == nil || refused.RunState != refusal.NotRun {
			t.Errorf("%q: %v", text, refused)
		}
	}
}
