package routed

import (
	"context"
	"fmt"
	"path"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"google.golang.org/grpc"

	"github.com/basilroute/basilroute/coordination/coldowner"
	"github.com/basilroute/basilroute/protocol/peerpb"
)

func membersInTouch(ids ...string) (out []coldowner.Member) {
	for _, id := range ids {
		out = append(out, coldowner.Member{ID: id, Reachable: true, Confirmed: true})
	}
	return out
}

// Guards against a restarted region whose instances all send to the same cold server and
// crash it.
func TestStartingInstanceOwnsNoColdServer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := &Instance{settings: Settings{ID: "front-1"}, started: time.Now()}
		n.coldOwners.Store(coldowner.NewView(membersInTouch("front-1")))
		if n.coldShare("s1") > 0 {
			t.Error("owns a cold server before it knows of any other instance")
		}
		time.Sleep(startupPeriod)
		if n.coldShare("s1") != 1 {
			t.Error("owns no cold server although it is alone")
		}
		owners := 0
		for _, id := range []string{"front-1", "front-2", "front-3"} {
			n := &Instance{settings: Settings{ID: id}, started: time.Now().Add(-startupPeriod)}
			n.coldOwners.Store(coldowner.NewView(membersInTouch("front-1", "front-2", "front-3")))
			if n.coldShare("s1") > 0 {
				owners++
			}
		}
		if owners != 1 {
			t.Errorf("%d owners, want 1", owners)
		}
	})
}

// coldServers are enough that each instance of a small region owns some.
const coldServers = 24

// watchColdOwners checks at each step of a time that no cold server has two owners, and returns for
// how long the server that was longest without one had none.
func (f *testFleet) watchColdOwners(d time.Duration) (longestUnowned time.Duration) {
	const step = 5 * time.Millisecond
	unowned := make(map[string]time.Duration)
	for range d / step {
		time.Sleep(step)
		for s := range coldServers {
			server := fmt.Sprint("s", s)
			var owners []string
			for _, n := range f.instances {
				if n.coldShare(server) > 0 {
					owners = append(owners, n.settings.ID)
				}
			}
			if len(owners) > 1 {
				f.t.Fatalf("%s has the owners %v", server, owners)
			}
			unowned[server] += step
			if len(owners) == 1 {
				unowned[server] = 0
			}
			longestUnowned = max(longestUnowned, unowned[server])
		}
	}
	return longestUnowned
}

// Guards against an instance that goes on sending to its cold servers while another one has learnt
// that it leaves and sends to them too.
func TestLeavingInstanceHandsOverItsColdServers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startTestFleet(t, wideLink, wideLink, wideLink)
		defer f.stop()
		for _, n := range f.instances[:2] {
			go func() { _ = n.Stop(t.Context()) }()
			if unowned := f.watchColdOwners(2 * time.Second); unowned > 500*time.Millisecond {
				t.Errorf("a server had no owner for %s", unowned)
			}
		}
	})
}

// Guards against a region in which all instances leave and each of them, or none, sends to the cold
// servers.
func TestColdServersHaveOneOwnerWhileAllInstancesLeave(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startTestFleet(t, wideLink, wideLink, wideLink)
		defer f.stop()
		const gap = time.Second
		for _, n := range f.instances {
			go func() { _ = n.Stop(t.Context()) }()
			if unowned := f.watchColdOwners(gap); unowned > gap/2 {
				t.Errorf("a server had no owner for %s", unowned)
			}
		}
		last := f.instances[2]
		serves := time.Duration(serveFraction*float64(last.settings.Bounds.Grace)) - gap
		if unowned := f.watchColdOwners(serves); unowned > gap/2 {
			t.Errorf("a server had no owner for %s while an instance served", unowned)
		}
		time.Sleep(gap)
		if last.coldShare("s1") > 0 {
			t.Error("an instance that serves no more owns a cold server")
		}
	})
}

// cutFleet lets exchanges between instances of different groups get lost.
type cutFleet struct {
	mu    sync.Mutex
	group map[string]int // by id
}

func (c *cutFleet) set(group map[string]int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.group = group
}

func (c *cutFleet) separates(a, b string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.group[a] != c.group[b]
}

func (c *cutFleet) intercept(ctx context.Context, method string, req, reply any, cc *grpc.ClientConn, invoke grpc.UnaryInvoker, options ...grpc.CallOption) error {
	exchange, ok := req.(*peerpb.ExchangeRequest)
	if ok && c.separates(exchange.GetFrom(), path.Base(cc.Target())) {
		<-ctx.Done()
		return ctx.Err()
	}
	return invoke(ctx, method, req, reply, cc, options...)
}

// watchColdShares checks at each step of a time that the shares of a cold server's rate do not add up
// to more than the rate, and returns the lowest sum at the end.
func (f *testFleet) watchColdShares(d time.Duration) (sum float64) {
	const step, rounding = 5 * time.Millisecond, 1e-9
	for range d / step {
		time.Sleep(step)
		sum = 1
		for s := range coldServers {
			used := 0.0
			for _, n := range f.instances {
				used += n.coldShare(fmt.Sprint("s", s))
			}
			if used > 1+rounding {
				f.t.Fatalf("s%d is sent %.2f times its rate", s, used)
			}
			sum = min(sum, used)
		}
	}
	return sum
}

// Guards against a cold server that gets its whole rate from each part of a region that is cut, and
// against one that gets little although all instances are in touch.
func TestPartsOfACutRegionShareTheRateOfAColdServer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cut := &cutFleet{}
		f := newTestFleet(t, 3)
		f.dial = append(f.dial, grpc.WithUnaryInterceptor(cut.intercept))
		defer f.stop()
		for range 3 {
			n := f.add(wideLink)
			n.loops.Go(func() { n.runStoreSync(n.background) })
		}
		time.Sleep(fleetStartTime)
		for _, group := range []map[string]int{{"front-2": 1}, {"front-1": 1, "front-2": 2}, {"front-0": 1}, nil} {
			cut.set(group)
			if sum := f.watchColdShares(12 * time.Second); sum < 0.99 {
				t.Errorf("with the groups %v, a server gets %.2f of its rate", group, sum)
			}
		}
	})
}
