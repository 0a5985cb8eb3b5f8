package routed

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"google.golang.org/grpc"

	"github.com/basilroute/basilroute/coordination/quotashare"
	"github.com/basilroute/basilroute/service"
	"github.com/basilroute/basilroute/state/routes"
)

// quotaFleet is a fleet of instances that mint, of which some may be cut off from all others.
type quotaFleet struct {
	*testFleet
	mu  sync.Mutex
	cut map[string]bool

	unspent float64   // tokens that the account's rate and burst still allow
	spentAt time.Time // the time that unspent refers to
	spent   float64
}

func newQuotaFleet(t *testing.T, instances int) *quotaFleet {
	f := &quotaFleet{testFleet: newTestFleet(t, 0), cut: make(map[string]bool), unspent: minQuota, spentAt: time.Now()}
	f.accounts = map[string]*routes.Account{"acme": {Name: "acme", Rate: minQuota, Burst: minQuota}}
	f.store.serveOnly(func(id string) bool { return !f.isCut(id) })
	for range instances {
		f.start()
	}
	return f
}

func (f *quotaFleet) isCut(id string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.cut[id]
}

func (f *quotaFleet) setCut(cut bool, ids ...string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, id := range ids {
		f.cut[id] = cut
	}
}

// start adds an instance with the loops that share the quotas.
func (f *quotaFleet) start() *Instance {
	self := fmt.Sprint("front-", len(f.instances))
	f.dial = []grpc.DialOption{grpc.WithUnaryInterceptor(func(ctx context.Context, method string, req, reply any, cc *grpc.ClientConn, call grpc.UnaryInvoker, opts ...grpc.CallOption) error {
		target := cc.Target()[strings.LastIndex(cc.Target(), "/")+1:]
		if f.isCut(self) || f.isCut(target) {
			return errTestReset
		}
		return call(ctx, method, req, reply, cc, opts...)
	})}
	n := f.add(wideLink)
	for _, loop := range []func(context.Context){n.runStoreSync, n.lending.Run, n.rejoin, n.removeGone} {
		n.loops.Go(func() { loop(n.background) })
	}
	return n
}

// minted returns the sum of the shares that are minted now, and which instances mint.
func (f *quotaFleet) minted() (total float64, minting []string) {
	now := time.Now()
	for _, n := range f.instances {
		if n.background.Err() != nil || n.ledger.MintingSlots(now) == 0 {
			continue
		}
		minting = append(minting, n.settings.ID)
		total += quotashare.NewDivision(n.settings.ID, n.shares.Holders()).Allocate(&service.Account{Name: "acme"}).Share
	}
	return total, minting
}

// spend admits at every instance, cut off or not, what it has, and checks the sum against the account's rate and burst.
func (f *quotaFleet) spend() {
	f.t.Helper()
	const cost = 50.0 // tokens of a request
	now := time.Now()
	f.unspent = min(minQuota, f.unspent+now.Sub(f.spentAt).Seconds()*minQuota)
	f.spentAt = now
	for _, n := range f.instances {
		if n.background.Err() != nil {
			continue
		}
		for {
			if _, admitted := n.ledger.Admit("acme", cost, now); !admitted {
				break
			}
			f.unspent, f.spent = f.unspent-cost, f.spent+cost
		}
	}
	if f.unspent < -1 {
		f.t.Fatalf("%.0f tokens more than the account's rate and burst were admitted", -f.unspent)
	}
}

// watch spends what the instances have and checks the sum of the shares for some time. It returns which instances mint at the end,
// and since when.
func (f *quotaFleet) watch(lasts time.Duration) (minting []string, since time.Time) {
	f.t.Helper()
	for end := time.Now().Add(lasts); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		f.spend()
		total, ids := f.minted()
		if total > 1+1e-9 {
			f.t.Fatalf("%v mint %.3f of the account", ids, total)
		}
		if since.IsZero() || !slices.Equal(ids, minting) {
			minting, since = ids, time.Now()
		}
	}
	return minting, since
}

const (
	joinLimit    = 8 * time.Second                                  // until an instance mints that nobody gone keeps waiting
	removedLimit = proofValidity + silenceBeforeDoubt + joinLimit*2 // until one mints that waits for another's proof to end
)

func (f *quotaFleet) wantMinting(after time.Duration, want ...string) {
	f.t.Helper()
	began, spent := time.Now(), f.spent
	got, since := f.watch(after)
	if !slices.Equal(got, want) {
		f.t.Fatalf("%v mint %v after, want %v", got, after, want)
	}
	f.t.Logf("%v mint after %v; %.0f of %.0f tokens admitted in %v", got, since.Sub(began), f.spent-spent, after.Seconds()*minQuota, after)
}

