package placement

import (
	"testing"
	"time"
)

// Guards against prompts that are fetched from a server that leaves, or are named to other regions
// as cached there.
func TestNothingIsFetchedFromALeavingServer(t *testing.T) {
	p := New()
	p.Update(Settings{Engine: true, Slots: 8, CacheTokens: 200_000, FetchSecondsPerToken: 1e-6}, newEntries(2))
	holder := mustPlace(t, p, newPrompt(1, 100), start)
	p.Done(holder, OutcomeServed, start)
	if p.LocalFetchSource(newPrompt(1, 100), start).Address != holder.Server.Address {
		t.Fatal("the server that got the prompt is not its holder")
	}
	p.RecordLeaving(holder)
	if source := p.LocalFetchSource(newPrompt(1, 100), start); source.Address != "" {
		t.Errorf("%s is named as the holder", source.Address)
	}
	choice := p.Place(newPrompt(1, 100), start.Add(time.Second))
	if choice.Placement == nil || choice.Placement.Server.ID == holder.Server.ID || choice.FetchFrom != "" {
		t.Errorf("placed %+v, fetched from %q", choice.Placement, choice.FetchFrom)
	}
}
