package loadgen

import (
	"context"
	"sync"
	"time"
)

// Arm is a target with the name under which it is reported.
type Arm struct {
	Name   string
	Target Target
}

// Run sends the requests of the mix and reports their outcomes. With several arms,
// requests go to them in turn, so that all get the same load under the same conditions
// of the machine. The error is that of ctx; the report is valid in either case.
func Run(ctx context.Context, m *Mix, arms ...Arm) (*Report, error) {
	collector := newCollector(m)
	planner := newPlanner(m)
	var running sync.WaitGroup
	start := time.Now()
	var err error
	for p := planner.next(); p != nil; p = planner.next() {
		if err = sleepUntil(ctx, start.Add(p.At)); err != nil {
			break
		}
		arm := arms[p.Number%len(arms)]
		running.Go(func() {
			var out Outcome
			limited, cancel := context.WithTimeout(ctx, m.Timeout)
			defer cancel()
			arm.Target.Send(limited, p, &out)
			collector.add(arm.Name, p, start.Add(p.At), &out, time.Now())
		})
	}
	running.Wait()
	return collector.report(time.Since(start)), err
}

func sleepUntil(ctx context.Context, at time.Time) error {
	wait := time.Until(at)
	if wait <= 0 {
		return ctx.Err()
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