// Guards against a cut-off instance that goes on to mint beside those that were given its share, and that cannot come back.
func TestCutOffInstanceIsRemovedAndReturns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newQuotaFleet(t, 2)
		defer f.stop()
		f.wantMinting(joinLimit, "front-0", "front-1")
		f.setCut(true, "front-0")
		f.wantMinting(proofValidity/2, "front-0", "front-1")
		f.start()
		f.wantMinting(removedLimit, "front-1", "front-2")
		f.setCut(false, "front-0")
		f.wantMinting(removedLimit, "front-0", "front-1", "front-2")
		if generation, removed := f.instances[0].shares.Generation("front-0"); generation != 1 || removed {
			t.Errorf("front-0 is of generation %d, removed: %v", generation, removed)
		}
	})
}

// Guards against the removal of an instance that only its peers do not hear.
func TestInstanceThatReachesTheStoreIsKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newQuotaFleet(t, 2)
		defer f.stop()
		f.wantMinting(joinLimit, "front-0", "front-1")
		f.store.serveOnly(func(string) bool { return true })
		f.setCut(true, "front-0")
		f.start()
		f.wantMinting(2*removedLimit, "front-0", "front-1")
		f.setCut(false, "front-0")
		f.wantMinting(joinLimit, "front-0", "front-1", "front-2")
	})
}

// Guards against shares beyond the whole, or that nobody mints, after the store has come back from a copy of before a removal.
func TestRemovalSurvivesARestoredStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newQuotaFleet(t, 2)
		defer f.stop()
		f.wantMinting(joinLimit, "front-0", "front-1")
		older := f.store.copy()
		f.instances[0].Kill()
		f.start()
		f.wantMinting(removedLimit, "front-1", "front-2")
		f.store.restore(older)
		f.wantMinting(joinLimit, "front-1", "front-2")
		f.start()
		f.wantMinting(2*removedLimit, "front-1", "front-2", "front-3")
	})
}

// Guards against an outage of the store in which a fleet stops to mint, or loses instances that run.
func TestStoreOutageRemovesNobody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newQuotaFleet(t, 3)
		defer f.stop()
		f.wantMinting(joinLimit, "front-0", "front-1", "front-2")
		f.store.disturb(trouble{calls: faultReset})
		f.wantMinting(proofValidity/2, "front-0", "front-1", "front-2")
		f.store.disturb(trouble{})
		f.wantMinting(joinLimit, "front-0", "front-1", "front-2")
		for _, n := range f.instances {
			if generation, _ := n.shares.Generation(n.settings.ID); generation != 0 {
				t.Errorf("%s was removed", n.settings.ID)
			}
		}
	})
}

// Guards against instances of a large fleet that doubt or remove each other at a start, before they have heard of all.
func TestStartOfALargeFleetRemovesNobody(t *testing.T) {
	t.Parallel() // in virtual time, and takes a processor for long
	synctest.Test(t, func(t *testing.T) {
		const size, writesPerInstance = 60, 3 // it joins, it mints, and its validity changes
		f := newQuotaFleet(t, size)
		defer f.stop()
		if got, _ := f.watch(2 * joinLimit); len(got) != size {
			t.Errorf("%d of %d instances mint", len(got), size)
		}
		for _, n := range f.instances {
			if generation, _ := n.shares.Generation(n.settings.ID); generation != 0 {
				t.Errorf("%s was removed", n.settings.ID)
			}
		}
		if got := f.store.copy().revision; got > size*writesPerInstance+1 {
			t.Errorf("%d writes", got)
		}
	})
}

// Guards against a fleet that is replaced three times over, without a word or in order, and whose new instances never mint, or mint
// beside those that are gone.
func TestReplacedFleetMints(t *testing.T) {
	t.Parallel() // in virtual time, and takes a processor for long
	for name, end := range map[string]func(*Instance){
		"killed": (*Instance).Kill,
		"left":   func(n *Instance) { n.leaveShares(); n.Kill() },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				const size, times = 3, 3
				f := newQuotaFleet(t, size)
				defer f.stop()
				f.wantMinting(joinLimit, "front-0", "front-1", "front-2")
				for range size * times {
					end(f.instances[len(f.instances)-size])
					f.start()
					last := len(f.instances)
					f.wantMinting(removedLimit, fmt.Sprint("front-", last-3), fmt.Sprint("front-", last-2), fmt.Sprint("front-", last-1))
				}
			})
		})
	}
}
