package routed

import (
	"fmt"
	"log/slog"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/basilroute/basilroute/protocol/peerpb"
)

const (
	narrowLink = 10e6 / 8 // bytes per second
	// inForceLimit is how long an accepted configuration may take to be in force on every
	// instance.
	inForceLimit = 5 * time.Second
)

// manyRoutes returns a configuration of a given version as operators write it: names
// differ, the rest repeats.
func manyRoutes(version int64, count int) []byte {
	rng := rand.New(rand.NewPCG(1, uint64(version)))
	var out strings.Builder
	fmt.Fprintf(&out, "%d\n", version)
	for range count {
		fmt.Fprintf(&out, `{"name":"r-%x","host":"desk.example","path":"/%x/","kind":"streaming","timeout_ms":15000,`+
			`"target_latency_ms":600,"priority":0,"service":"notices","max_attempts":1,"public":false,"sticky":true,`+
			`"resumable":false,"gap_target_ms":300,"home_regions":["east","west"]},`, rng.Uint32(), rng.Uint64())
	}
	return []byte(out.String())
}

// incompressibleConfig returns a configuration of a given version in which nothing repeats.
func incompressibleConfig(version int64, size int) []byte {
	rng := rand.New(rand.NewPCG(2, uint64(version)))
	out := fmt.Appendf(nil, "%d\n", version)
	for len(out) < size {
		out = append(out, byte(rng.Uint32()))
	}
	return out
}

// Guards against a large configuration that never reaches instances with narrow links.
func TestLargeConfigurationIsInForceBehindNarrowLinks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const instances, routeCount = 11, 2800
		f := startTestFleet(t, slices.Repeat([]float64{narrowLink}, instances)...)
		defer f.stop()
		f.store.serveOnly(func(id string) bool { return id == "front-3" })
		before := f.sent()
		for version := int64(2); version <= 3; version++ {
			f.store.set("config/current", manyRoutes(version, routeCount))
			time.Sleep(inForceLimit)
			f.wantVersion(version)
		}
		t.Logf("%d bytes sent for two versions of %d", f.sent()-before, len(manyRoutes(2, routeCount)))
	})
}

// Guards against a large configuration that compression does not shrink and whose transfer
// takes longer than followIdleTimeout.
func TestIncompressibleConfigurationGetsThroughNarrowLinks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const instances, size = 11, 400 << 10
		f := startTestFleet(t, slices.Repeat([]float64{narrowLink}, instances)...)
		defer f.stop()
		f.store.serveOnly(func(id string) bool { return id == "front-3" })
		time.Sleep(fleetStartTime) // until all know who watches the store
		f.store.set("config/current", incompressibleConfig(2, size))
		time.Sleep(inForceLimit)
		f.wantVersion(2)
	})
}

// Guards against an instance that follows no watcher and never gets what is too large for
// an exchange.
func TestInstanceCatchesUpOnWhatAnExchangeNames(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(t, 2)
		defer f.stop()
		first := f.add(narrowLink)
		first.loops.Go(func() { first.runStoreSync(first.background) })
		f.add(narrowLink)
		time.Sleep(fleetStartTime)
		f.wantVersion(1)
		f.store.set("config/current", manyRoutes(2, 2800))
		time.Sleep(inForceLimit)
		f.wantVersion(2)
	})
}

// recordingStream is a stream that records what is sent; if held is set, each send waits
// for it.
type recordingStream struct {
	grpc.ServerStreamingServer[peerpb.FollowUpdate]
	sent []*peerpb.FollowUpdate
	held chan struct{}
}

func (s *recordingStream) Send(u *peerpb.FollowUpdate) error {
	if s.held != nil {
		<-s.held
	}
	s.sent = append(s.sent, u)
	return nil
}

func largeViews() []*peerpb.StoreView {
	return []*peerpb.StoreView{{Prefix: "config/", Revision: 2, After: 1, Items: []*peerpb.Document{
		{Key: "config/current", Revision: 2, Value: incompressibleConfig(2, 100<<10)},
	}}}
}

// Guards against a peer of an earlier version that mistakes an update in chunks for one
// without items.
func TestPeerThatTakesNoPartsGetsWholeUpdates(t *testing.T) {
	n := newInstance(DefaultSettings(), testSource{client: &memoryClient{store: newMemoryStore()}}, nil, slog.New(slog.DiscardHandler))
	views := largeViews()
	for parts, want := range map[bool]int{false: len(views[0].GetItems()), true: 0} {
		var stream recordingStream
		if err := n.sendUpdate(&stream, views, parts); err != nil {
			t.Fatal(err)
		}
		items := 0
		for _, u := range stream.sent {
			for _, view := range u.GetViews() {
				items += len(view.GetItems())
			}
		}
		if items != want || parts != (len(stream.sent) > 1) {
			t.Errorf("parts %v: %d messages with %d items outside parts, want %d", parts, len(stream.sent), items, want)
		}
	}
}

// Guards against a whole fleet that catches up from one instance at once and saturates its
// link.
func TestFewCatchUpFromOneInstance(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newInstance(DefaultSettings(), testSource{client: &memoryClient{store: newMemoryStore()}}, nil, slog.New(slog.DiscardHandler))
		held := make(chan struct{})
		for range maxCatchUpsServed {
			go func() { _ = n.Follow(&peerpb.FollowRequest{Once: true}, &recordingStream{held: held}) }()
		}
		synctest.Wait()
		if err := n.Follow(&peerpb.FollowRequest{Once: true}, &recordingStream{}); status.Code(err) != codes.ResourceExhausted {
			t.Errorf("one too many: %v", err)
		}
		close(held)
		synctest.Wait()
		if err := n.Follow(&peerpb.FollowRequest{Once: true}, &recordingStream{}); err != nil {
			t.Errorf("after the others: %v", err)
		}
	})
}
