package quota

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/basilroute/basilroute/coordination/slots"
	"github.com/basilroute/basilroute/service"
)

// benchLedger returns a ledger that holds a slot in a fleet of seven domains and
// has documents of the given number of accounts.
func benchLedger(accounts int, now time.Time) (*Ledger, []string) {
	fleet := &service.Fleet{
		Regions: map[string]service.Region{
			"r1": {Domains: []string{"d0", "d1", "d2"}}, "r2": {Domains: []string{"d3", "d4"}}, "r3": {Domains: []string{"d5", "d6"}},
		},
		Slots: service.Slots{PerDomain: 3},
	}
	docs := make([]*service.Account, accounts)
	names := make([]string, accounts)
	for i := range docs {
		names[i] = fmt.Sprintf("account-%05d", i)
		docs[i] = &service.Account{Name: names[i], Rate: 1e6, Burst: 1e9}
	}
	l := New("d0")
	l.Update(docs, fleet, 1, now)
	l.SetHeldSlots([]slots.HeldSlot{{Slot: 0, Epoch: 1, Until: now.Add(time.Hour)}}, now)
	return l, names
}

// BenchmarkAdmitSettle measures the work on a request's path: charge and settle.
func BenchmarkAdmitSettle(b *testing.B) {
	now := time.Unix(1, 0)
	l, names := benchLedger(1000, now)
	now = now.Add(time.Minute)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		c, ok := l.Admit(names[i%len(names)], 100, now)
		if !ok {
			now = now.Add(time.Second)
			continue
		}
		l.Settle(c, 60, now)
	}
}

// BenchmarkSizeAccounts measures one tick (there are 20 a second) with demand for one
// account in a hundred, and the heap of all accounts.
func BenchmarkSizeAccounts(b *testing.B) {
	for _, n := range []int{100, 1000, 5000, 11000} {
		b.Run(fmt.Sprintf("n=%d", n), func(b *testing.B) {
			before := heapBytes()
			now := time.Unix(1, 0)
			l, names := benchLedger(n, now)
			held := heapBytes() - before
			lenders := []slots.Member{{ID: "a"}, {ID: "b"}}
			for b.Loop() {
				now = now.Add(50 * time.Millisecond)
				for i := range max(1, n/100) {
					l.Admit(names[i], 10, now)
				}
				l.Tick(50*time.Millisecond, now)
				for _, c := range l.Plan(lenders, now) {
					l.CompleteCall(c, nil, now)
				}
			}
			b.ReportMetric(float64(held)/float64(n), "heap-B/account")
			runtime.KeepAlive(names)
		})
	}
}

func heapBytes() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}
