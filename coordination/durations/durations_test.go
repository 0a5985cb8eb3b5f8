package durations

import (
	"fmt"
	"testing"
	"time"
)

var start = time.Unix(1000, 0)

func record(t *Table, k Kind, count int, took time.Duration, now time.Time) {
	for range count {
		t.Record(k, took, true, now)
	}
}

// Guards against an estimate that is below the longest request of the last minutes, that rests
// on a few requests, or that a single slow one determines for ever.
func TestEstimate(t *testing.T) {
	const usual, slow = 60 * time.Millisecond, 2 * time.Second
	k, table := KindOf("order", "desk", 0), &Table{}
	expect := func(what string, now time.Time, want time.Duration) {
		t.Helper()
		got, measured := table.Upper(k, now)
		if got != want || measured != (want > 0) {
			t.Errorf("%s: %v, %v, want %v", what, got, measured, want)
		}
	}
	expect("nothing measured", start, 0)
	record(table, k, minCompleted-1, usual, start)
	table.Record(k, usual, false, start)
	expect("one request short", start, 0)
	record(table, k, 1, usual, start)
	expect("short requests", start, usual+minMargin)
	table.Record(k, slow, false, start)
	expect("a slow request", start, slow+slow)
	last := start.Add(periods*periodLength - 1)
	record(table, k, minCompleted, usual, last)
	expect("the slow request still counts", last, slow+slow)
	expect("the slow request is outdated", last.Add(1), usual+minMargin)
	expect("all are outdated", last.Add(periods*periodLength), 0)
}

// Guards against a long stream that is expected to end as soon as the short ones of its route.
func TestRequestsOfOtherKindsHaveNoEstimate(t *testing.T) {
	const tokens = 50
	table := &Table{}
	record(table, KindOf("chat", "engine", tokens), minCompleted, time.Second, start)
	for k, want := range map[Kind]bool{
		KindOf("chat", "engine", tokens+1): true, KindOf("chat", "engine", 4*tokens): false,
		KindOf("chat", "engine-2", tokens): false, KindOf("draft", "engine", tokens): false,
	} {
		if _, measured := table.Upper(k, start); measured != want {
			t.Errorf("%v: measured %v", k, measured)
		}
	}
}

// Guards against memory that grows with every route there has ever been, and against a table
// that takes no new ones once it is full.
func TestTableIsBounded(t *testing.T) {
	table := &Table{}
	for n := range 2 * maxKinds {
		table.Record(KindOf(fmt.Sprint(n), "svc", 0), time.Second, true, start)
	}
	if len(table.kinds) != maxKinds {
		t.Errorf("%d kinds", len(table.kinds))
	}
	later, k := start.Add(periods*periodLength), KindOf("new", "svc", 0)
	record(table, k, minCompleted, time.Second, later)
	if _, measured := table.Upper(k, later); !measured || len(table.kinds) != 1 {
		t.Errorf("measured %v, %d kinds", measured, len(table.kinds))
	}
}
