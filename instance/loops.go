package instance

import (
	"context"
	"time"
)

// every calls fn immediately and then at each interval until ctx ends.
func every(ctx context.Context, interval time.Duration, fn func(context.Context)) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		fn(ctx)
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}
