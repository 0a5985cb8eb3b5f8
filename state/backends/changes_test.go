package backends

import (
	"fmt"
	"testing"
	"time"
)

// Guards against a change that is missed, and against one that has all servers of a region copied.
func TestChangesSince(t *testing.T) {
	table := New()
	for i := range 3 {
		s := server(fmt.Sprint("s", i))
		table.Put(s, start)
	}
	first := table.ChangesSince("viti-levu", 0, start)
	if !first.Whole || len(first.Entries) != 3 {
		t.Fatalf("at first: %+v", first)
	}
	leaving := server("s1")
	leaving.Draining = true
	table.Put(leaving, start)
	table.Put(server("s3"), start)
	table.Remove("s0", start)
	next := table.ChangesSince("viti-levu", first.Version, start)
	if next.Whole || len(next.Entries) != 1 || next.Entries[0].ID != "s3" || fmt.Sprint(next.Gone) != "[s0 s1]" {
		t.Errorf("after three changes: %+v", next)
	}
	if c := table.ChangesSince("viti-levu", next.Version, start); c.Whole || len(c.Entries)+len(c.Gone) != 0 {
		t.Errorf("without a change: %+v", c)
	}
	table.SetEvacuated([]string{"suva-a"}, time.Second, start)
	if c := table.ChangesSince("viti-levu", next.Version, start); !c.Whole || len(c.Entries) != 0 {
		t.Errorf("after an evacuation: %+v", c)
	}
}

// Guards against changes that are kept for ever, and against a reader that is so far behind that some
// are no longer known.
func TestOldChangesAreDropped(t *testing.T) {
	table := New()
	table.Put(server("s"), start)
	version := table.RegionVersion("viti-levu")
	for i := range 3 * minChanges {
		s := server("s")
		s.Seq = int64(i + 2)
		table.Put(s, start)
	}
	if len(table.changes) > minChanges {
		t.Errorf("%d changes are kept", len(table.changes))
	}
	if c := table.ChangesSince("viti-levu", version, start); !c.Whole || len(c.Entries) != 1 {
		t.Errorf("far behind: %+v", c)
	}
}
