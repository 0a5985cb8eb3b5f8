package retry

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Several instances see requests and ask for repeats at any times, and forget all in a
// restart now and then. In no window of the set length do the repeats of all of them
// exceed the ratio of the requests in it and the slack, by a checker that keeps every
// event and knows nothing of the budget's parts.
func TestWindowBoundsTheFleet(t *testing.T) {
	settings := WindowSettings{Ratio: 0.2, Slack: 58, Window: 10 * time.Second}
	rapid.Check(t, func(t *rapid.T) {
		instances := rapid.IntRange(1, 9).Draw(t, "instances")
		windows := make([]*Window, instances)
		for i := range windows {
			windows[i] = NewWindow(settings)
		}
		now := time.Unix(1_000_000, 0)
		var requests, repeats []time.Time
		restarts := 0
		for range rapid.IntRange(1, 400).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 200).Draw(t, "pause")) * time.Millisecond)
			i := rapid.IntRange(0, instances-1).Draw(t, "instance")
			switch rapid.IntRange(0, 20).Draw(t, "step") {
			case 0, 1, 2, 3:
				windows[i].RecordRequest("s", now)
				requests = append(requests, now)
			case 4:
				if restarts < instances/2 {
					windows[i], restarts = NewWindow(settings), restarts+1
				}
			default:
				if windows[i].Take("s", instances, now) {
					repeats = append(repeats, now)
				}
			}
		}
		for _, end := range repeats {
			from := end.Add(-settings.Window)
			if got, limit := within(repeats, from, end), settings.Ratio*within(requests, from, end)+settings.Slack; got > limit {
				t.Fatalf("%.0f repeats in a window, at most %.1f", got, limit)
			}
		}
	})
}

func within(events []time.Time, from, to time.Time) float64 {
	n := 0.0
	for _, e := range events {
		if e.After(from) && !e.After(to) {
			n++
		}
	}
	return n
}
