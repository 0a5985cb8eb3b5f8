package backends

import (
	"testing"
	"time"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func server(id string) Server {
	return Server{ID: id, StartUnixMs: 1, Service: "lm", Address: "192.0.2.1:1", Domain: "suva-a", Region: "viti-levu"}
}

func usable(t *Table, now time.Time) map[string]Entry {
	out := make(map[string]Entry)
	for _, e := range t.InRegion("viti-levu", now) {
		out[e.ID] = e
	}
	return out
}

// The store goes away, and entries lapse in it although their servers live. The
// instance sees them missing when the store is back: it keeps the servers until those
// that live have registered again, and drops the ones that have not.
func TestEntriesThatLapsedInAnOutage(t *testing.T) {
	table := New()
	table.Put(server("lives"), start)
	table.Put(server("gone"), start)
	table.SetStoreUnreachable(true, start)
	back := start.Add(5 * time.Second)
	table.SetStoreUnreachable(false, back)
	table.Remove("lives", back)
	table.Remove("gone", back)
	if got := usable(table, back); len(got) != 2 {
		t.Errorf("right after the outage: %v", got)
	}
	table.Put(server("lives"), back.Add(time.Second))
	table.Sweep(back.Add(ReturnGrace))
	if got := usable(table, back.Add(ReturnGrace)); len(got) != 1 || got["lives"].ID == "" {
		t.Errorf("after the grace: %v", got)
	}
	table.Remove("lives", back.Add(time.Minute))
	if got := usable(table, back.Add(time.Minute)); len(got) != 0 {
		t.Errorf("an entry that is removed while the store is there still counts: %v", got)
	}
}

// A server starts again under its id. It is another lifetime: what was known of the
// one before, such as its being cold or slow, does not hold for it.
func TestSameIDBornAgain(t *testing.T) {
	table := New()
	first := server("s")
	table.Put(first, start)
	before := usable(table, start)["s"].Incarnation
	first.Draining = true
	table.Put(first, start)
	if len(usable(table, start)) != 0 {
		t.Error("a draining server may be sent work")
	}
	again := server("s")
	again.StartUnixMs, again.ColdRemaining = 2, time.Second
	table.Put(again, start)
	e := usable(table, start)["s"]
	if e.Incarnation == before || e.Incarnation == 0 || !e.ColdUntil.Equal(start.Add(time.Second)) {
		t.Errorf("born again: %+v, the lifetime before was %d", e, before)
	}
	table.RemoveReplaced("s", before)
	if len(usable(table, start)) != 1 {
		t.Error("word of the former lifetime removed the present one")
	}
}

// A failure domain is evacuated and taken back. Its servers get nothing in between and
// count as cold for a time after, because they may have lost their caches and their
// entries say so late.
func TestEvacuation(t *testing.T) {
	table := New()
	table.Put(server("s"), start)
	table.SetEvacuated([]string{"suva-a"}, time.Second, start)
	if len(usable(table, start)) != 0 || table.Count("lm", "viti-levu") != 0 {
		t.Error("an evacuated domain's server may be sent work")
	}
	table.SetEvacuated(nil, time.Second, start)
	if e := usable(table, start)["s"]; !e.ColdUntil.Equal(start.Add(time.Second)) {
		t.Errorf("taken back: %+v", e)
	}
}

// A server is given notice of its removal: it is used until then and not after.
func TestNoticeOfRemoval(t *testing.T) {
	table := New()
	s := server("s")
	s.TimeLeft = 2 * time.Second
	table.Put(s, start)
	table.Put(s, start.Add(time.Second)) // the same notice again moves nothing
	if len(usable(table, start.Add(1900*time.Millisecond))) != 1 || len(usable(table, start.Add(2*time.Second))) != 0 {
		t.Error("want it used for two seconds")
	}
}
