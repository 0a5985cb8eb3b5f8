package routed

import (
	"context"
	"fmt"
	"net/netip"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/grpc"

	"github.com/basilroute/basilroute/coordination/streambuild"
	"github.com/basilroute/basilroute/protocol/peerpb"
)

// Guards against a stream of a new build that goes on at the old one because the instances of a region, which have not heard of the new
// build yet, agree before another region has answered.
func TestRegionThatIsBehindDoesNotGuessTheBuild(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network, all := newBuildNetwork(6)
		network.regionDelay = 40 * time.Millisecond
		seeBuilds(all, "v1")
		time.Sleep(streambuild.StreamLifetime)
		seeBuilds(all, "v1")
		if origin, err := all[0].Find(t.Context(), "first", "svc"); err != nil || origin.Build != "v1" {
			t.Errorf("one build: %v, %v", origin, err)
		}
		seeBuilds(all[2:], "v1", "v2")
		all[2].Begin("first", streambuild.Origin{Service: "svc", Build: "v2"})
		synctest.Wait()
		for i, b := range all {
			if origin, err := b.Find(t.Context(), "first", "svc"); err != nil || origin.Build != "v2" {
				t.Errorf("instance %d: %v, %v", i, origin, err)
			}
		}
	})
}

// outOfStep is a fleet in three regions of two instances each, some of which are cut off.
type outOfStep struct {
	*testFleet
	cut     func(id string) bool // instances that are cut off
	noStore atomic.Bool          // those are cut off from the store
	noPeers atomic.Bool          // and from the other instances
}

// startOutOfStep starts a fleet whose servers were of one build from the start.
func startOutOfStep(t *testing.T, cut func(id string) bool) *outOfStep {
	f := &outOfStep{testFleet: newTestFleet(t, 6), cut: cut}
	f.domains, f.regions = nil, make(map[string]string)
	for _, region := range []string{"east", "west", "south"} {
		f.domains = append(f.domains, region+"-a")
		f.regions[region+"-a"] = region
	}
	f.dial = append(f.dial, grpc.WithUnaryInterceptor(f.intercept))
	f.store.serveOnly(func(id string) bool { return !f.noStore.Load() || !f.cut(id) })
	for i := range 6 {
		n := f.add(wideLink)
		n.builds.history.SetComplete()
		n.members.UpdateSelf(time.Now(), func(m *peerpb.Member) { m.RelayAddress = relayAddress(i).String() })
		n.builds.exchange.Send = func(packet []byte, to netip.AddrPort) { f.send(i, packet, to) }
		n.loops.Go(func() { n.runStoreSync(n.background) })
	}
	f.store.set("servers/old", serverEntryOf("west-a", "v1"))
	time.Sleep(fleetStartTime)
	return f
}

func relayAddress(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 7600)
}

func serverEntryOf(domain, build string) []byte {
	return []byte(strings.Replace(string(testServerEntry(domain)), "1.4.0", build, 1))
}

// lost reports whether nothing gets from one instance to another.
func (f *outOfStep) lost(from, to string) bool { return f.noPeers.Load() && f.cut(from) != f.cut(to) }

// send delivers a datagram about a stream's build.
func (f *outOfStep) send(from int, packet []byte, to netip.AddrPort) {
	for i, n := range f.instances {
		if relayAddress(i) == to && !f.lost(f.instances[from].settings.ID, n.settings.ID) {
			n.builds.exchange.Receive(packet, relayAddress(from), time.Now())
		}
	}
}

// intercept fails exchanges between instances that are cut off from each other.
func (f *outOfStep) intercept(ctx context.Context, method string, req, reply any, conn *grpc.ClientConn, invoke grpc.UnaryInvoker,
	opts ...grpc.CallOption) error {
	if e, ok := req.(*peerpb.ExchangeRequest); ok && f.lost(e.GetFrom(), strings.TrimPrefix(conn.Target(), "passthrough:///")) {
		<-ctx.Done()
		return ctx.Err()
	}
	return invoke(ctx, method, req, reply, conn, opts...)
}

