package placement

import (
	"testing"
	"time"

	"github.com/basilroute/basilroute/state/backends"
)

// Another instance tells its load again and again, restarts a server meanwhile, and falls
// silent. Each word replaces the one before; counted twice, its servers would look full and
// their callers be refused. A silent instance counts nothing after some tenths of a second.
func TestWordsOfOthersReplaceEachOther(t *testing.T) {
	p := engines(2)
	now := start
	tell := func(server *server, pending, inFlight int) {
		p.ApplyReport("peer", &LoadReport{Servers: []ServerLoad{{Server: uint32(server.hash), PendingTokens: pending, InFlight: inFlight}}}, now)
	}
	for range 5 {
		now = now.Add(60 * time.Millisecond)
		tell(p.servers[0], 4000, 3)
	}
	if got := p.running(p.servers[0], now); got != 3 {
		t.Errorf("%v requests after five words of 3", got)
	}
	tell(p.servers[1], 1000, 2)
	if a, b := p.running(p.servers[0], now), p.running(p.servers[1], now); a != 0 || b != 2 {
		t.Errorf("%v and %v requests after a word of the other server only", a, b)
	}
	reborn := append([]backends.Entry(nil), entries(2)...)
	reborn[1].Incarnation = 2
	p.Update(p.settings, reborn)
	tell(p.servers[1], 1000, 1)
	if got := p.running(p.servers[1], now); got != 1 {
		t.Errorf("%v requests at a server that was born again, want 1", got)
	}
	now = now.Add(peerFresh + time.Millisecond)
	if running, _ := p.Occupancy(now); running != 0 {
		t.Errorf("%v requests of an instance that fell silent", running)
	}
}
