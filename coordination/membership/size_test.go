package membership

import (
	"fmt"
	"testing"
	"time"

	"github.com/basilroute/basilroute/protocol/peerpb"
)

// BenchmarkSizeMembers measures Members, which is called several times per second.
func BenchmarkSizeMembers(b *testing.B) {
	for _, size := range []int{30, 100, 195, 360} {
		b.Run(fmt.Sprintf("n=%d", size), func(b *testing.B) {
			now := time.Unix(1, 0)
			t := New(&peerpb.Member{Id: "i0", Incarnation: 1}, now)
			for i := 1; i < size; i++ {
				t.Merge([]*peerpb.Member{{Id: fmt.Sprint("i", i), Incarnation: 1, Heartbeat: 1}}, now)
			}
			b.ReportAllocs()
			for b.Loop() {
				t.Members(now)
			}
		})
	}
}
