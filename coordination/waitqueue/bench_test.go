package waitqueue

import (
	"fmt"
	"testing"
	"time"
)

// Guards against work per wake-up that grows with the square of the accounts that wait.
func BenchmarkSizeExpire(b *testing.B) {
	for _, accounts := range []int{64, 128, 256, 512} {
		b.Run(fmt.Sprintf("n=%d", accounts), func(b *testing.B) {
			q := newBusyQueue(accounts)
			for i := range accounts {
				if _, _, refusal := q.Join(waitUpTo(i, 4*time.Second), 0, replayStart); refusal != nil {
					b.Fatal(refusal)
				}
			}
			for b.Loop() {
				q.Expire(replayStart)
			}
		})
	}
}
