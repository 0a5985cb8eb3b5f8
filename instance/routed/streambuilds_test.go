package routed

import (
	"fmt"
	"log/slog"
	"net/netip"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/basilroute/basilroute/coordination/streambuild"
	"github.com/basilroute/basilroute/state/backends"
)

// buildNetwork connects the stream builds of instances, by address.
type buildNetwork struct {
	instances map[netip.AddrPort]*streamBuilds
	lost      func(from, to netip.AddrPort) bool
	// regionDelay is how long a datagram to another region takes.
	regionDelay time.Duration
}

// newBuildNetwork returns instances that have watched a service with one build for long enough, two in each region.
func newBuildNetwork(count int) (*buildNetwork, []*streamBuilds) {
	network := &buildNetwork{instances: make(map[netip.AddrPort]*streamBuilds), lost: func(_, _ netip.AddrPort) bool { return false }}
	var all []*streamBuilds
	var members []streambuild.Member
	for i := range count {
		settings := DefaultSettings()
		settings.Region = fmt.Sprint("region-", i/2)
		b := newStreamBuilds(&settings, time.Now())
		b.hasPeers, b.starting = func() bool { return true }, func() bool { return false }
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 7600)
		b.exchange.Send = func(packet []byte, to netip.AddrPort) {
			receiver := network.instances[to]
			if receiver == nil || network.lost(address, to) {
				return
			}
			if network.regionDelay == 0 || to.Addr().As4()[3]/2 == byte(i/2) {
				receiver.exchange.Receive(packet, address, time.Now())
				return
			}
			time.AfterFunc(network.regionDelay, func() { receiver.exchange.Receive(packet, address, time.Now()) })
		}
		network.instances[address] = b
		all = append(all, b)
		members = append(members, streambuild.Member{ID: fmt.Sprint("front-", i), Region: settings.Region, Address: address})
	}
	for i, b := range all {
		others := append(append([]streambuild.Member{}, members[:i]...), members[i+1:]...)
		b.members.Store(streambuild.NewMembers(members[i].Region, others))
	}
	return network, all
}

func seeBuilds(all []*streamBuilds, builds ...string) {
	var servers []backends.Server
	for _, build := range builds {
		servers = append(servers, backends.Server{Service: "svc", Version: build})
	}
	for _, b := range all {
		b.recordServers(servers, time.Now())
	}
}

// Guards against running streams whose build nobody knows when a second build appears and their instance ends.
func TestRunningStreamsAreReportedWhenASecondBuildAppears(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network, all := newBuildNetwork(6)
		seeBuilds(all, "v1")
		time.Sleep(streambuild.StreamLifetime)
		seeBuilds(all, "v1")
		all[0].Begin("running", streambuild.Origin{Service: "svc", Build: "v1"})
		all[0].Begin("complete", streambuild.Origin{Service: "svc", Build: "v1"})
		all[0].End("complete")
		for _, b := range all[1:] {
			if n := b.records.Len(); n != 0 {
				t.Errorf("%d records were sent while the service had one build", n)
			}
		}
		seeBuilds(all, "v1", "v2")
		delete(network.instances, netip.MustParseAddrPort("10.0.0.0:7600"))
		for i, b := range all[1:] {
			if origin, err := b.Find(t.Context(), "running", "svc"); err != nil || origin.Build != "v1" {
				t.Errorf("instance %d: %v, %v", i+1, origin, err)
			}
			if _, err := b.Find(t.Context(), "complete", "svc"); !errors.Is(err, streambuild.ErrUnknown) {
				t.Errorf("instance %d on a stream that nobody knows: %v", i+1, err)
			}
		}
	})
}

// Guards against an instance that has not seen the second build and lets a stream go on at the first: one that is cut
// from the others has no answer, and one that is cut from the store alone learns from the others.
func TestCutOffInstanceDoesNotGuessTheBuild(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network, all := newBuildNetwork(6)
		seeBuilds(all, "v1")
		time.Sleep(streambuild.StreamLifetime)
		seeBuilds(all, "v1")
		if origin, err := all[5].Find(t.Context(), "first", "svc"); err != nil || origin.Build != "v1" {
			t.Errorf("one build: %v, %v", origin, err)
		}
		seeBuilds(all[:5], "v1", "v2")
		all[0].Begin("first", streambuild.Origin{Service: "svc", Build: "v2"})
		if origin, err := all[5].Find(t.Context(), "first", "svc"); err != nil || origin.Build != "v2" {
			t.Errorf("cut from the store: %v, %v", origin, err)
		}
		if _, err := all[5].Find(t.Context(), "unknown", "svc"); !errors.Is(err, streambuild.ErrUnknown) {
			t.Errorf("cut from the store, unknown stream: %v", err)
		}
		isolated := netip.MustParseAddrPort("10.0.0.5:7600")
		network.lost = func(from, to netip.AddrPort) bool { return from == isolated || to == isolated }
		if _, err := all[5].Find(t.Context(), "second", "svc"); !errors.Is(err, streambuild.ErrNoAnswer) {
			t.Errorf("cut off: %v", err)
		}
	})
}

