package placement

import (
	"testing"

	"github.com/basilroute/basilroute/state/backends"
)

// fetchingEngines are engines that fetch a token in a millionth of a second.
func fetchingEngines(n int) *Pool {
	p := New()
	p.Update(Settings{Engine: true, Slots: 8, CacheTokens: 200_000, FetchSecondsPerToken: 1e-6}, entries(n))
	return p
}

// A region short of room forwards a prompt of which one of its servers holds six thousand
// tokens. Read again in the other region they take its engine's time from all callers
// there; the holder is named, so they are fetched, and only the prompt's own part is read.
func TestForwardedPromptIsFetchedFromItsHolder(t *testing.T) {
	home, far := fetchingEngines(2), fetchingEngines(2)
	first := place(t, home, prompt(7, 100), start)
	home.RecordFirstByte(first, start)
	w := prompt(7, 200)
	w.Segments[1].ID++
	w.RemoteSource = home.LocalFetchSource(w, start)
	if w.RemoteSource.Address != first.Server.Address || w.RemoteSource.Tokens != 6000 {
		t.Fatalf("holder %+v, want %s with 6000 tokens", w.RemoteSource, first.Server.Address)
	}
	c := far.Place(w, start)
	if c.FetchFrom != w.RemoteSource.Address || c.Placement.tokens > 200 {
		t.Errorf("fetches from %q and reads %v tokens", c.FetchFrom, c.Placement.tokens)
	}
}

// Callers of a region send a prompt whose shared parts were read in another region only.
// Both regions name the same server there for the parts, so it is asked; as long as nobody
// knows that it holds them, the choice counts on reading them.
func TestSharedPartsAreAskedForAtTheirHomeFarAway(t *testing.T) {
	here, there := fetchingEngines(2), New()
	var servers []backends.Entry
	for _, id := range []string{"f0", "f1", "f2"} {
		servers = append(servers, backends.Entry{Server: backends.Server{ID: id, Address: "far-" + id, Slots: 8}, Incarnation: 1})
	}
	there.Update(Settings{Engine: true, Slots: 8, CacheTokens: 200_000}, servers)
	here.UpdateRemote("there", servers)
	for subject := range uint64(20) {
		w := prompt(subject, 100)
		read := place(t, there, prompt(subject, 100), start)
		there.Done(read, OutcomeCancelled, start)
		w.RemoteSource = here.RemoteFetchSource(w, "there")
		c := here.Place(w, start)
		if c.Placement == nil {
			t.Fatalf("subject %d: refused: %s", subject, c.Reason)
		}
		if c.FetchFrom != read.Server.Address {
			t.Errorf("subject %d: asks %q, read at %s", subject, c.FetchFrom, read.Server.Address)
		}
		if c.Placement.tokens < 6000 {
			t.Errorf("subject %d: counts on %v tokens to be read", subject, c.Placement.tokens)
		}
		here.Done(c.Placement, OutcomeCancelled, start)
	}
	if got := here.RemoteFetchSource(&Request{Segments: []PromptSegment{{1, 100}, {2, 50}}}, "there"); got.Address != "" {
		t.Errorf("asks %q for parts that are read faster", got.Address)
	}
}
