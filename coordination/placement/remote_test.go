package placement

import (
	"testing"

	"github.com/basilroute/basilroute/state/backends"
)

// newFetchingPool returns a pool of engines that fetch a token in a microsecond.
func newFetchingPool(n int) *Pool {
	p := New()
	p.Update(Settings{Engine: true, Slots: 8, CacheTokens: 200_000, FetchSecondsPerToken: 1e-6}, newEntries(n))
	return p
}

// A region short of free slots forwards a prompt of which one of its servers has six thousand
// tokens cached. Recomputed in the remote region they would take its engine's time from all
// callers there; since the cache holder is named, they are fetched, and only the prompt's own
// segment is computed.
func TestForwardedPromptIsFetchedFromItsHolder(t *testing.T) {
	local, remote := newFetchingPool(2), newFetchingPool(2)
	first := mustPlace(t, local, newPrompt(7, 100), start)
	local.RecordFirstByte(first, start)
	r := newPrompt(7, 200)
	r.Segments[1].ID++
	r.RemoteSource = local.LocalFetchSource(r, start)
	if r.RemoteSource.Address != first.Server.Address || r.RemoteSource.Tokens != 6000 {
		t.Fatalf("fetch source %+v, want %s with 6000 tokens", r.RemoteSource, first.Server.Address)
	}
	c := remote.Place(r, start)
	if c.FetchFrom != r.RemoteSource.Address || c.Placement.prefillTokens > 200 {
		t.Errorf("fetches from %q and computes %v tokens", c.FetchFrom, c.Placement.prefillTokens)
	}
}

// A prompt arrives whose shared segments are cached in another region only. Both regions agree
// on the preferred server in that region for the segments, so they are fetched from it; as long
// as it is not known to have them cached, the choice counts them as tokens to be computed.
func TestSharedSegmentsAreFetchedFromThePreferredRemoteServer(t *testing.T) {
	local, remote := newFetchingPool(2), New()
	var servers []backends.Entry
	for _, id := range []string{"f0", "f1", "f2"} {
		servers = append(servers, backends.Entry{Server: backends.Server{ID: id, Address: "far-" + id, Slots: 8}, Incarnation: 1})
	}
	remote.Update(Settings{Engine: true, Slots: 8, CacheTokens: 200_000}, servers)
	local.UpdateRemote("there", servers)
	for subject := range uint64(20) {
		r := newPrompt(subject, 100)
		read := mustPlace(t, remote, newPrompt(subject, 100), start)
		remote.Done(read, OutcomeCancelled, start)
		r.RemoteSource = local.RemoteFetchSource(r, "there")
		c := local.Place(r, start)
		if c.Placement == nil {
			t.Fatalf("subject %d: refused: %s", subject, c.Reason)
		}
		if c.FetchFrom != read.Server.Address {
			t.Errorf("subject %d: fetches from %q, computed at %s", subject, c.FetchFrom, read.Server.Address)
		}
		if c.Placement.prefillTokens < 6000 {
			t.Errorf("subject %d: expects to compute %v tokens", subject, c.Placement.prefillTokens)
		}
		local.Done(c.Placement, OutcomeCancelled, start)
	}
	if got := local.RemoteFetchSource(&Request{Segments: []PromptSegment{{1, 100}, {2, 50}}}, "there"); got.Address != "" {
		t.Errorf("fetches from %q segments that are faster to compute", got.Address)
	}
}
