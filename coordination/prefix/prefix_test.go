package prefix

import (
	"testing"

	"pgregory.net/rapid"

	"github.com/basilroute/basilroute/protocol/tokens"
)

func matched(x *Index, slot int, homeRegion string, blocks ...tokens.Block) int {
	var m Matches
	x.Match(blocks, homeRegion, &m)
	return m.CachedBlocks(slot)
}

// The server evicts blocks, and the events about it are lost. Requests for the evicted prefix
// must not be sent to that server any longer: the gap drops the oldest blocks, which the lost
// events may have concerned.
func TestGapDropsOldestBlocks(t *testing.T) {
	x := New("suva-a")
	x.SetBootID(0, "boot")
	x.Apply(0, []Event{{Seq: 1, Block: 1}, {Seq: 2, Block: 2}, {Seq: 3, Block: 30}, {Seq: 4, Block: 31}})
	if got := matched(x, 0, "", 1, 2); got != 2 {
		t.Fatalf("%d of 2 blocks known", got)
	}
	x.Apply(0, []Event{{Seq: 6, Block: 40}})
	if got := matched(x, 0, "", 1, 2); got != 0 {
		t.Errorf("%d blocks believed cached after a lost event", got)
	}
	if got := matched(x, 0, "", 30, 31); got != 2 {
		t.Errorf("%d of 2 blocks known that one lost event cannot concern", got)
	}
}

// A server restarts with an empty cache and numbers its events from one again.
func TestRestartEmptiesTheIndex(t *testing.T) {
	x := New("suva-a")
	x.SetBootID(0, "first")
	x.RecordDispatch(0, "", []tokens.Block{1, 2})
	x.Apply(0, []Event{{Seq: 1, Block: 1}, {Seq: 9, Block: 5}})
	x.SetBootID(0, "second")
	if got := matched(x, 0, "", 1, 2); got != 0 || x.LastSeq(0) != 0 {
		t.Errorf("%d blocks believed cached, last event %d", got, x.LastSeq(0))
	}
}

// Whatever was dispatched and reported, an account whose data must stay in another region
// finds no match in the index and adds nothing to it. For other accounts a match never
// contains a block that was neither dispatched to the server nor reported by it.
func TestIndexStaysInItsRegion(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		x := New("suva-a")
		recorded := make(map[int]map[tokens.Block]bool)
		note := func(slot int, blocks ...tokens.Block) {
			if recorded[slot] == nil {
				recorded[slot] = make(map[tokens.Block]bool)
			}
			for _, b := range blocks {
				recorded[slot][b] = true
			}
		}
		draw := func() []tokens.Block {
			var blocks []tokens.Block
			for _, b := range rapid.SliceOfN(rapid.IntRange(1, 6), 0, 6).Draw(t, "blocks") {
				blocks = append(blocks, tokens.Block(b))
			}
			return blocks
		}
		for range rapid.IntRange(0, 30).Draw(t, "steps") {
			slot := rapid.SampledFrom([]int{0, 1, 63, 64, MaxServers - 1, MaxServers, -1}).Draw(t, "slot")
			homeRegion := rapid.SampledFrom([]string{"", "suva-a", "labasa-a"}).Draw(t, "home")
			blocks := draw()
			if rapid.Bool().Draw(t, "event") {
				var events []Event
				seq := x.LastSeq(slot)
				for _, b := range blocks {
					seq += int64(rapid.IntRange(1, 3).Draw(t, "gap"))
					e := Event{Seq: seq, Block: b, Evicted: rapid.Bool().Draw(t, "evicted")}
					events = append(events, e)
					if !e.Evicted {
						note(slot, b)
					}
				}
				x.Apply(slot, events)
				continue
			}
			x.RecordDispatch(slot, homeRegion, blocks)
			if homeRegion != "labasa-a" {
				note(slot, blocks...)
			}
		}
		asked := draw()
		var m Matches
		x.Match(asked, "labasa-a", &m)
		if m != (Matches{}) {
			t.Fatal("matches for an account of another region")
		}
		x.Match(asked, "", &m)
		for slot := range MaxServers {
			for _, b := range asked[:m.CachedBlocks(slot)] {
				if !recorded[slot][b] {
					t.Fatalf("slot %d: block %d was neither dispatched nor reported", slot, b)
				}
			}
		}
	})
}
