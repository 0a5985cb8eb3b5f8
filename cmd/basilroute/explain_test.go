package main

import (
	"strings"
	"testing"
)

// The log lines were recorded from two instances, in one file, with the prefix of a log
// collector. The trace is in order of the steps' times, also where a line was written
// later than the step that it describes.
func TestExplainRecordedLines(t *testing.T) {
	out, problems, code := runCLI(t, "explain", "c11716742e54bcdd", "testdata/trace.log")
	if code != 0 {
		t.Fatal(problems)
	}
	var events []string
	for line := range strings.Lines(out) {
		events = append(events, strings.Join(strings.Fields(line)[1:3], " "))
	}
	want := "front-fraser-a-1 request_admitted, front-fraser-a-1 request_forwarded, front-island-a-2 forwarded_refused, front-fraser-a-1 request_refused"
	if got := strings.Join(events, ", "); got != want {
		t.Errorf("have %s\nwant %s", got, want)
	}
	if !strings.Contains(out, "reason=overloaded") || !strings.Contains(out, "heard_ms_ago=577") {
		t.Errorf("the inputs of the decisions are missing:\n%s", out)
	}
	if _, _, code := runCLI(t, "explain", "0000", "testdata/trace.log"); code != exitFailed {
		t.Errorf("a request that no line names: exit code %d", code)
	}
}

// The trace of a request that another region refused, and that then waited for a slot of its own.
func TestExplainShowsTheWaitForASlot(t *testing.T) {
	out, problems, code := runCLI(t, "explain", "000000000000049c", "testdata/waits.log")
	if code != 0 {
		t.Fatal(problems)
	}
	var events []string
	for line := range strings.Lines(out) {
		events = append(events, strings.Join(strings.Fields(line)[1:3], " "))
	}
	want := "front-3 request_admitted, front-3 request_forwarded, front-0 forwarded_refused, front-3 request_retried, front-3 request_unplaced, " +
		"front-3 request_unplaced, front-3 request_waited, front-3 request_placed, front-3 request_served"
	if got := strings.Join(events, ", "); got != want {
		t.Errorf("have %s\nwant %s", got, want)
	}
	if !strings.Contains(out, "late=false placed=true returned=false waited_ms=32") {
		t.Errorf("the wait is missing:\n%s", out)
	}
}