// Guards against a stream that began at a new build, which joined while an instance or its region was cut off, and that goes on at the
// old build where it is taken up, during the cut or at once after it.
func TestCutOffInstanceDoesNotTakeAStreamOfANewBuildForTheOldOne(t *testing.T) {
	t.Parallel()            // in virtual time, and takes a processor for long
	const firstInstance = 1 // of the region west
	for name, cut := range map[string][]string{"an instance": {"front-0"}, "a region": {"front-0", "front-3"}} {
		for from, links := range map[string]struct{ store, peers bool }{
			"from the store": {store: true}, "from the others": {peers: true}, "from both": {store: true, peers: true},
		} {
			for _, duration := range []time.Duration{time.Second, 2 * time.Second, 4 * time.Second, 6 * time.Second, 8 * time.Second} {
				t.Run(fmt.Sprintf("%s %s for %s", name, from, duration), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) {
						f := startOutOfStep(t, func(id string) bool { return slices.Contains(cut, id) })
						defer f.stop()
						f.noStore.Store(links.store)
						f.noPeers.Store(links.peers)
						time.Sleep(100 * time.Millisecond)
						f.store.set("servers/new", serverEntryOf("west-a", "v2"))
						time.Sleep(duration - 200*time.Millisecond)
						for _, id := range []string{"first", "second"} {
							f.instances[firstInstance].builds.Begin(id, streambuild.Origin{Service: "svc", Build: "v2"})
						}
						time.Sleep(100 * time.Millisecond)
						f.wantNotAtTheOldBuild(cut, "first")
						f.noStore.Store(false)
						f.noPeers.Store(false)
						f.wantNotAtTheOldBuild(cut, "second")
					})
				})
			}
		}
	}
}

// wantNotAtTheOldBuild takes a stream up that began at v2, by the request that brought its first event and without naming it.
func (f *outOfStep) wantNotAtTheOldBuild(cut []string, first string) {
	f.t.Helper()
	for _, n := range f.instances {
		if !slices.Contains(cut, n.settings.ID) {
			continue
		}
		for _, id := range []string{first, ""} {
			origin, err := n.builds.Find(f.t.Context(), id, "svc")
			if err == nil && origin.Build != "v2" {
				f.t.Errorf("%s: the stream %q goes on at %s", n.settings.ID, id, origin.Build)
			}
			if err != nil && !errors.Is(err, streambuild.ErrUnknown) && !errors.Is(err, streambuild.ErrNoAnswer) {
				f.t.Errorf("%s: %v", n.settings.ID, err)
			}
		}
	}
}

// Guards against streams of a service with one build that are refused because a region is lost, or cut off while the store answers.
func TestStreamGoesOnWithoutALostRegion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startOutOfStep(t, func(id string) bool { return id == "front-2" || id == "front-5" })
		defer f.stop()
		f.noPeers.Store(true)
		for range 10 {
			for _, n := range f.instances {
				if origin, err := n.builds.Find(t.Context(), "first", "svc"); err != nil || origin.Build != "v1" {
					t.Errorf("%s: %v, %v", n.settings.ID, origin, err)
				}
			}
			time.Sleep(time.Second)
		}
	})
}

// Guards against a stream that is refused although its build serves: it was forwarded to a region with a new build by an instance that had
// not heard of it, did not report it to its keepers, and ended.
func TestForwardedStreamOfANewBuildIsReported(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network, all := newBuildNetwork(6)
		seeBuilds(all, "v1")
		time.Sleep(streambuild.StreamLifetime)
		seeBuilds(all, "v1")
		seeBuilds(all[4:], "v1", "v2")
		all[0].Begin("first", streambuild.Origin{Service: "svc", Build: "v2"})
		delete(network.instances, netip.MustParseAddrPort("10.0.0.0:7600"))
		for i, b := range all[1:] {
			if origin, err := b.Find(t.Context(), "first", "svc"); err != nil || origin.Build != "v2" {
				t.Errorf("instance %d: %v, %v", i+1, origin, err)
			}
		}
	})
}

// Guards against a keeper that holds the record of a stream of a new build and answers about another stream that there is one build.
func TestKeeperOfARecordHasSeenItsBuild(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, all := newBuildNetwork(6)
		seeBuilds(all, "v1")
		time.Sleep(streambuild.StreamLifetime)
		seeBuilds(all, "v1")
		seeBuilds(all[:1], "v1", "v2")
		all[0].Begin("first", streambuild.Origin{Service: "svc", Build: "v2"})
		kept := 0
		for i, b := range all[1:] {
			if _, known := b.records.Find(streambuild.IDOf("first")); !known {
				continue
			}
			kept++
			if a := b.answer(streambuild.IDOf("other"), "svc", time.Now()); a.Builds.Count != 2 {
				t.Errorf("instance %d keeps a record of v2 and counts %d builds", i+1, a.Builds.Count)
			}
		}
		if kept == 0 {
			t.Error("nobody keeps the record")
		}
	})
}