// Guards against streams that are refused, where all servers have one build, because an instance that has started lately cannot
// rule out another one: at that instance and at those that ask it.
func TestStreamGoesOnBesideInstancesThatHaveJustStarted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, all := newBuildNetwork(6)
		seeBuilds(all, "v1")
		time.Sleep(streambuild.StreamLifetime)
		for i, b := range all {
			if i < 4 {
				b.history = streambuild.NewHistory(time.Now())
			}
		}
		seeBuilds(all, "v1")
		for i, b := range all {
			if origin, err := b.Find(t.Context(), "", "svc"); err != nil || origin.Build != "v1" {
				t.Errorf("instance %d: %v, %v", i, origin, err)
			}
		}
		for _, b := range all {
			b.history = streambuild.NewHistory(time.Now())
		}
		seeBuilds(all, "v1")
		if _, err := all[0].Find(t.Context(), "", "svc"); !errors.Is(err, streambuild.ErrUnknown) {
			t.Errorf("after all have started: %v", err)
		}
	})
}

// Guards against a question that is lost with one datagram.
func TestLostQuestionIsAskedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network, all := newBuildNetwork(4)
		seeBuilds(all, "v1", "v2")
		all[0].Begin("first", streambuild.Origin{Service: "svc", Build: "v2"})
		dropped := make(map[netip.AddrPort]bool)
		network.lost = func(_, to netip.AddrPort) bool {
			first := !dropped[to]
			dropped[to] = true
			return first
		}
		for _, b := range all {
			if origin, err := b.Find(t.Context(), "first", "svc"); err != nil || origin.Build != "v2" {
				t.Errorf("%v, %v", origin, err)
			}
		}
	})
}

// Guards against a stream whose build nobody knows any more, and that goes on at another one once its caller has waited for as long as
// it was told, or for longer and again and again.
func TestStreamOfUnknownBuildStaysRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, all := newBuildNetwork(6)
		seeBuilds(all, "v1")
		all[0].Begin("first", streambuild.Origin{Service: "svc", Build: "v1"})
		for _, b := range all {
			b.history, b.records = streambuild.NewHistory(time.Now()), streambuild.NewRecords(time.Now())
		}
		ended := time.Now()
		for n := 0; time.Since(ended) < 3*streambuild.StreamLifetime; n++ {
			seeBuilds(all, "v2")
			if origin, err := all[n%len(all)].Find(t.Context(), "first", "svc"); !errors.Is(err, streambuild.ErrUnknown) {
				t.Fatalf("after %s: %v, %v", time.Since(ended), origin, err)
			}
			time.Sleep(time.Minute + time.Second)
		}
		if origin, err := all[0].Find(t.Context(), "later", "svc"); err != nil || origin.Build != "v2" {
			t.Errorf("a stream of the new build: %v, %v", origin, err)
		}
	})
}

// Guards against a stream that goes on at another build because all instances of a region, cut off from the store and from those that
// have seen the new build, agree on the old one.
func TestRegionThatIsCutOffDoesNotGuessTheBuild(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network, all := newBuildNetwork(6)
		seeBuilds(all, "v1")
		time.Sleep(streambuild.StreamLifetime)
		seeBuilds(all, "v1")
		cut := map[netip.AddrPort]bool{netip.MustParseAddrPort("10.0.0.4:7600"): true, netip.MustParseAddrPort("10.0.0.5:7600"): true}
		var connected atomic.Bool
		network.lost = func(from, to netip.AddrPort) bool { return cut[from] != cut[to] && !connected.Load() }
		for _, b := range all[4:] {
			b.current = func() bool { return false }
		}
		seeBuilds(all[:4], "v1", "v2")
		all[0].Begin("first", streambuild.Origin{Service: "svc", Build: "v2"})
		if origin, err := all[4].Find(t.Context(), "first", "svc"); !errors.Is(err, streambuild.ErrNoAnswer) {
			t.Errorf("cut off with its region: %v, %v", origin, err)
		}
		connected.Store(true)
		if origin, err := all[4].Find(t.Context(), "first", "svc"); err != nil || origin.Build != "v2" {
			t.Errorf("once the regions are connected: %v, %v", origin, err)
		}
	})
}

// Guards against streams that are refused because nobody reads the store while it is away.
func TestStreamGoesOnWhileTheStoreIsAway(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, all := newBuildNetwork(6)
		seeBuilds(all, "v1")
		time.Sleep(streambuild.StreamLifetime)
		seeBuilds(all, "v1")
		for _, b := range all {
			b.current = func() bool { return false }
		}
		if origin, err := all[4].Find(t.Context(), "first", "svc"); err != nil || origin.Build != "v1" {
			t.Errorf("%v, %v", origin, err)
		}
	})
}

// Guards against records of streams that are kept in one region only, and lost with it, because an instance uses the members of which
// it hears in an exchange that another one began with its own next exchange only.
func TestInstanceThatAnswersAnExchangeKnowsKeepersAtOnce(t *testing.T) {
	instances := make([]*Instance, 2)
	for i, region := range []string{"viti-levu", "vanua-levu"} {
		settings := DefaultSettings()
		settings.ID, settings.Region, settings.Domain = fmt.Sprint("front-", i), region, region+"-a"
		settings.Listen.Relay = fmt.Sprintf("10.0.0.%d:7600", i)
		instances[i] = newInstance(settings, testSource{client: &memoryClient{store: newMemoryStore()}}, nil, slog.New(slog.DiscardHandler))
	}
	asked, asking := instances[0], instances[1]
	asked.Exchange(asking.members.Request(nil))
	if keepers := asked.builds.members.Load().Keepers(1); len(keepers) != 1 || keepers[0].ID != asking.settings.ID {
		t.Errorf("keepers %v, want %s", keepers, asking.settings.ID)
	}
}
