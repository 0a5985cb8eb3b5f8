package main

import (
	"slices"
	"strings"
	"testing"
)

// The recorded lines are of seven requests that were lost in different ways and of one
// that was served in time, which must not be counted.
func TestLossesOfRecordedLines(t *testing.T) {
	out, problems, code := runCLI(t, "losses", "--window", "1m", "testdata/losses.log")
	if code != 0 {
		t.Fatal(problems)
	}
	var rows []string
	for line := range strings.Lines(out) {
		rows = append(rows, strings.Join(strings.Fields(line), " "))
	}
	for _, want := range []string{
		"r-xju7iz9 late: first byte 1", "r-7whtnjd late: pause 1", "r-j6z4tki cut: deadline 1", "05:27:00 late: pause 2",
		"05:27:00 refused: quota 1", "central-vn cut: broken 1", "- refused: overloaded 1",
	} {
		if !slices.Contains(rows, want) {
			t.Errorf("missing %q in:\n%s", want, out)
		}
	}
	if len(rows) != 7+6+6+3 { // routes, time windows, servers, and the three headers
		t.Errorf("%d rows:\n%s", len(rows), out)
	}
	if _, _, code := runCLI(t, "losses", "--window", "0s", "testdata/losses.log"); code == 0 {
		t.Error("a window of 0 s is accepted")
	}
}

// The recorded lines are of requests that found no slot: one refused at once, one whose caller had
// returned and was refused again, one refused after a wait, one that returned and was served late,
// and one served in time after a wait.
func TestLossesSayWhetherRequestsWaited(t *testing.T) {
	out, problems, code := runCLI(t, "losses", "--window", "1m", "testdata/waits.log")
	if code != 0 {
		t.Fatal(problems)
	}
	var routes []string
	for line := range strings.Lines(out) {
		if row := strings.Join(strings.Fields(line), " "); strings.HasPrefix(row, "patient ") {
			routes = append(routes, row)
		}
	}
	want := []string{
		"patient late: first byte, returned 1", "patient refused: overloaded 1", "patient refused: overloaded, returned 1",
		"patient refused: overloaded, waited 1",
	}
	if !slices.Equal(routes, want) {
		t.Errorf("rows by route:\n%s\nwant:\n%s", strings.Join(routes, "\n"), strings.Join(want, "\n"))
	}
}
