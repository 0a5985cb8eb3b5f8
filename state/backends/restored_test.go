package backends

import (
	"testing"
	"time"
)

// Guards against an earlier report of a server that replaces a later one: a leaving server gets
// requests again, and a warm one counts as cold.
func TestEarlierReportIsIgnored(t *testing.T) {
	table := New()
	first, last := server("s"), server("s")
	first.Seq, first.ColdRemaining = 1, 3*time.Second
	last.Seq, last.Draining = 33, true
	table.Put(first, start)
	table.Put(last, start.Add(time.Minute))
	table.Put(first, start.Add(time.Minute))
	if got := usable(table, start.Add(time.Minute)); len(got) != 0 {
		t.Errorf("usable after an earlier report: %v", got)
	}
	warm := server("w")
	warm.Seq = 4
	table.Put(warm, start)
	warm.Seq, warm.ColdRemaining = 1, 3*time.Second
	table.Put(warm, start.Add(time.Minute))
	if e := usable(table, start.Add(time.Minute))["w"]; e.ID == "" || e.ColdUntil.After(start) {
		t.Errorf("a warm server after an earlier report: %+v", e)
	}
	again := first
	again.StartUnixMs, again.ColdRemaining = last.StartUnixMs+1, 0
	table.Put(again, start.Add(2*time.Minute))
	if got := usable(table, start.Add(2*time.Minute)); got["s"].ID == "" {
		t.Error("the next incarnation begins its count anew and is ignored")
	}
}

// Guards against a live server that is dropped because a restored store lacks its entry, by an
// instance that never noticed that the store was away.
func TestEntryThatARestoredStoreLacksIsKept(t *testing.T) {
	table := New()
	table.Put(server("lives"), start)
	table.Put(server("gone"), start)
	table.RecordStoreRestored(start)
	table.Remove("lives", start)
	table.Remove("gone", start)
	if got := usable(table, start); len(got) != 2 {
		t.Errorf("right after the restore: %v", got)
	}
	table.Put(server("lives"), start.Add(time.Second))
	table.Sweep(start.Add(ReturnGrace))
	if got := usable(table, start.Add(ReturnGrace)); len(got) != 1 || got["lives"].ID == "" {
		t.Errorf("after the grace: %v", got)
	}
}

// Guards against requests to a server that has ended or leaves without notice, whose entry a restored
// store shows once more.
func TestRemovedEntryThatComesBackWithARestoredStoreIsHeld(t *testing.T) {
	table := New()
	table.Put(server("gone"), start)
	table.Remove("gone", start)
	restored := start.Add(time.Second)
	table.RecordStoreRestored(restored)
	table.Put(server("gone"), restored)
	table.Put(server("new"), restored)
	if got := usable(table, restored); len(got) != 1 || got["new"].ID == "" {
		t.Errorf("right after the restore: %v", got)
	}
	table.Put(server("gone"), restored)
	if got := usable(table, restored); len(got) != 1 {
		t.Errorf("after a second report: %v", got)
	}
	before := table.RegionVersion("viti-levu")
	lives := restored.Add(restoredEntryHold)
	table.Sweep(lives)
	if got := usable(table, lives); len(got) != 2 || table.RegionVersion("viti-levu") == before {
		t.Errorf("an entry that the store keeps is not used: %v", got)
	}
	table.Remove("gone", lives.Add(time.Minute))
	table.Put(server("gone"), lives.Add(2*time.Minute))
	if got := usable(table, lives.Add(2*time.Minute)); len(got) != 2 {
		t.Errorf("an entry that comes back long after a restore is held: %v", got)
	}
}

// Guards against a live server that is held back after a restore because its entry had been missing
// some time before it.
func TestEntryThatCameBackBeforeARestoreIsUsed(t *testing.T) {
	table := New()
	table.Put(server("s"), start)
	table.Remove("s", start)
	table.Put(server("s"), start.Add(time.Second))
	restored := start.Add(time.Minute)
	table.RecordStoreRestored(restored)
	table.Put(server("s"), restored)
	if got := usable(table, restored); len(got) != 1 {
		t.Errorf("usable: %v", got)
	}
}

// Guards against a server that has restarted, and is cold, being taken for its earlier incarnation
// that a restored store shows.
func TestEarlierIncarnationInARestoredStoreIsIgnored(t *testing.T) {
	table := New()
	earlier, known := server("s"), server("s")
	known.StartUnixMs, known.ColdRemaining = earlier.StartUnixMs+1000, 3*time.Second
	table.Put(known, start)
	table.RecordStoreRestored(start)
	table.Put(earlier, start)
	if e := usable(table, start)["s"]; e.StartUnixMs != known.StartUnixMs || !e.ColdUntil.After(start) {
		t.Errorf("after the restore: %+v", e)
	}
	setBack := start.Add(time.Minute)
	table.Put(earlier, setBack)
	if e := usable(table, setBack)["s"]; e.StartUnixMs != earlier.StartUnixMs {
		t.Errorf("a server whose clock was set back: %+v", e)
	}
}
