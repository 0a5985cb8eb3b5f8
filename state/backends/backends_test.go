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

// Guards against live servers that are dropped because their entries expired while the
// store was unreachable. The instance sees the entries missing once the store is reachable
// again; it keeps the servers for ReturnGrace and then drops those that have not registered
// again.
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
		t.Errorf("an entry removed while the store is reachable is still in use: %v", got)
	}
}

// Guards against state of a server's earlier incarnation, such as being draining or cold,
// that is applied to the next one with the same id.
func TestSameIDBornAgain(t *testing.T) {
	table := New()
	first := server("s")
	table.Put(first, start)
	before := usable(table, start)["s"].Incarnation
	first.Draining = true
	table.Put(first, start)
	if len(usable(table, start)) != 0 {
		t.Error("a draining server is usable")
	}
	again := server("s")
	again.StartUnixMs, again.ColdRemaining = 2, time.Second
	table.Put(again, start)
	e := usable(table, start)["s"]
	if e.Incarnation == before || e.Incarnation == 0 || !e.ColdUntil.Equal(start.Add(time.Second)) {
		t.Errorf("after the restart: %+v, the earlier incarnation was %d", e, before)
	}
	table.RemoveReplaced("s", before)
	if len(usable(table, start)) != 1 {
		t.Error("a report on the earlier incarnation removed the current one")
	}
}

// Guards against work for the servers of an evacuated domain. After the evacuation they
// count as cold for a time, because they may have lost their caches and their entries
// report that late.
func TestEvacuation(t *testing.T) {
	table := New()
	table.Put(server("s"), start)
	table.SetEvacuated([]string{"suva-a"}, time.Second, start)
	if len(usable(table, start)) != 0 || table.Count("lm", "viti-levu") != 0 {
		t.Error("a server of an evacuated domain is usable")
	}
	table.SetEvacuated(nil, time.Second, start)
	if e := usable(table, start)["s"]; !e.ColdUntil.Equal(start.Add(time.Second)) {
		t.Errorf("after the evacuation: %+v", e)
	}
}

// Guards against a server with a notice of its removal that is used after that time, or
// no longer before it.
func TestNoticeOfRemoval(t *testing.T) {
	table := New()
	s := server("s")
	s.TimeLeft = 2 * time.Second
	table.Put(s, start)
	table.Put(s, start.Add(time.Second)) // repeating the notice does not move the time
	if len(usable(table, start.Add(1900*time.Millisecond))) != 1 || len(usable(table, start.Add(2*time.Second))) != 0 {
		t.Error("the server is not usable for exactly two seconds")
	}
}

// Guards against a change of one server that has the servers of all regions copied and indexed
// again, and against a change that is missed.
func TestRegionVersions(t *testing.T) {
	now := time.Unix(1000, 0)
	table := New()
	table.Put(Server{ID: "e", Region: "east", Domain: "east-a"}, now)
	table.Put(Server{ID: "w", Region: "west", Domain: "west-a"}, now)
	for _, c := range []struct {
		name       string
		change     func()
		east, west bool
	}{
		{"nothing", func() {}, false, false},
		{"another entry", func() { table.Put(Server{ID: "e", Region: "east", Domain: "east-a", Draining: true}, now) }, true, false},
		{"a move", func() { table.Put(Server{ID: "e", Region: "west", Domain: "west-a"}, now) }, true, true},
		{"a removal", func() { table.Remove("e", now) }, false, true},
		{"an evacuation", func() { table.SetEvacuated([]string{"west-a"}, 0, now) }, false, true},
		{"an unknown server", func() { table.Remove("x", now) }, false, false},
	} {
		east, west := table.RegionVersion("east"), table.RegionVersion("west")
		c.change()
		if got := table.RegionVersion("east") != east; got != c.east {
			t.Errorf("%s: east has changed: %t", c.name, got)
		}
		if got := table.RegionVersion("west") != west; got != c.west {
			t.Errorf("%s: west has changed: %t", c.name, got)
		}
	}
}

// Guards against a removal that another instance passes on while the outage that may have caused it is
// recent, and that is applied at once or held again by each later one.
func TestRemovalAfterAnOutageThatOthersNoticed(t *testing.T) {
	const hold = time.Second
	table := New()
	table.Put(server("lives"), start)
	table.Put(server("gone"), start)
	table.Put(server("later"), start)
	table.RemoveAfter("lives", hold, start)
	table.RemoveAfter("gone", hold, start)
	if got := usable(table, start); len(got) != 3 || table.RemovalsHold(start) != hold {
		t.Errorf("right after the removal: %v, held for %v", got, table.RemovalsHold(start))
	}
	table.Put(server("lives"), start.Add(hold/2))
	table.RemoveAfter("later", hold, start.Add(hold/2))
	table.Sweep(start.Add(hold))
	if got := usable(table, start.Add(hold)); len(got) != 2 || got["gone"].ID != "" {
		t.Errorf("after the hold: %v", got)
	}
	table.Remove("lives", start.Add(hold))
	if got := usable(table, start.Add(hold)); len(got) != 1 || got["later"].ID == "" {
		t.Errorf("after a removal without an outage: %v", got)
	}
	if end := start.Add(2 * hold); table.RemovalsHold(end) != 0 {
		t.Errorf("held for %v after all", table.RemovalsHold(end))
	}
}
