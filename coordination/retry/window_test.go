package retry

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Guards against windows in which the retries of all instances exceed the ratio of the
// requests plus the slack. Several instances receive requests and retry at random times, and
// some restart and lose their counts. The checker keeps every event and does not use buckets.
func TestWindowBoundsTheFleet(t *testing.T) {
	settings := WindowSettings{Ratio: 0.2, Slack: 58, Window: 10 * time.Second}
	rapid.Check(t, func(t *rapid.T) {
		instances := rapid.IntRange(1, 9).Draw(t, "instances")
		windows := make([]*Window, instances)
		for i := range windows {
			windows[i] = NewWindow(settings)
		}
		now := time.Unix(1_000_000, 0)
		var requests, retries []time.Time
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
					retries = append(retries, now)
				}
			}
		}
		for _, end := range retries {
			from := end.Add(-settings.Window)
			if got, limit := countWithin(retries, from, end), settings.Ratio*countWithin(requests, from, end)+settings.Slack; got > limit {
				t.Fatalf("%.0f retries in a window, at most %.1f", got, limit)
			}
		}
	})
}

func countWithin(events []time.Time, from, to time.Time) float64 {
	n := 0.0
	for _, e := range events {
		if e.After(from) && !e.After(to) {
			n++
		}
	}
	return n
}
